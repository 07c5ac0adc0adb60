package storewatch_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
)

const (
	configKey = "op/config"
	// rewriteTime is the time after the return of the store within which what it has lost is
	// written again.
	rewriteTime = 2500 * time.Millisecond
	// oldestCopy is the age of the oldest copy that the store returns from.
	oldestCopy = 10 * second
)

var errMalformed = errors.New("not decodable")

// simUpstream is an upstream, in its latest start.
type simUpstream struct {
	id, address string
	born        int64
	// running is set until it exits, and registered while it keeps its entry in the store.
	running, registered, leaving bool
	// silentUntil is the time until which it doesn't write again what the store has lost.
	silentUntil time.Duration
}

func (u *simUpstream) key() string { return "servers/" + u.id }

func (u *simUpstream) item() api.DiscoveryItem {
	return api.DiscoveryItem{Key: u.key(), Instance: &api.Instance{ID: u.id, Service: "s", Zone: "z0", Address: u.address, Leaving: u.leaving, StartedAtMs: u.born}}
}

// departure is an acknowledged statement that an upstream leaves or is removed.
type departure struct {
	id, address string
	born        int64
	at          time.Duration
	// removed is set if the entry was removed.
	removed bool
	// era and revision are those of the statement.
	era, revision uint64
	// stable is set if the store was stable as it acknowledged the statement.
	stable bool
	// read holds the readers that have read it, and known those whose view has said so since.
	read, known map[*simReader]bool
}

// version is an acknowledged configuration.
type version struct {
	number uint64
	at     time.Duration
}

// world is the platform: its store, the upstreams, the operator, and the readers.
type world struct {
	*simClock
	t      *rapid.T
	rng    *rand.Rand
	bounds discovery.Bounds
	store  *simStore

	upstreams []*simUpstream
	// raisesRevisions is set if a heartbeat raises the revision of an entry that stays the same.
	// rewritesOnBeat is set if an upstream writes again what was lost with its next heartbeat.
	raisesRevisions, rewritesOnBeat bool
	departures                      []*departure
	// overwritten holds the upstreams whose entries others have written.
	overwritten map[string]bool

	versions []version
	// zonesOut maps the zones that the operator takes out of service to the times of the
	// acknowledgements, and zonesKnownOut holds the readers whose view has said so.
	zonesOut      map[string]time.Duration
	zonesKnownOut map[string]map[*simReader]bool
	// configLostAt is set while the store holds no configuration as new as the latest one, and
	// configBackAt is when it last became so again.
	configLost   bool
	configBackAt time.Duration

	readers     []*simReader
	readerCount int
	setUpAt     time.Duration
	known       map[*simReader]*knowledge
	trace       []string
}

func newWorld(t *rapid.T) *world {
	c := &simClock{now: second}
	bounds := discovery.Bounds{Heartbeat: 1200 * time.Millisecond, DrainTimeout: 2 * second}
	store := newSimStore(c, storeTraits{
		expiresAway:   rapid.Bool().Draw(t, "expiresAway"),
		keepsWatches:  rapid.Bool().Draw(t, "keepsWatches"),
		earlyEra:      rapid.Bool().Draw(t, "earlyEra"),
		eraInRefusals: rapid.Bool().Draw(t, "eraInRefusals"),
		pageItems:     rapid.IntRange(3, 9).Draw(t, "pageItems"),
		latency:       time.Duration(rapid.SampledFrom([]int{4, 40}).Draw(t, "latency")) * time.Millisecond,
		lease:         3 * bounds.Heartbeat,
	})
	w := &world{
		simClock: c, t: t, bounds: bounds, store: store,
		rng:             rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "jitter"), 1)),
		raisesRevisions: rapid.Bool().Draw(t, "raisesRevisions"),
		rewritesOnBeat:  rapid.Bool().Draw(t, "rewritesOnBeat"),
		zonesOut:        make(map[string]time.Duration),
		zonesKnownOut:   make(map[string]map[*simReader]bool),
		known:           make(map[*simReader]*knowledge),
		overwritten:     make(map[string]bool),
	}
	store.onWrite = w.recordWrite
	w.configure(1)
	for range rapid.IntRange(1, 4).Draw(t, "upstreams") {
		w.startUpstream("")
	}
	w.setUpAt = w.now
	store.snapshots = store.snapshots[len(store.snapshots)-1:]
	for range rapid.IntRange(1, 3).Draw(t, "readers") {
		w.startReader()
	}
	w.watchInvariants()
	return w
}

func (w *world) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%7.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) fatalf(format string, args ...any) {
	for _, line := range w.trace {
		w.t.Log(line)
	}
	w.t.Fatalf("%.3f: %s", w.now.Seconds(), fmt.Sprintf(format, args...))
}

// random returns a random part of a time.
func (w *world) random(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *world) recordWrite(item api.DiscoveryItem) {
	w.logf("store: era %d, revision %d, %s %s", w.store.era, item.Revision, item.Key, describe(item))
}

func describe(item api.DiscoveryItem) string {
	switch {
	case item.Deleted:
		return "deleted"
	case item.Malformed != nil:
		return "malformed"
	case item.Table != nil:
		return fmt.Sprint("version ", item.Table.Version)
	case item.Instance != nil:
		return fmt.Sprintf("leaving %t, born %d, at %s", item.Instance.Leaving, item.Instance.StartedAtMs, item.Instance.Address)
	}
	return "out of service"
}

// configure writes a version that is some steps later than the latest acknowledged one.
func (w *world) configure(steps uint64) {
	number := steps
	if len(w.versions) > 0 {
		number += w.latest()
	}
	if w.store.write(configOf(number)) {
		w.versions = append(w.versions, version{number, w.now})
		w.configWritten()
	}
}

func (w *world) latest() uint64 { return w.versions[len(w.versions)-1].number }

func configOf(number uint64) api.DiscoveryItem {
	return api.DiscoveryItem{Key: configKey, Table: &api.RouteTable{Version: number, Services: map[string]api.ServiceProfile{"s": {Name: "s"}}}}
}

// configWritten notes whether the store holds a configuration as new as the latest one.
func (w *world) configWritten() {
	table := w.store.items[configKey].Table
	lost := table == nil || table.Version < w.latest()
	if w.configLost && !lost {
		w.configBackAt = w.now
	}
	w.configLost = lost
}

func (w *world) evacuate(zone string, out bool) {
	key := "op/evacuate/" + zone
	if !out {
		if w.store.write(api.DiscoveryItem{Key: key, Deleted: true}) {
			delete(w.zonesOut, zone)
			delete(w.zonesKnownOut, zone)
		}
		return
	}
	if w.store.write(api.DiscoveryItem{Key: key, OutOfServiceZone: zone}) {
		w.zonesOut[zone] = w.now
		w.zonesKnownOut[zone] = make(map[*simReader]bool)
	}
}

// startUpstream starts an upstream at an address, a new one if it is empty.
func (w *world) startUpstream(address string) {
	u := &simUpstream{id: fmt.Sprint("u", len(w.upstreams)), address: address, born: w.now.Milliseconds(), running: true, registered: true}
	if address == "" {
		u.address = fmt.Sprint("10.0.0.", len(w.upstreams)+1, ":80")
	}
	w.upstreams = append(w.upstreams, u)
	w.register(u)
	w.after(w.random(w.bounds.Heartbeat), func() { w.beat(u) })
}

// register writes the entry of an upstream.
func (w *world) register(u *simUpstream) bool {
	if w.store.absence != present {
		return false
	}
	w.store.leases[u.key()] = w.now + w.store.lease
	w.store.write(u.item())
	w.store.renew(u.key())
	return true
}

// beat is a heartbeat of an upstream.
func (w *world) beat(u *simUpstream) {
	w.after(w.bounds.Heartbeat+w.random(w.bounds.Heartbeat/25), func() { w.beat(u) })
	if !u.running || !u.registered || w.store.absence != present {
		return
	}
	switch {
	case !w.holds(u):
		if w.rewritesOnBeat || w.now >= u.silentUntil {
			w.register(u)
		}
	case w.raisesRevisions:
		w.register(u)
	default:
		w.store.renew(u.key())
	}
}

// holds reports whether the store holds what an upstream says of itself.
func (w *world) holds(u *simUpstream) bool {
	in := w.store.items[u.key()].Instance
	return in != nil && *in == *u.item().Instance
}

// drain makes an upstream say that it leaves, and remove ends its registration.
func (w *world) drain(u *simUpstream) {
	u.leaving = true
	if !w.register(u) {
		u.leaving = false
		return
	}
	w.departed(u)
}

func (w *world) remove(u *simUpstream) {
	if w.store.write(api.DiscoveryItem{Key: u.key(), Deleted: true}) {
		u.registered = false
		w.departed(u)
	}
}

func (w *world) departed(u *simUpstream) {
	stable := w.now-w.store.disruptedAt >= contactWindow
	w.departures = append(w.departures, &departure{
		id: u.id, address: u.address, born: u.born, at: w.now, removed: !u.registered, era: w.store.era, revision: w.store.revision, stable: stable,
		read: make(map[*simReader]bool), known: make(map[*simReader]bool),
	})
}

// restart starts an upstream again under its ID.
func (w *world) restart(u *simUpstream) {
	u.born, u.running, u.registered, u.leaving = w.now.Milliseconds(), true, true, false
	w.register(u)
}

// drill lets the store be away for a time and come back from a copy of some age, 0 for none.
func (w *world) drill(how absence, length, age time.Duration) {
	if w.store.absence != present {
		return
	}
	w.logf("store away for %v (%d), copy of %v before", length, how, age)
	from := w.now
	w.store.leave(how)
	w.after(length, func() {
		if age > 0 {
			w.store.restore(max(from-age, w.setUpAt))
			w.configWritten()
		}
		w.logf("store back, era %d, revision %d", w.store.era, w.store.revision)
		w.store.back(age > 0)
		w.writeAgain()
	})
}

// writeAgain schedules what the operator and the upstreams write again after a return.
func (w *world) writeAgain() {
	era := w.store.era
	again := func(write func()) {
		w.after(w.random(rewriteTime), func() {
			if w.store.absence == present && w.store.era == era {
				write()
			}
		})
	}
	again(func() {
		if w.configLost {
			w.store.write(configOf(w.latest()))
			w.configWritten()
		}
	})
	for _, zone := range []string{"z0", "z1"} {
		again(func() { w.writeZoneAgain(zone) })
	}
	for _, u := range w.upstreams {
		u.silentUntil = w.now + rewriteTime
		again(func() {
			switch {
			case u.running && u.registered && !w.holds(u):
				w.register(u)
			case !u.registered && w.store.items[u.key()].Instance != nil && w.rng.IntN(2) == 0:
				w.store.write(api.DiscoveryItem{Key: u.key(), Deleted: true})
			}
		})
	}
}

func (w *world) writeZoneAgain(zone string) {
	key := "op/evacuate/" + zone
	_, held := w.store.items[key]
	_, out := w.zonesOut[zone]
	switch {
	case out && !held:
		w.store.write(api.DiscoveryItem{Key: key, OutOfServiceZone: zone})
	case !out && held:
		w.store.write(api.DiscoveryItem{Key: key, Deleted: true})
	}
}

func (w *world) startReader() {
	w.readerCount++
	r := newSimReader(w.simClock, w.store, fmt.Sprint("r", w.readerCount), w.bounds)
	r.onRead, r.onView, r.logf = w.recordRead, w.observe, w.logf
	w.readers = append(w.readers, r)
	w.known[r] = newKnowledge()
	w.logf("%s starts", r.name)
	r.next()
}

func (w *world) stopReader(r *simReader) {
	w.logf("%s stops", r.name)
	r.stopped = true
	w.readers = slices.DeleteFunc(w.readers, func(o *simReader) bool { return o == r })
}

// keys returns the keys of a map in order.
func keys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
