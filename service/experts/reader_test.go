package experts

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rankpacing"
	"github.com/mulberryfork/mulberryfork/wire"
)

// testClock is the clock of the synctest bubble.
type testClock struct{ start time.Time }

func (c testClock) Now() time.Duration { return time.Since(c.start) }

type discardLog struct{}

func (discardLog) Change(string, api.Fields)                     {}
func (discardLog) Decision(string, api.DecisionKind, api.Fields) {}

// Guards against a rank that does not respond and thereby delays the reads of all
// others: a leader then polls its group too seldom, and others take the lead.
func TestSlowRankDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowRank = "slow"
		r := newReader(testClock{time.Now()}, discardLog{}, func(ctx context.Context, address string, _ wire.RankReadRequest) (api.RankState, error) {
			if address == slowRank {
				select {
				case <-time.After(500 * time.Millisecond):
				case <-ctx.Done():
					return api.RankState{}, ctx.Err()
				}
			}
			return api.RankState{}, nil
		})
		pacing := rankpacing.Group{Ranks: 64, Layers: 12, Experts: 256, LinkMbps: 6, CPUShare: 0.24}
		targets := []target{{address: slowRank}}
		for i := range 63 {
			targets = append(targets, target{address: fmt.Sprint(i)})
		}
		startedAt := time.Now()
		first := r.read(t.Context(), wire.RankReadRequest{}, targets, pacing)
		if took := time.Since(startedAt); len(first) != 63 || took >= 500*time.Millisecond {
			t.Errorf("%d responses after %v, want 63 without waiting for the slow rank", len(first), took)
		}
		time.Sleep(500 * time.Millisecond)
		second := r.read(t.Context(), wire.RankReadRequest{}, targets, pacing)
		if len(second) != 64 {
			t.Fatalf("%d responses in the second round, want 64", len(second))
		}
		for _, reading := range second {
			if reading.state.Report.Address == slowRank && reading.startedAt != 0 {
				t.Errorf("the late response counts as read at %v, want 0", reading.startedAt)
			}
		}
		time.Sleep(time.Second)
		synctest.Wait()
	})
}
