package mapswitch

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against a group that keeps map 0 after it formed again: a rank refuses versions
// that are not above all it has had, also in the epoch before, unless it restarted.
func TestVersionsRiseOverEpochs(t *testing.T) {
	t.Run("same leader", func(t *testing.T) { testVersionsRise(t, func(s *State) *State { return s }) })
	t.Run("new leader", func(t *testing.T) { testVersionsRise(t, func(*State) *State { return New(0) }) })
}

// testVersionsRise makes changes in two epochs. next returns the leader of the second one.
func testVersionsRise(t *testing.T, next func(*State) *State) {
	const size, changes = 3, 20
	s := New(0)
	now := time.Duration(0)
	var highest uint64
	observe := func(epoch, mapVersion uint64) {
		now += 30 * time.Millisecond
		ranks := make([]api.RankReport, size)
		for i := range ranks {
			ranks[i] = api.RankReport{Rank: i, Size: size, Formed: true, Epoch: epoch, Step: 1, MapVersion: mapVersion}
		}
		s.Observe(now, now, 1, ranks)
	}
	// prepare begins a change and reports whether the ranks that did not restart take it.
	prepare := func() bool {
		orders := s.Begin(now, 1, nil)
		taken := s.Version() > highest
		highest = max(highest, s.Version())
		result := api.RankRefused
		if taken {
			result = api.RankDone
		}
		for _, o := range orders {
			s.HandleResult(now, 1, o, result)
		}
		return taken
	}
	for i := range changes {
		observe(1, highest)
		if !prepare() {
			t.Fatalf("change %d: version %d was refused", i, s.Version())
		}
	}
	refused := 0
	s = next(s)
	for observe(2, 0); !prepare(); observe(2, 0) {
		if refused++; refused > 2*changes {
			break
		}
	}
	if refused > 0 {
		t.Errorf("%d changes of the next epoch were refused after %d changes of the epoch before", refused, changes)
	}
}
