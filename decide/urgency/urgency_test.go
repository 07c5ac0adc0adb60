package urgency_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/urgency"
)

const ms = time.Millisecond

// half is 1 for every other edge.
func half(_ time.Duration, edge int) float64 { return float64(edge % 2) }

// Plays loads for which the places of deployment A are too few, with the decision before this
// package and with this one. Guards against urgent requests that are refused or late as often
// as others, floors that are not kept, and processes that together send more than there is
// room for, whose requests then wait at the engines.
func TestUrgentRequestsAreServedInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		model model
		// gain is the least worth relative to that before, inTime the least part of the most
		// urgent kind in time.
		gain, inTime float64
	}{
		{"too few places", model{places: 340}, 1.2, 0.95},
		{"few edges", model{edges: 6, places: 340}, 1.15, 0.95},
		// An edge gets about one request in a second, too few to know the rates well.
		{"many edges", model{edges: 256, places: 340}, 1.1, 0.8},
		{"old reports", model{places: 340, reportAge: 300 * ms}, 1.25, 0.92},
		{"half of the reports lost", model{places: 340, lost: 0.5}, 1.2, 0.92},
		{"burst of the cheap kind", model{places: 580, factor: func(now time.Duration, kind int) float64 {
			if kind == 2 && now > 5*time.Second && now < 11*time.Second {
				return 4
			}
			return 1
		}}, 1.03, 0.98},
		{"burst of the urgent kind", model{places: 480, factor: func(now time.Duration, kind int) float64 {
			if kind == 0 && now > 5*time.Second && now < 8500*ms {
				return 1.8
			}
			return 1
		}}, 1.05, 0.95},
		{"peak in each zone in turn", model{places: 400, weight: func(now time.Duration, edge int) float64 {
			if edge%3 == int(now/(4*time.Second))%3 {
				return 1
			}
			return 0.4
		}}, 1.15, 0.9},
		{"requests at half of the edges", model{places: 340, weight: half}, 1.3, 0.95},
		{"half of the edges just started", model{places: 340, known: func(now time.Duration, edge int) int {
			if edge%2 == 0 && now < 2*time.Second {
				return 72
			}
			return 22
		}}, 1.2, 0.92},
		{"one customer with half of the traffic", model{places: 280, bigMember: 0.5}, 1.1, 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			before, after := c.model.compare()
			first, last := float64(after.inTime[0])/float64(after.asked[0]), after.admitted(2)
			t.Logf("worth %.3f before, %.3f after; %.3f of the most urgent kind in time; admitted %.2f, %.2f, %.2f; %.1f wait at engines",
				before.part(), after.part(), first, after.admitted(0), after.admitted(1), after.admitted(2), after.queued)
			if after.part() < c.gain*before.part() || first < c.inTime {
				t.Errorf("worth %.3f instead of %.3f, %.3f of the most urgent kind in time, want %v times the worth and %v",
					after.part(), before.part(), first, c.gain, c.inTime)
			}
			all := after.admittedOfAll()
			if after.admitted(0) < after.admitted(1)-0.02 || after.admitted(1) < last-0.02 || last < 0.25*all {
				t.Errorf("admitted %.2f, %.2f, %.2f, want no more of a less urgent kind and a quarter of %.2f of each", after.admitted(0), after.admitted(1), last, all)
			}
			if after.queued > float64(c.model.places)/50 {
				t.Errorf("%.1f requests wait at the engines, want at most a fiftieth of the places", after.queued)
			}
		})
	}
}

// Guards against requests that wait or are refused while there is room for all.
func TestRoomForAllIsUsed(t *testing.T) {
	_, after := model{places: 720}.compare()
	if after.part() < 0.999 {
		t.Errorf("worth %.3f, want all", after.part())
	}
}

// Guards against a customer that gets more of the places than another with the same demand,
// and against one with half of the traffic that takes the places of the others or gets none.
func TestMembersGetFairShares(t *testing.T) {
	_, equal := model{places: 340}.compare()
	sum, squares := 0.0, 0.0
	for i := range members {
		x := float64(equal.servedBy[i]) / float64(equal.askedBy[i])
		sum, squares = sum+x, squares+x*x
	}
	if jain := sum * sum / squares / members; jain < 0.99 {
		t.Errorf("Jain index %.4f, want 0.99", jain)
	}
	_, big := model{places: 340, bigMember: 0.5}.compare()
	asked, served := 0, 0
	for i := 1; i < members; i++ {
		asked, served = asked+big.askedBy[i], served+big.servedBy[i]
	}
	rate, others := float64(big.servedBy[0])/float64(big.askedBy[0]), float64(served)/float64(asked)
	t.Logf("%.2f of the big customer's requests served, %.2f of the others'", rate, others)
	if rate > others || rate < others/2 {
		t.Errorf("%.2f of the big customer's requests served, want %.2f to %.2f", rate, others/2, others)
	}
}

// queue adds a request per member name and priority; all get a first event in time until 400 ms.
func queue(s *urgency.State, room urgency.Room, members string, priority int32) {
	for _, member := range members {
		_, displaced := s.Add(0, urgency.Request{Member: string(member), Priority: priority, FirstEventBy: 400 * ms, Deadline: time.Hour}, room)
		if displaced != nil {
			s.Refuse(0, displaced)
		}
	}
}

// Guards against a wrong order of the waiting requests.
func TestOrderOfWaitingRequests(t *testing.T) {
	s, room := urgency.New(1), urgency.Room{Places: 100, Processes: 1, EndRate: 100}
	queue(s, room, "aaab", 0)
	queue(s, room, "c", 1)
	s.Add(0, urgency.Request{Member: "late", Priority: 2, FirstEventBy: 5 * ms, Deadline: time.Hour}, room)
	s.Add(0, urgency.Request{Member: "free", Priority: 0, Deadline: time.Hour}, room)
	got := ""
	for w := s.Next(10*ms, room); w != nil; w = s.Next(10*ms, room) {
		s.Admit(10*ms, w)
		got += w.Member + " "
	}
	if want := "c a b free a a late "; got != want {
		t.Errorf("order %q, want %q", got, want)
	}
}

// Guards against a queue that grows without a bound or that one customer fills, and against
// requests that stay after their callers gave up.
func TestWaitingRequestsAreBounded(t *testing.T) {
	s, room := urgency.New(1), urgency.Room{Processes: 1, EndRate: 5}
	queue(s, room, "aaaaaaaaaaaaaaaaaaaa", 0)
	if s.Len() != 5 {
		t.Errorf("%d requests of one member wait, want half of the 10 that end in 2 s", s.Len())
	}
	queue(s, room, "bcdefghijklm", 0)
	if s.Len() != 10 {
		t.Errorf("%d requests wait, want 10", s.Len())
	}
	_, displaced := s.Add(0, urgency.Request{Member: "n", Priority: 1, Deadline: time.Hour}, room)
	if displaced == nil || displaced.Member != "a" {
		t.Fatalf("displaced %+v, want a request of the member with most", displaced)
	}
	s.Refuse(0, displaced)
	if w, _ := s.Add(0, urgency.Request{Member: "o", Priority: -1, Deadline: time.Hour}, room); w != nil {
		t.Error("a less urgent request waits although the queue is full")
	}
	// A refusal must reach its caller before it gives up.
	const refusedAt = 1900 * time.Millisecond
	if n := len(s.Expired(refusedAt - 1)); n != 0 {
		t.Errorf("%d requests expired too early", n)
	}
	if n := len(s.Expired(refusedAt)); n != 10 {
		t.Errorf("%d requests expired just before their callers give up, want 10", n)
	}
}

// Guards against refused callers that come back together, before there is a place for them, or
// less urgent ones before the urgent ones.
func TestRefusedCallersComeBackPaced(t *testing.T) {
	s, room := urgency.New(1), urgency.Room{Processes: 1, EndRate: 40}
	for at := time.Duration(0); at < 5*time.Second; at += 50 * ms {
		for priority := range int32(2) {
			s.Arrive(at, urgency.Request{Priority: priority}, room)
		}
	}
	now, perSecond, urgent, last := 5*time.Second, make([]int, 4), time.Duration(0), time.Duration(0)
	for range 30 {
		after := s.RetryAfter(now, 1)
		perSecond[int(after/time.Second)]++
		urgent += after / 30
		last += s.RetryAfter(now, 0) / 30
	}
	// Of 40 places a second the urgent arrivals take 20, and both kinds take all.
	for second, n := range perSecond {
		if n > 25 {
			t.Errorf("%d urgent callers come back in second %d, want at most 20 and a few", n, second)
		}
	}
	if urgent >= last {
		t.Errorf("urgent callers come back after %v, less urgent ones after %v", urgent, last)
	}
	if after := s.RetryAfterForming(now, 1, 10*time.Second); after < 10*time.Second {
		t.Errorf("comes back after %v to a group that forms in 10s", after)
	}
}

// Guards against a late request that is sent while only those in time may be, and against one
// that holds up requests in time because its priority is below its floor.
func TestLateRequestsLeavePlacesToThoseInTime(t *testing.T) {
	s := urgency.New(1)
	s.ObserveFirstEvent(60 * ms)
	room := urgency.Room{Places: 100, Processes: 1, InTimeOnly: true}
	for range 20 {
		s.Refused(0, urgency.Request{Member: "m", Priority: 1})
		s.Admitted(0, urgency.Request{Member: "m", Priority: 5})
	}
	late := urgency.Request{Member: "m", Priority: 1, FirstEventBy: 50 * ms, Deadline: 8 * time.Second}
	inTime := urgency.Request{Member: "m", Priority: 5, FirstEventBy: 400 * ms, Deadline: 8 * time.Second}
	first, _ := s.Add(10*ms, late, room)
	second, _ := s.Add(10*ms, inTime, room)
	if w := s.Next(20*ms, room); w != second {
		t.Fatalf("%+v goes first, want the one in time", w)
	}
	s.Admit(20*ms, second)
	if w := s.Next(20*ms, room); w != nil {
		t.Errorf("%+v is sent", w)
	}
	room.InTimeOnly = false
	if w := s.Next(20*ms, room); w != first {
		t.Errorf("%+v is sent, want the late one", w)
	}
	if s.InTime(20*ms, late) || !s.InTime(20*ms, inTime) {
		t.Error("wrong request in time")
	}
}
