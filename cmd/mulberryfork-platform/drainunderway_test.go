package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

// Guards against a request that was taken before an upstream began to leave and is sent to it
// afterwards: its body comes slowly, its first attempt fails, or its stream breaks off.
func TestRequestUnderWayReachesNoUpstreamThatLeft(t *testing.T) {
	const callers, taken = 8, 700 * time.Millisecond
	for name, leave := range map[string]func(f *fixture){
		"draining": func(f *fixture) {
			f.register("w1", f.address("w1"), "draining")
			f.awaitView(func(v *api.View) bool { return v.Instances["w1"].Leaving })
		},
		"removed": func(f *fixture) {
			f.store.Delete("servers/w1")
			f.awaitView(func(v *api.View) bool { _, listed := v.Instances["w1"]; return !listed })
		},
		"said in a response": func(f *fixture) {
			f.workers[0].SetStatement(true, 0)
			f.sendUntil(f.workers[0], "/i/x", "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			for _, w := range f.workers {
				w.EventInterval = 400 * time.Millisecond
			}
			var group sync.WaitGroup
			for i := range callers {
				group.Go(func() { f.sendSlowly("/u/x", fmt.Sprint("slow", i), 1600, 2*time.Second) })
				group.Go(func() {
					caller := f.dial()
					caller.writeHead("/s/x", fmt.Sprint("stream", i), 4*time.Second, len(platformworker.BreakStream))
					_, _ = caller.conn.Write([]byte(platformworker.BreakStream))
					_, _, _ = caller.read()
				})
			}
			<-time.After(taken)
			leave(f)
			<-time.After(100 * time.Millisecond)
			arrived := f.workers[0].Arrivals()
			for range callers {
				_, _, _ = f.send("/i/x", "key1", platformworker.Refuse)
				_, _, _ = f.send("/i/x", "key1", platformworker.Reset)
			}
			group.Wait()
			if n := f.workers[0].Arrivals() - arrived; n > 0 {
				t.Errorf("%d requests reached the upstream that had left", n)
			}
			if f.workers[1].Arrivals() < callers {
				t.Errorf("%d requests reached the upstream that stays", f.workers[1].Arrivals())
			}
		})
	}
}
