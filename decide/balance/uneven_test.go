package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
)

const otherRanks = groupRanks / 2

// newUnevenState returns a state with two groups of four ranks, as one of several processes.
func newUnevenState(processes int, seed uint64) *balance.State {
	v := newView()
	for rank := range groupRanks {
		id := fmt.Sprint("r", rank)
		v.Instances[id] = api.Instance{ID: id, Service: "s", Slots: rankSlots, Zone: "z", Address: fmt.Sprintf("10.0.0.%d:80", rank)}
	}
	v.Table.Services["s"] = api.ServiceProfile{Name: "s", Engine: &api.EngineProfile{
		StepTime: 4550 * time.Microsecond, RequestTime: 500 * time.Microsecond, StepsPerPass: 4, ReadTime: 20 * time.Millisecond,
	}}
	v.Table.Routes = []api.Route{{Splits: []api.Split{{Service: "s", Weight: 1}}, MaxPause: 120 * time.Millisecond}}
	s := balance.New(balance.Options{Zone: "z", Seed: seed})
	s.SetFleet(newFleetView(0, processes))
	s.Configure(0, v)
	return s
}

// observe reports the loads of both groups, with the same number of requests on each rank.
// change may change them.
func observe(s *balance.State, at time.Duration, requests int, change func(first, second *api.GroupLoad)) {
	all := newGroupLoad(at, requests)
	first, second := all, all
	first.Group, first.Ranks = "g0", all.Ranks[:otherRanks]
	second.Group, second.Ranks = "g1", all.Ranks[otherRanks:]
	first.PassTime, second.PassTime = 30*time.Millisecond, 30*time.Millisecond
	if change != nil {
		change(&first, &second)
	}
	s.ObserveGroupLoad(first)
	s.ObserveGroupLoad(second)
}

// placeMany places n requests and returns how many went to the first group.
func placeMany(s *balance.State, now time.Duration, n int) (first, placed int) {
	for range n {
		room := s.Survey(now, "s", nil)
		c, ok := s.PlaceUrgent(now, &room)
		if !ok {
			break
		}
		placed++
		var rank int
		_, _ = fmt.Sscanf(c.Upstream, "r%d", &rank)
		if rank < otherRanks {
			first++
		}
	}
	return first, placed
}

// Guards against a change for deployments whose groups are alike: each choice is that for a
// single group of the same ranks.
func TestGroupsThatAreAlikeArePlacedAsOne(t *testing.T) {
	one, two := newUnevenState(6, 1), newUnevenState(6, 1)
	random := rand.New(rand.NewPCG(1, 1))
	for step := range 400 {
		now := time.Duration(step+100) * 10 * time.Millisecond
		if step%12 == 0 {
			l := newGroupLoad(now, 0)
			for i := range l.Ranks {
				l.Ranks[i].Requests = random.IntN(rankSlots)
			}
			l.PassTime = time.Duration(30+random.IntN(8)) * time.Millisecond
			one.ObserveGroupLoad(l)
			observe(two, now, 0, func(first, second *api.GroupLoad) {
				first.Ranks, second.Ranks = l.Ranks[:otherRanks], l.Ranks[otherRanks:]
				first.PassTime, second.PassTime = l.PassTime, l.PassTime
			})
		}
		a, failureA := one.Choose(now, "s", nil)
		b, failureB := two.Choose(now, "s", nil)
		if a != b || (failureA == nil) != (failureB == nil) {
			t.Fatalf("at %v: %+v %v with one group, %+v %v with two", now, a, failureA, b, failureB)
		}
		if room := two.Survey(now, "s", nil); room.Difference != balance.GroupsAlike || room.EntryAt != 0 {
			t.Fatalf("at %v: %+v", now, room)
		}
	}
}

// Guards against requests to a group that is about to break while the other has room, and
// against refusals once the other is full.
func TestGroupAtRiskIsTheLastResort(t *testing.T) {
	const now = time.Second + 10*time.Millisecond
	for name, threaten := range map[string]func(s *balance.State){
		"a rank is leaving": func(s *balance.State) {
			s.ObserveStatement(now, api.UpstreamStatement{Upstream: "r0", Leaving: true})
		},
		"a rank is missing": func(s *balance.State) {
			observe(s, time.Second+5*time.Millisecond, 2, func(first, _ *api.GroupLoad) { first.ReadAt, first.Ranks = now+300*time.Millisecond, first.Ranks[1:] })
		},
		"an attempt failed": func(s *balance.State) {
			s.Done(now, "r0", api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, ""))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newUnevenState(1, 1)
			observe(s, time.Second, 2, nil)
			threaten(s)
			const free = otherRanks * (rankSlots - 2)
			if first, placed := placeMany(s, now, free); first > 0 || placed < free {
				t.Errorf("%d of %d requests went to the group at risk while the other had room for %d", first, placed, free)
			}
			// The preference for the own zone may add one request to a full group.
			if first, placed := placeMany(s, now, 5); first < 4 || placed < 5 {
				t.Errorf("%d of %d requests went to the group at risk while the other was full, want 4 of 5", first, placed)
			}
		})
	}
}

// Guards against a group that is avoided for good, although it was formed without a rank that
// left.
func TestGroupWithoutTheRankThatLeftIsUsed(t *testing.T) {
	s := newUnevenState(1, 1)
	observe(s, time.Second, 2, nil)
	s.ObserveStatement(time.Second, api.UpstreamStatement{Upstream: "r0", Leaving: true})
	now := time.Second
	for range 30 {
		now += 100 * time.Millisecond
		observe(s, now, 2, func(first, _ *api.GroupLoad) { first.Ranks = first.Ranks[1:] })
	}
	if first, placed := placeMany(s, now, 4*otherRanks); first < otherRanks {
		t.Errorf("%d of %d requests went to the group without the rank that left", first, placed)
	}
}

// Guards against several processes that together send more to the group that is not at risk
// than it has room for, within the age of a report.
func TestProcessesDoNotOverfillTheOtherGroup(t *testing.T) {
	const processes, rounds, free = 24, 20, otherRanks * 4
	toOther := 0
	for p := range processes * rounds {
		s := newUnevenState(processes, uint64(p)+1)
		// Each process knows its rate of arrivals, 20 in a second.
		for i := range 200 {
			s.RecordArrival(time.Second+time.Duration(i)*50*time.Millisecond, "s")
		}
		const now = 11 * time.Second
		observe(s, now, rankSlots-4, nil)
		s.Done(now, "r0", api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, ""))
		first, placed := placeMany(s, now+50*time.Millisecond, 1)
		toOther += placed - first
	}
	mean := float64(toOther) / rounds
	t.Logf("%.1f of %d requests went to a group with room for %d", mean, processes, free)
	// The preference for the own zone adds 0.3 places on each rank.
	if mean > free+0.3*otherRanks+1.5 || mean < free/2 {
		t.Errorf("%.1f requests went to a group with room for %d", mean, free)
	}
}

// Guards against requests to the lost rank of a group that is being formed: it has no load
// anymore and looks idle.
func TestLostRankOfFormingGroupGetsNothing(t *testing.T) {
	s := newUnevenState(1, 1)
	observe(s, time.Second, 2, nil)
	for at := time.Second; at < 4*time.Second; at += 100 * time.Millisecond {
		observe(s, at, 2, func(first, _ *api.GroupLoad) { first.Formed, first.Ranks = false, first.Ranks[1:] })
		if first, placed := placeMany(s, at, 1); first > 0 || placed < 1 {
			t.Fatalf("at %v: %d of %d requests went to the group that is being formed", at, first, placed)
		}
	}
}

// Guards against a group that was just formed and gets full batches of prompts at once, so that
// its first passes take longer than the accepted pause.
func TestBatchesOfFormedGroupFillOneAfterTheOther(t *testing.T) {
	s := newUnevenState(1, 1)
	observe(s, time.Second, 6, func(first, _ *api.GroupLoad) { first.Formed = false })
	now := 1100 * time.Millisecond
	observe(s, now, 6, func(first, _ *api.GroupLoad) {
		for i := range first.Ranks {
			first.Ranks[i].Requests = 0
		}
	})
	if room := s.Survey(now, "s", nil); room.Difference != balance.GroupFilling {
		t.Errorf("%v, want a group that fills", room.Difference)
	}
	if first, placed := placeMany(s, now, 2*otherRanks); placed < 2*otherRanks || first > 3*otherRanks/2 {
		t.Errorf("%d of %d requests went to the idle group in one pass, want at most %d", first, placed, 3*otherRanks/2)
	}
	for range 25 {
		now += 200 * time.Millisecond
		observe(s, now, 0, nil)
	}
	if room := s.Survey(now, "s", nil); room.Difference != balance.GroupsAlike {
		t.Errorf("%v 5 s later, want groups that are alike", room.Difference)
	}
}

// Guards against interrupted responses that all resume in the same pass of the other groups.
func TestLateRequestsEnterOneAfterTheOther(t *testing.T) {
	s := newUnevenState(2, 1)
	observe(s, time.Second, 2, func(first, _ *api.GroupLoad) { first.Formed = false })
	sent, now := 0, time.Second+time.Millisecond
	for end := now + 200*time.Millisecond; now < end; now += time.Millisecond {
		room := s.Survey(now, "s", nil)
		if room.EntryAt > now {
			if room.EntryAt > now+time.Second {
				t.Fatalf("at %v: the next request may enter at %v", now, room.EntryAt)
			}
			continue
		}
		if _, ok := s.PlaceUrgent(now, &room); ok {
			room.TakeEntry()
			sent++
		}
	}
	if sent < 2 || sent > 2*otherRanks {
		t.Errorf("%d late requests entered in 200 ms, want 2 to %d", sent, 2*otherRanks)
	}
}

// Guards against a slow group whose batches fill because a single measurement is so long that
// even small batches would be too slow.
func TestSlowGroupKeepsSmallBatches(t *testing.T) {
	s := newUnevenState(1, 1)
	now := time.Second
	for i := range 60 {
		now += 100 * time.Millisecond
		observe(s, now, 6, func(first, _ *api.GroupLoad) {
			first.PassTime = 95 * time.Millisecond
			if i == 59 {
				first.PassTime = 300 * time.Millisecond
			}
		})
	}
	room := s.Survey(now, "s", nil)
	first, _ := placeMany(s, now, 2*groupRanks*rankSlots)
	if room.Difference != balance.GroupSlow || first > 2*otherRanks {
		t.Errorf("%v, the slow group got %d more requests, want at most %d", room.Difference, first, 2*otherRanks)
	}
}

// BenchmarkPlace measures a choice among groups that are alike, and among groups of which one is
// being formed. The latter may take one more allocation.
func BenchmarkPlace(b *testing.B) {
	for _, formed := range []bool{true, false} {
		b.Run(fmt.Sprint("formed=", formed), func(b *testing.B) {
			s := newUnevenState(6, 1)
			observe(s, time.Second, 2, func(first, _ *api.GroupLoad) { first.Formed = formed })
			b.ReportAllocs()
			for b.Loop() {
				room := s.Survey(time.Second, "s", nil)
				if c, ok := s.PlaceUrgent(time.Second, &room); ok {
					s.Withdraw(time.Second, c.Upstream)
				}
			}
		})
	}
}

// Guards against full batches, and passes that are too long for seconds, after a leader was
// replaced by one that knows neither the time of a pass nor the last shift of demand, and
// against limits that outlast what they were learned from.
func TestLimitsOutlastLeader(t *testing.T) {
	for _, c := range []struct {
		name             string
		passTime         time.Duration
		shift            float64
		silent           time.Duration
		wantLessThanFull bool
	}{
		{"long passes", 190 * time.Millisecond, 0, time.Second, true},
		{"shifts", 60 * time.Millisecond, 4, time.Second, true},
		{"long ago", 190 * time.Millisecond, 4, 6 * time.Second, false},
	} {
		places := func(s *balance.State, l api.GroupLoad) float64 {
			s.ObserveGroupLoad(l)
			return s.Survey(l.ReadAt+10*time.Millisecond, "s", nil).Places
		}
		s := newGroupState()
		full := places(s, newGroupLoad(time.Second, 6))
		for at := 2 * time.Second; at < 3*time.Second; at += 100 * time.Millisecond {
			known := newGroupLoad(at, 6)
			known.PassTime, known.ShiftImbalance = c.passTime, c.shift
			places(s, known)
		}
		if got := places(s, newGroupLoad(3*time.Second+c.silent, 6)); (got < full) != c.wantLessThanFull {
			t.Errorf("%s: %.1f places, %.1f with full batches", c.name, got, full)
		}
	}
}
