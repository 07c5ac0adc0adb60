package mapswitch

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against a change that waits for another reading of all ranks, on which a
// pass or two go by, when the pass that it wanted to hold has just begun.
func TestAPassThatHasBegunIsFollowedByTheNext(t *testing.T) {
	s := New(0)
	now := time.Duration(0)
	var prepared *uint64
	read := func(step uint64) []Send {
		ranks := make([]api.RankReport, 3)
		for i := range ranks {
			ranks[i] = api.RankReport{Rank: i, Size: 3, Open: true, Epoch: 1, Step: step, Prepared: prepared}
		}
		now += 30 * time.Millisecond
		return s.Observe(now, now, 1, ranks)
	}
	read(100)
	for _, one := range s.Begin(now, 1, nil) {
		s.Answered(now, 1, one, api.RankDone)
	}
	version := s.Version()
	prepared = &version
	hold := read(101)
	again := s.Answered(now, 1, hold[0], api.RankRefused)
	if len(again) != 1 || again[0].Order.Op != api.RankHold || again[0].Order.Step != hold[0].Order.Step+1 {
		t.Fatalf("after %+v: %+v", hold, again)
	}
	if s.Answered(now, 1, again[0], api.RankRefused); s.Phase() != Preparing {
		t.Errorf("after two refusals: %v", s.Phase())
	}
}

// Guards against a group that waits for orders that get no answer: where those
// to prepare had to be repeated, the pass that is held lies further ahead.
func TestLostOrdersHoldALaterPass(t *testing.T) {
	const pass = 30 * time.Millisecond
	for _, c := range []struct {
		name    string
		lost    int
		atLeast uint64
		atMost  uint64
	}{
		{"no order lost", 0, 1, 1},
		{"two rounds of orders lost", 2, 4, 6},
		{"every order lost for a second", 16, 4, maxLeadPasses},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(0)
			now, step := time.Duration(0), uint64(100)
			var version uint64
			read := func() []Send {
				ranks := make([]api.RankReport, 3)
				for i := range ranks {
					ranks[i] = api.RankReport{Rank: i, Size: 3, Open: true, Epoch: 1, Step: step}
					if version != 0 {
						ranks[i].Prepared = &version
					}
				}
				now, step = now+pass, step+1
				return s.Observe(now, now, 1, ranks)
			}
			read()
			read()
			sends := s.Begin(now, 1, nil)
			for lost := 0; lost < c.lost; {
				if again := read(); len(again) > 0 {
					lost, sends = lost+1, again
				}
			}
			for _, one := range sends {
				s.Answered(now, 1, one, api.RankDone)
			}
			version = s.Version()
			last := step
			held := read()
			if len(held) != 1 || held[0].Order.Op != api.RankHold {
				t.Fatalf("%+v", held)
			}
			if lead := held[0].Order.Step - last; lead < c.atLeast || lead > c.atMost {
				t.Errorf("the pass held lies %d ahead, want %d to %d", lead, c.atLeast, c.atMost)
			}
		})
	}
}
