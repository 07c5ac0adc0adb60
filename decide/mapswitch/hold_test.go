package mapswitch

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against a change that is delayed by one or two passes because the pass to
// hold has just begun: the leader must hold the next pass without waiting for
// another snapshot of all ranks.
func TestRefusedHoldRetriesNextPass(t *testing.T) {
	s := New(0)
	now := time.Duration(0)
	var prepared *uint64
	observe := func(step uint64) []OutgoingOrder {
		ranks := make([]api.RankReport, 3)
		for i := range ranks {
			ranks[i] = api.RankReport{Rank: i, Size: 3, Formed: true, Epoch: 1, Step: step, PreparedMapVersion: prepared}
		}
		now += 30 * time.Millisecond
		return s.Observe(now, now, 1, ranks)
	}
	observe(100)
	for _, prepare := range s.Begin(now, 1, nil) {
		s.HandleResult(now, 1, prepare, api.RankDone)
	}
	version := s.Version()
	prepared = &version
	hold := observe(101)
	for range maxHoldAttempts - 1 {
		retry := s.HandleResult(now, 1, hold[0], api.RankRefused)
		if len(retry) != 1 || retry[0].Order.Op != api.RankHold || retry[0].Order.Step != hold[0].Order.Step+1 {
			t.Fatalf("orders after refused hold %+v: %+v, want hold of the next pass", hold, retry)
		}
		hold = retry
	}
	if s.HandleResult(now, 1, hold[0], api.RankRefused); s.Phase() != Preparing {
		t.Errorf("phase after %d refused holds: %v, want preparing", maxHoldAttempts, s.Phase())
	}
}

// Guards against a hold that stalls the group while lost arm orders are resent: if
// prepare orders had to be resent, the leader must hold a later pass.
func TestLostOrdersHoldLaterPass(t *testing.T) {
	const pass = 30 * time.Millisecond
	for _, c := range []struct {
		name       string
		lostRounds int
		// minAhead and maxAhead limit the distance from the last pass to the held one.
		minAhead uint64
		maxAhead uint64
	}{
		{"no order lost", 0, 1, 1},
		{"two rounds of orders lost", 2, 4, 6},
		{"every order lost for a second", 16, 4, maxPassesAhead},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(0)
			now, step := time.Duration(0), uint64(100)
			var version uint64
			observe := func() []OutgoingOrder {
				ranks := make([]api.RankReport, 3)
				for i := range ranks {
					ranks[i] = api.RankReport{Rank: i, Size: 3, Formed: true, Epoch: 1, Step: step}
					if version != 0 {
						ranks[i].PreparedMapVersion = &version
					}
				}
				now, step = now+pass, step+1
				return s.Observe(now, now, 1, ranks)
			}
			observe()
			observe()
			orders := s.Begin(now, 1, nil)
			for lost := 0; lost < c.lostRounds; {
				if resent := observe(); len(resent) > 0 {
					lost, orders = lost+1, resent
				}
			}
			for _, prepare := range orders {
				s.HandleResult(now, 1, prepare, api.RankDone)
			}
			version = s.Version()
			lastStep := step
			hold := observe()
			if len(hold) != 1 || hold[0].Order.Op != api.RankHold {
				t.Fatalf("%+v", hold)
			}
			if ahead := hold[0].Order.Step - lastStep; ahead < c.minAhead || ahead > c.maxAhead {
				t.Errorf("held pass is %d ahead of the last one, want %d to %d", ahead, c.minAhead, c.maxAhead)
			}
		})
	}
}

// Guards against a hold that makes every running response late although passes are in time,
// and against a later change where that gains nothing.
func TestHoldDoesNotExceedAcceptedPause(t *testing.T) {
	const pause, orderTime = 120 * time.Millisecond, 67 * time.Millisecond
	for _, c := range []struct {
		pass  time.Duration
		ahead uint64
	}{{40 * time.Millisecond, 2}, {50 * time.Millisecond, 2}, {90 * time.Millisecond, 2}, {119 * time.Millisecond, 2}, {150 * time.Millisecond, 1}} {
		s := New(0)
		s.SetOrderTime(orderTime)
		s.SetAcceptedPause(pause)
		now, step := time.Duration(0), uint64(100)
		var prepared *uint64
		observe := func() []OutgoingOrder {
			ranks := make([]api.RankReport, 3)
			for i := range ranks {
				ranks[i] = api.RankReport{Rank: i, Size: 3, Formed: true, Epoch: 1, Step: step, PreparedMapVersion: prepared}
			}
			now, step = now+c.pass, step+1
			return s.Observe(now, now, 1, ranks)
		}
		observe()
		observe()
		for _, prepare := range s.Begin(now, 1, nil) {
			s.HandleResult(now, 1, prepare, api.RankDone)
		}
		version := s.Version()
		prepared = &version
		lastStep := step
		hold := observe()
		if len(hold) != 1 || hold[0].Order.Step-lastStep != c.ahead {
			t.Errorf("pass of %v: %+v, want a hold %d passes ahead", c.pass, hold, c.ahead)
		}
	}
}

// Guards against a hold that stalls the group again in each change while orders are lost, and
// against changes that stay slow after that.
func TestHoldFollowsDurationOfLastChanges(t *testing.T) {
	const pass = 50 * time.Millisecond
	s := New(0)
	now, step := time.Duration(0), uint64(100)
	var current uint64
	var prepared *uint64
	observe := func() []OutgoingOrder {
		ranks := make([]api.RankReport, 3)
		for i := range ranks {
			ranks[i] = api.RankReport{Rank: i, Size: 3, Formed: true, Epoch: 1, Step: step, MapVersion: current, PreparedMapVersion: prepared}
		}
		now, step = now+pass, step+1
		return s.Observe(now, now, 1, ranks)
	}
	// change makes a change whose orders take a time each, and returns how far ahead the held
	// pass was.
	change := func(orderTime time.Duration) uint64 {
		observe()
		observe()
		orders := s.Begin(now, 1, nil)
		for _, prepare := range orders {
			s.HandleResult(now, 1, prepare, api.RankDone)
		}
		version := s.Version()
		prepared = &version
		lastStep := step
		orders = observe()
		ahead := orders[0].Order.Step - lastStep
		for s.Phase() != Settling {
			now += orderTime
			next := []OutgoingOrder{}
			for _, o := range orders {
				next = append(next, s.HandleResult(now, 1, o, api.RankDone)...)
			}
			orders = next
		}
		current, prepared = version, nil
		step += ahead
		observe()
		return ahead
	}
	if ahead := change(time.Millisecond); ahead != 1 {
		t.Errorf("first change holds %d passes ahead, want 1", ahead)
	}
	change(40 * time.Millisecond)
	if ahead := change(time.Millisecond); ahead < 4 {
		t.Errorf("after a change of 200 ms: %d passes ahead, want 4 at least", ahead)
	}
	for range 6 {
		change(time.Millisecond)
	}
	if ahead := change(time.Millisecond); ahead != 1 {
		t.Errorf("after fast changes: %d passes ahead, want 1", ahead)
	}
}

// Guards against a change that waits for a read longer than necessary: one that started
// before the experts were copied shows nothing new, and is in the way of the next one.
func TestReadIsDueWhenExpertsAreCopied(t *testing.T) {
	const copying = 33 * time.Millisecond
	s := New(0)
	ranks := make([]api.RankReport, 3)
	for i := range ranks {
		ranks[i] = api.RankReport{Rank: i, Size: 3, Formed: true, Epoch: 1, Step: 100}
	}
	s.Observe(time.Second, time.Second, 1, ranks)
	prepares := s.Begin(time.Second, 1, nil)
	confirmed := time.Second
	for _, prepare := range prepares {
		if _, waits := s.SnapshotDue(copying); waits || !s.AwaitsResults() {
			t.Fatal("a read is due while orders to prepare have no result")
		}
		confirmed += 20 * time.Millisecond
		s.HandleResult(confirmed, 1, prepare, api.RankDone)
	}
	if from, waits := s.SnapshotDue(copying); !waits || s.AwaitsResults() || from != confirmed+copying {
		t.Errorf("read due from %v (%t), want %v after the last confirmation", from, waits, copying)
	}
	version, now := s.Version(), confirmed+copying
	for i := range ranks {
		ranks[i].PreparedMapVersion = &version
	}
	orders := s.Observe(now, now, 1, ranks)
	for s.Phase() != Settling {
		if _, waits := s.SnapshotDue(copying); waits || !s.AwaitsResults() || len(orders) == 0 {
			t.Fatalf("phase %v: a read is due, or no order is left", s.Phase())
		}
		o := orders[0]
		orders = append(orders[1:], s.HandleResult(now, 1, o, api.RankDone)...)
	}
	if from, waits := s.SnapshotDue(copying); !waits || from != now {
		t.Errorf("read due from %v (%t) after the release, want at once", from, waits)
	}
}
