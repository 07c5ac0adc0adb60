package storewatch_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Settings{Seed: 20261208, Checks: 200})
}

// wait lets a drawn time pass.
func (w *world) wait(t *rapid.T, most time.Duration) {
	w.runUntil(w.now + w.draw(t, "wait", 0, most))
}

func (w *world) draw(t *rapid.T, name string, least, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(least.Milliseconds()), int(most.Milliseconds())).Draw(t, name+" ms")) * time.Millisecond
}

// pickUpstream draws one of the upstreams with a property, nil if none has it.
func (w *world) pickUpstream(t *rapid.T, has func(*simUpstream) bool) *simUpstream {
	var found []*simUpstream
	for _, u := range w.upstreams {
		if has(u) {
			found = append(found, u)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(t, "upstream")]
}

func (w *world) pickReader(t *rapid.T) *simReader {
	return w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(t, "reader")]
}

func (w *world) addressInUse(address string) bool {
	return slices.ContainsFunc(w.upstreams, func(u *simUpstream) bool { return u.running && u.address == address })
}

func inService(u *simUpstream) bool { return u.running && u.registered && !u.leaving }
func hasLeft(u *simUpstream) bool   { return !u.running || !u.registered || u.leaving }

// operate holds the steps of the operator and of the upstreams.
func (w *world) operate(t *rapid.T) map[string]func(*rapid.T) {
	onUpstream := func(has func(*simUpstream) bool, act func(*simUpstream)) func(*rapid.T) {
		return func(t *rapid.T) {
			w.wait(t, second)
			if u := w.pickUpstream(t, has); u != nil {
				act(u)
			}
		}
	}
	return map[string]func(*rapid.T){
		"configure": func(t *rapid.T) {
			w.wait(t, second)
			w.configure(uint64(rapid.IntRange(1, 9).Draw(t, "steps")))
		},
		"evacuate": func(t *rapid.T) {
			w.wait(t, second)
			zone := rapid.SampledFrom([]string{"z0", "z1"}).Draw(t, "zone")
			_, out := w.zonesOut[zone]
			w.evacuate(zone, !out)
		},
		"start upstream": func(t *rapid.T) {
			w.wait(t, second)
			if len(w.upstreams) < 8 {
				w.startUpstream("")
			}
		},
		"reuse address": onUpstream(hasLeft, func(u *simUpstream) {
			if len(w.upstreams) < 8 && !w.addressInUse(u.address) {
				w.startUpstream(u.address)
			}
		}),
		"drain":  onUpstream(inService, w.drain),
		"remove": onUpstream(func(u *simUpstream) bool { return u.running && u.registered }, w.remove),
		"exit":   onUpstream(func(u *simUpstream) bool { return u.running }, func(u *simUpstream) { u.running = false }),
		"restart": onUpstream(func(u *simUpstream) bool {
			return hasLeft(u) && w.now.Milliseconds() > u.born && (u.running || !w.addressInUse(u.address))
		}, w.restart),
		"foreign entry": func(t *rapid.T) {
			w.wait(t, second)
			id := rapid.SampledFrom([]string{"bad", "u0"}).Draw(t, "id")
			w.overwritten[id] = true
			w.store.write(api.DiscoveryItem{Key: "servers/" + id, Malformed: errMalformed})
		},
	}
}

// disrupt holds the steps that disrupt the store or its readers.
func (w *world) disrupt(t *rapid.T) map[string]func(*rapid.T) {
	onReader := func(act func(t *rapid.T, r *simReader, d time.Duration)) func(*rapid.T) {
		return func(t *rapid.T) {
			w.wait(t, second)
			r := w.pickReader(t)
			act(t, r, w.draw(t, "length", 100*time.Millisecond, 12*second))
		}
	}
	return map[string]func(*rapid.T){
		"drills": w.drills,
		"outage": func(t *rapid.T) {
			w.wait(t, second)
			how := rapid.SampledFrom([]absence{refusing, unavailable, silent}).Draw(t, "how")
			w.drill(how, w.draw(t, "length", 300*time.Millisecond, 8*second), 0)
		},
		"slow": func(t *rapid.T) {
			w.wait(t, second)
			length := w.draw(t, "length", 300*time.Millisecond, 5*second)
			w.store.delay = w.draw(t, "delay", 100*time.Millisecond, 900*time.Millisecond)
			w.store.disruptedAt = max(w.store.disruptedAt, w.now+length)
			w.logf("store slow for %v: %v", length, w.store.delay)
			w.after(length, func() { w.store.delay = 0 })
		},
		"compact": func(t *rapid.T) {
			w.wait(t, second)
			w.logf("store forgets its history")
			w.store.compact()
		},
		"lose answer": onReader(func(_ *rapid.T, r *simReader, _ time.Duration) {
			w.logf("%s: connection lost", r.name)
			r.conn.dead, r.disruptedAt = true, max(r.disruptedAt, w.now)
		}),
		"pause": onReader(func(_ *rapid.T, r *simReader, d time.Duration) {
			w.logf("%s paused for %v", r.name, d)
			r.pausedUntil = max(r.pausedUntil, w.now+d)
			r.disruptedAt = max(r.disruptedAt, r.pausedUntil)
		}),
		"cut": onReader(func(_ *rapid.T, r *simReader, d time.Duration) {
			w.logf("%s cut off for %v", r.name, d)
			r.cutUntil = max(r.cutUntil, w.now+d)
			r.disruptedAt = max(r.disruptedAt, r.cutUntil)
		}),
		"refuse": onReader(func(_ *rapid.T, r *simReader, d time.Duration) {
			w.logf("%s refused for %v", r.name, d)
			r.refusedUntil = max(r.refusedUntil, w.now+d)
			r.disruptedAt = max(r.disruptedAt, r.refusedUntil)
		}),
		"restart reader": onReader(func(_ *rapid.T, r *simReader, _ time.Duration) {
			w.stopReader(r)
			w.startReader()
		}),
	}
}

// drills lets the store be away up to three times in a row and come back from copies.
func (w *world) drills(t *rapid.T) {
	w.wait(t, second)
	for range rapid.IntRange(1, 3).Draw(t, "drills") {
		how := rapid.SampledFrom([]absence{refusing, unavailable, silent}).Draw(t, "how")
		length := w.draw(t, "length", 300*time.Millisecond, 5*second)
		w.drill(how, length, w.draw(t, "age", time.Millisecond, oldestCopy))
		w.runUntil(w.now + length)
		w.wait(t, 1500*time.Millisecond)
	}
}

// Guards against views that stay or become older than what the store has acknowledged, that
// offer upstreams that have left or lack those that run, through returns of the store from
// copies, outages and silences, at processes that start, pause or are cut off meanwhile.
func TestViewsFollowStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		steps := w.operate(t)
		for name, step := range w.disrupt(t) {
			steps[name] = step
		}
		steps["wait"] = func(t *rapid.T) { w.wait(t, 6*second) }
		t.Repeat(steps)
		w.runUntil(w.now + 18*second)
	})
}
