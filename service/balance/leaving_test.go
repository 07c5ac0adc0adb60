package balance_test

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against a request that waits for room and is then sent to an upstream that began to
// leave meanwhile, by the list or by its own word.
func TestWaitingRequestGoesToNoLeavingUpstream(t *testing.T) {
	// list lists the upstreams after a change of one of them.
	list := func(t *testing.T, e *edge, change func(map[string]api.Instance)) {
		v := *e.view
		v.Instances = maps.Clone(v.Instances)
		change(v.Instances)
		e.view = &v
		_ = e.views.Post(t.Context(), e.view)
	}
	for name, leave := range map[string]func(t *testing.T, e *edge, id string){
		"draining in the list": func(t *testing.T, e *edge, id string) {
			list(t, e, func(all map[string]api.Instance) {
				in := all[id]
				in.Leaving = true
				all[id] = in
			})
		},
		"removed from the list": func(t *testing.T, e *edge, id string) {
			list(t, e, func(all map[string]api.Instance) { delete(all, id) })
		},
		"said in a response": func(_ *testing.T, e *edge, id string) {
			e.Routing.(api.UpstreamObserver).ObserveStatement(api.UpstreamStatement{Upstream: id, Leaving: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := startEdge(t, slots)
				e.report(fullRank, true)
				synctest.Wait()
				chosen := make(chan string, 1)
				now := e.clock.Now()
				go func() {
					choice, _ := e.Route(t.Context(), api.RouteQuery{
						Service: "s", Priority: 5, MayWait: true, FirstEventBy: now + 3*time.Second, QuietSince: now, Deadline: now + 8*time.Second,
					})
					chosen <- choice.Upstream
				}()
				synctest.Wait()
				for _, id := range []string{"r0", "r1", "r2"} {
					leave(t, e, id)
				}
				synctest.Wait()
				// Only the upstreams that leave have room.
				load := api.GroupLoad{Group: "g", Formed: true, ReadAt: e.clock.Now()}
				for i := range ranks {
					load.Ranks = append(load.Ranks, api.RankLoad{AddressHash: addressHash(i), Requests: 0})
				}
				load.Ranks[3].Requests = fullRank
				_ = e.loads.Post(t.Context(), load)
				synctest.Wait()
				select {
				case id := <-chosen:
					t.Fatalf("%q was chosen while no upstream that stays had room", id)
				default:
				}
				e.report(0, true)
				synctest.Wait()
				if id := <-chosen; id != "r3" {
					t.Errorf("%q was chosen, want r3", id)
				}
			})
		})
	}
}
