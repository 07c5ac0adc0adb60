package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

const (
	// revocationDeadline is revocationMs of all sites.
	revocationDeadline = 5 * time.Second
	// heartbeat is heartbeatIntervalMs, coldStart the cold start of a worker.
	heartbeat = 1200 * time.Millisecond
	coldStart = 3 * time.Second
	// awayTime is how long the store is away, calmTimeAfter the time between the drill and the
	// change of the configuration, checkTime that in which the rule is checked.
	awayTime      = time.Second
	calmTimeAfter = 8 * time.Second
	checkTime     = 5 * time.Second
	// keptKey and revokedKey are the keys of one tenant.
	keptKey    = "key-that-stays"
	revokedKey = "key-that-is-revoked"
)

// drillStore is a store that can be away and come back from a copy.
type drillStore struct {
	mu      sync.Mutex
	current *platformstore.Store
	era     int
	away    bool
}

// ServeHTTP handles a call. While the store is away, its connections are reset.
func (d *drillStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	current, era, away := d.current, d.era, d.away
	d.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	current.ServeHTTP(w, r)
}

// leave takes the store away.
func (d *drillStore) leave() {
	d.mu.Lock()
	d.away = true
	current := d.current
	d.mu.Unlock()
	current.SetFailureStatus(http.StatusServiceUnavailable)
}

// comeBack brings the store back from a copy, in the next era.
func (d *drillStore) comeBack(copied *platformstore.Store) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current, d.away = copied, false
	d.era++
}

// eraConfig is a configuration with one tenant, which holds keys.
func eraConfig(version int, keys ...any) map[string]any {
	c := deskConfig()
	c["version"] = version
	c["tenants"] = []any{map[string]any{"name": memberName, "apiKeys": keys}}
	return c
}

// playEra lets the store come back from a copy, and then takes a key away.
func playEra(b *bench, trouble bool) ([]string, error) {
	b.store = platformstore.New()
	drill := &drillStore{current: b.store, era: 1}
	store, err := b.serve(drill)
	if err != nil {
		return nil, err
	}
	entries := map[string]map[string]any{}
	var workers []*worker
	for n := range 4 {
		w := &worker{bench: b, id: fmt.Sprintf("i-%d", n+1), work: 10 * time.Millisecond}
		address, err := b.serve(w)
		if err != nil {
			return nil, err
		}
		workers = append(workers, w)
		entries[w.id] = serverEntry("xano55b", address, "sk-west-a", 6)
	}
	// What the store holds when the copy is made.
	copied := platformstore.New()
	for _, into := range []*platformstore.Store{b.store, copied} {
		b.store = into
		b.putJSON("op/config", eraConfig(7, keptKey, revokedKey))
		b.putJSON("servers/i-1", entries["i-1"])
		b.putJSON("servers/i-2", entries["i-2"])
	}
	copiedAt := b.now()
	b.store = drill.current
	e, err := b.startEdge(store)
	if err != nil {
		return nil, err
	}
	kept := &orders{bench: b, key: keptKey, prefix: "kept", sentAt: map[string]time.Duration{}}
	revoked := &orders{bench: b, key: revokedKey, prefix: "revoked", sentAt: map[string]time.Duration{}}
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { kept.run(e.http, stop) })
	done.Go(func() { revoked.run(e.http, stop) })

	b.note("two more workers start; they are cold for %s and write what is left of it with each heartbeat", coldStart)
	writes := 0
	for left := coldStart; left >= 0; left -= heartbeat {
		for _, id := range []string{"i-3", "i-4"} {
			entries[id]["coldRemainingMs"] = left.Milliseconds()
			b.putJSON("servers/"+id, entries[id])
			writes++
		}
		time.Sleep(heartbeat)
	}
	b.putJSON("op/config", eraConfig(9, keptKey, revokedKey))
	b.note("the workers have written %d times; the store has acknowledged version 9", writes)
	time.Sleep(heartbeat)
	if trouble {
		drill.leave()
		b.note("the store is away; the last copy is %.1f s old", (b.now() - copiedAt).Seconds())
		time.Sleep(awayTime)
		drill.comeBack(copied)
		b.store = copied
		b.note("the store is back from that copy, in era 2")
		time.Sleep(heartbeat / 2)
		b.putJSON("servers/i-3", entries["i-3"])
		b.putJSON("servers/i-4", entries["i-4"])
		b.putJSON("op/config", eraConfig(9, keptKey, revokedKey))
		b.note("the workers and the operator have written again what was lost")
	}
	time.Sleep(calmTimeAfter)
	b.putJSON("op/config", eraConfig(11, keptKey))
	revokedAt := b.now()
	b.note("the store has acknowledged version 11, which takes a key away; no order with it that is sent after %.3f s may run", (revokedAt + revocationDeadline).Seconds())
	time.Sleep(revocationDeadline + checkTime)
	close(stop)
	done.Wait()
	var broken []string
	late := 0
	for _, w := range workers {
		for _, a := range w.arrivals() {
			at := revoked.when(a.id)
			if at <= revokedAt+revocationDeadline {
				continue
			}
			if late++; late <= 10 {
				broken = append(broken, fmt.Sprintf("CONFIG: %s, sent %.3f s after its key was taken away, ran at %s", a.id, (at-revokedAt).Seconds(), a.worker))
			}
		}
	}
	b.note("orders with the key that stays: %d sent, %d answered 200; with the revoked one: %d sent, %d answered 200, %d of them sent too late", kept.sent, kept.served, revoked.sent, revoked.served, late)
	return broken, nil
}
