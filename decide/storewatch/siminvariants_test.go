package storewatch_test

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
)

const (
	checkInterval = 50 * time.Millisecond
	// contactWindow is the time for which a process must have been in touch with a stable
	// store for a bound to hold.
	contactWindow = 3 * second
	configApply   = 2 * second
	drainTimeout  = 2 * second
	// settledTime is the time after all disruptions, and unchangedTime that after a write of
	// an entry, after which a view states what the store holds.
	settledTime   = 10 * second
	unchangedTime = 2500 * time.Millisecond
	// lateReconnect is the time by which a removal that is read after an absence of the store
	// can outlast the contact window: a lost connection is noticed 1.8 s after its return, and
	// the grace period follows.
	lateReconnect = 1200 * time.Millisecond
	// noticeTime is the time in which a process notices that the store is away.
	noticeTime = 2 * second
	// missedTime is the time from a write to the latest view with it, if nothing happens.
	missedTime = 2 * second
	// callWindow is the time in which a reader makes no more than mostCalls calls and begins
	// no more than mostLists lists.
	callWindow = 5 * second
	mostCalls  = 60
	mostLists  = 30
)

// knowledge is what a reader's views have stated.
type knowledge struct {
	version uint64
	// offered maps IDs of upstreams to the latest start that was listed.
	offered map[string]int64
	// missed holds the upstreams that were dropped although they run.
	missed map[string]bool
}

func newKnowledge() *knowledge {
	return &knowledge{offered: make(map[string]int64), missed: make(map[string]bool)}
}

// offers reports whether a view offers an upstream, in a certain start, for requests.
func offers(v *api.View, id string, born int64) bool {
	in, listed := v.Instances[id]
	return listed && !in.Leaving && in.StartedAtMs == born
}

// observe checks a change of a reader's view against those before.
func (w *world) observe(r *simReader, c discovery.Change) {
	if c.View == nil {
		return
	}
	k := w.known[r]
	w.logf("%s: view %s", r.name, describeView(c.View))
	if t := c.View.Table; t != nil && t.Version < k.version || t == nil && k.version > 0 {
		w.fatalf("%s went back from version %d", r.name, k.version)
	} else if t != nil {
		k.version = t.Version
	}
	for _, d := range w.departures {
		switch {
		case !offers(c.View, d.id, d.born):
			d.known[r] = d.known[r] || d.read[r] && !hidden(c.View, d)
		case d.known[r] && !(d.removed && w.overwritten[d.id]):
			w.fatalf("%s knew that %s had left at %.3f and offers it again", r.name, d.id, d.at.Seconds())
		}
	}
	for _, u := range w.upstreams {
		_, listed := c.View.Instances[u.id]
		missed := !listed && k.offered[u.id] == u.born
		if missed && !k.missed[u.id] && inService(u) && !w.overwritten[u.id] && w.store.absence != present && w.now-max(w.store.leftAt, r.disruptedAt) > noticeTime {
			w.fatalf("%s drops %s, which runs, while the store is away", r.name, u.id)
		}
		k.missed[u.id] = missed
	}
	for id, in := range c.View.Instances {
		k.offered[id] = max(k.offered[id], in.StartedAtMs)
	}
	for zone := range w.zonesOut {
		switch {
		case c.View.ZonesOut[zone]:
			w.zonesKnownOut[zone][r] = true
		case w.zonesKnownOut[zone][r]:
			w.fatalf("%s knew that zone %s was out of service, and uses it again", r.name, zone)
		}
	}
}

// recordRead notes which departures an update tells, before it is applied. Of an upstream whose
// entry others have overwritten only a statement of its own counts.
func (w *world) recordRead(r *simReader, u api.DiscoveryUpdate) {
	for _, d := range w.departures {
		if w.known[r].offered[d.id] != d.born {
			continue
		}
		listed := false
		for _, item := range u.Items {
			if item.Key != "servers/"+d.id {
				continue
			}
			listed = true
			in := item.Instance
			if u.Era == d.era && item.Revision == d.revision && !w.overwritten[d.id] || in != nil && in.Leaving && in.StartedAtMs == d.born {
				d.read[r] = true
			}
		}
		if u.Full && !listed && !w.overwritten[d.id] && u.Era == d.era && u.AsOf >= d.at {
			d.read[r] = true
		}
	}
}

// hidden reports whether a view has a later upstream at the address of one that has left.
func hidden(v *api.View, d *departure) bool {
	for _, in := range v.Instances {
		if in.Address == d.address && in.ID != d.id {
			return true
		}
	}
	return false
}

func describeView(v *api.View) string {
	text := ""
	if v.Table != nil {
		text = describe(api.DiscoveryItem{Table: v.Table})
	}
	for _, id := range keys(v.Instances) {
		text += ", " + id
		if v.Instances[id].Leaving {
			text += " leaving"
		}
	}
	for _, zone := range keys(v.ZonesOut) {
		text += ", out: " + zone
	}
	return text
}

// watchInvariants checks all readers again and again.
func (w *world) watchInvariants() {
	w.after(checkInterval, w.watchInvariants)
	for _, r := range w.readers {
		w.checkCalls(r)
		if w.now < r.pausedUntil || !r.inTouch(contactWindow) {
			continue
		}
		w.checkVersion(r)
		w.checkDepartures(r)
		w.checkRunning(r)
		w.checkZones(r)
		if w.settled(r) {
			w.checkEqual(r)
		}
	}
}

// settled reports whether a reader has been in touch for so long that its view states what the
// store holds.
func (w *world) settled(r *simReader) bool {
	return r.inTouch(settledTime) && w.now-w.store.compactedAt >= settledTime
}

func (w *world) checkVersion(r *simReader) {
	required := uint64(0)
	for _, v := range w.versions {
		if v.at < w.now-configApply {
			required = v.number
		}
	}
	// A process that has not read what the store lost knows no more than the store.
	unknown := w.known[r].version < required && (w.configLost || w.now-w.configBackAt < configApply)
	if t := r.view.Table; !unknown && (t == nil || t.Version < required) {
		w.fatalf("%s, in touch, has not version %d", r.name, required)
	}
}

func (w *world) checkDepartures(r *simReader) {
	for _, d := range w.departures {
		in := w.store.items["servers/"+d.id].Instance
		stated := in == nil || in.Leaving || in.StartedAtMs != d.born
		if d.stable && r.inTouch(contactWindow+lateReconnect) && w.now-d.at > drainTimeout && stated && w.now-w.store.changedAt["servers/"+d.id] > drainTimeout && offers(r.view, d.id, d.born) {
			w.fatalf("%s, in touch, offers %s, which left at %.3f", r.name, d.id, d.at.Seconds())
		}
	}
}

func (w *world) checkRunning(r *simReader) {
	for _, u := range w.upstreams {
		if !u.running || !u.registered || u.leaving || w.addressTaken(u) || !w.holds(u) || w.now-w.store.changedAt[u.key()] < missedTime {
			continue
		}
		// An upstream whose lease expired, and that the reader therefore dropped, is held back
		// if the store returns with an entry that may be older than that.
		held := w.known[r].missed[u.id] && w.store.items[u.key()].Revision <= w.store.highest && !w.settled(r)
		if !held && !offers(r.view, u.id, u.born) {
			w.fatalf("%s, in touch, doesn't offer %s", r.name, u.id)
		}
	}
}

// addressTaken reports whether another upstream that started later is listed at the address.
func (w *world) addressTaken(u *simUpstream) bool {
	for _, item := range w.store.items {
		if in := item.Instance; in != nil && in.ID != u.id && in.Address == u.address && in.StartedAtMs >= u.born {
			return true
		}
	}
	return false
}

func (w *world) checkZones(r *simReader) {
	for zone, at := range w.zonesOut {
		_, held := w.store.items["op/evacuate/"+zone]
		if held && w.now-w.store.changedAt["op/evacuate/"+zone] > missedTime && !r.view.ZonesOut[zone] {
			w.fatalf("%s, in touch, uses zone %s, out since %.3f", r.name, zone, at.Seconds())
		}
	}
}

// checkEqual checks that the view states what the store holds.
func (w *world) checkEqual(r *simReader) {
	unchanged := func(key string) bool { return w.now-w.store.changedAt[key] > unchangedTime }
	for _, u := range w.upstreams {
		in := w.store.items[u.key()].Instance
		if !unchanged(u.key()) || in != nil && w.addressTaken(u) {
			continue
		}
		seen, listed := r.view.Instances[u.id]
		if listed != (in != nil) || in != nil && (seen.Leaving != in.Leaving || seen.StartedAtMs != in.StartedAtMs) {
			w.fatalf("%s, long in touch: %s is %+v, in the store %+v", r.name, u.id, seen, in)
		}
	}
	for _, zone := range []string{"z0", "z1"} {
		key := "op/evacuate/" + zone
		if _, held := w.store.items[key]; unchanged(key) && held != r.view.ZonesOut[zone] {
			w.fatalf("%s, long in touch: zone %s is out %t, in the store %t", r.name, zone, !held, held)
		}
	}
	if t := w.store.items[configKey].Table; t != nil && unchanged(configKey) && (r.view.Table == nil || r.view.Table.Version != t.Version) {
		w.fatalf("%s, long in touch: not version %d of the store", r.name, t.Version)
	}
}

func (w *world) checkCalls(r *simReader) {
	recent := func(times []time.Duration) []time.Duration {
		for len(times) > 0 && w.now-times[0] > callWindow {
			times = times[1:]
		}
		return times
	}
	r.calls, r.lists = recent(r.calls), recent(r.lists)
	if len(r.calls) > mostCalls || len(r.lists) > mostLists {
		w.fatalf("%s: %d calls and %d lists in %v", r.name, len(r.calls), len(r.lists), callWindow)
	}
	if n := len(r.lists); n > 0 && r.lists[n-1] > r.disruptedAt+contactWindow && r.lists[n-1] > r.store.disruptedAt+contactWindow && r.lists[n-1] > r.store.compactedAt+contactWindow && r.store.absence == present {
		w.fatalf("%s read all entries at %.3f without a reason", r.name, r.lists[n-1].Seconds())
	}
}
