package work_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// fakeFeed passes cache changes to the work service.
type fakeFeed struct {
	subscriber api.EngineObserver
	mailbox    *kernel.Mailbox[engineChanges]
}

type engineChanges struct {
	incarnation uint64
	changes     []api.CacheChange
}

func (f *fakeFeed) Provision(c *kernel.Context) error {
	f.mailbox = kernel.NewMailbox(c.Loop(), "feed", 4, kernel.Wait, func(now time.Duration, e engineChanges) {
		f.subscriber.CacheChanges(now, e.incarnation, e.changes)
	})
	return nil
}

func (f *fakeFeed) SubscribeEngine(o api.EngineObserver) { f.subscriber = o }

// send passes changes with the sequence numbers from first to last.
func (f *fakeFeed) send(t *testing.T, incarnation, first, last uint64) {
	t.Helper()
	e := engineChanges{incarnation: incarnation}
	for seq := first; seq <= last; seq++ {
		e.changes = append(e.changes, api.CacheChange{Seq: seq, Block: 100*incarnation + seq})
	}
	if err := f.mailbox.Post(t.Context(), e); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// Guards against a restarted engine whose cache changes begin again at number 1 while its
// agent goes on: routers would skip them as already applied until they pass the last
// number of the engine before, and would not see a gap.
func TestCacheChangesRiseOverEngineRestart(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		var last uint64
		for i, e := range []struct {
			incarnation, first, last uint64
			restarted                bool
		}{
			{7, 1, 10, false}, {7, 11, 12, false}, {8, 1, 3, true}, {8, 4, 20, false}, {9, 5, 6, true}, {7, 1, 1, true},
		} {
			fx.feed.send(t, e.incarnation, e.first, e.last)
			changes := fx.work.CacheChanges()
			added := changes[len(changes)-int(e.last-e.first+1):]
			if e.restarted && added[0].Seq <= last+1 || !e.restarted && added[0].Seq != last+1 {
				t.Errorf("batch %d of engine %d follows number %d with %d", i, e.incarnation, last, added[0].Seq)
			}
			for k, c := range added {
				if want := 100*e.incarnation + e.first + uint64(k); c.Block != want || c.Seq != added[0].Seq+uint64(k) {
					t.Errorf("batch %d: change %d is %+v, want block %d", i, k, c, want)
				}
			}
			last = added[len(added)-1].Seq
		}
	})
}
