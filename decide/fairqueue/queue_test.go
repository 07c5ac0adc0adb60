package fairqueue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/fairqueue"
)

var config = fairqueue.Config{AgeStep: time.Second, MaxPriority: 2, AdvantageTokens: 50}

type entry = fairqueue.Entry[int]

// oracle is the same policy over a plain list, searched from end to end.
type oracle struct {
	weight, tag map[string]float64
	limit       map[string]int
	waiting     []entry
	arrived     map[api.SendID]time.Duration
	virtual     float64
}

func level(p int32) time.Duration { return time.Duration(min(max(p, -2), 2)) }

func (o *oracle) of(member string) []entry {
	return slices.DeleteFunc(slices.Clone(o.waiting), func(e entry) bool { return e.Member != member })
}

func (o *oracle) push(now time.Duration, e entry) bool {
	mine := o.of(e.Member)
	if now >= e.Deadline || len(mine) >= o.limit[e.Member] {
		return false
	}
	if len(mine) == 0 {
		o.tag[e.Member] = max(o.tag[e.Member], o.virtual)
	}
	o.arrived[e.ID] = now
	o.waiting = append(o.waiting, e)
	return true
}

// head returns a member's next request: the first arrival in aged order.
func (o *oracle) head(member string) (entry, bool) {
	mine := o.of(member)
	if len(mine) == 0 {
		return entry{}, false
	}
	turn := func(e entry) time.Duration { return o.arrived[e.ID] - level(e.Priority)*config.AgeStep }
	best := mine[0]
	for _, e := range mine[1:] {
		if turn(e) < turn(best) {
			best = e
		}
	}
	return best, true
}

func (o *oracle) pop() (entry, bool) {
	var best entry
	var rank float64
	found := false
	for _, m := range []string{"a", "b", "c"} {
		e, ok := o.head(m)
		r := o.tag[m] - float64(level(e.Priority))*config.AdvantageTokens/o.weight[m]
		if ok && (!found || r < rank) {
			best, rank, found = e, r, true
		}
	}
	if found {
		o.virtual = max(o.virtual, o.tag[best.Member])
		o.tag[best.Member] += float64(best.Cost) / o.weight[best.Member]
		o.drop(best.ID)
	}
	return best, found
}

func (o *oracle) drop(id api.SendID) {
	o.waiting = slices.DeleteFunc(o.waiting, func(e entry) bool { return e.ID == id })
}

// A heap that is not updated after a cancel, a correction or a new head takes
// requests in the wrong order.
func TestQueueMatchesAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int](config)
		o := &oracle{weight: map[string]float64{}, tag: map[string]float64{}, limit: map[string]int{}, arrived: map[api.SendID]time.Duration{}}
		for i, m := range []string{"a", "b", "c"} {
			o.weight[m], o.limit[m] = float64(int(1)<<i), 4
			q.SetMember(m, o.weight[m], 4)
		}
		var now time.Duration
		n, running := 0, map[string]int{}
		member := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"push": func(t *rapid.T) {
				n++
				e := entry{
					ID: api.SendID{Request: fmt.Sprint(n)}, Member: member.Draw(t, "member"), Value: n,
					Cost:     rapid.Uint32Range(1, 200).Draw(t, "cost"),
					Priority: rapid.Int32Range(-3, 3).Draw(t, "priority"),
					Deadline: now + time.Duration(rapid.IntRange(0, 9).Draw(t, "s"))*time.Second,
				}
				if failure := q.Push(now, e); (failure == nil) != o.push(now, e) {
					t.Fatalf("push %+v: %v", e, failure)
				}
			},
			"pop": func(t *rapid.T) {
				peeked, _ := q.Peek(1)
				got, ok := q.Pop(now, 1)
				want, found := o.pop()
				running[got.Member]++
				if ok != found || got != want || peeked != got {
					t.Fatalf("popped %+v, want %+v", got, want)
				}
			},
			"correct": func(t *rapid.T) {
				m, actual := member.Draw(t, "member"), rapid.Uint32Range(1, 200).Draw(t, "actual")
				if running[m] == 0 {
					return
				}
				running[m]--
				q.Finish(now, m, 100, actual)
				o.tag[m] += (float64(actual) - 100) / o.weight[m]
			},
			"cancel": func(t *rapid.T) {
				id := api.SendID{Request: fmt.Sprint(rapid.IntRange(0, n+1).Draw(t, "id"))}
				q.Cancel(id)
				o.drop(id)
			},
			"expire": func(t *rapid.T) {
				for _, e := range q.Expire(now) {
					if e.Deadline > now {
						t.Fatalf("expired early: %+v", e)
					}
					o.drop(e.ID)
				}
				if d, ok := q.NextDeadline(); ok && d <= now {
					t.Fatal("a late request still waits")
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(o.waiting) {
					t.Fatalf("%d wait, want %d", q.Len(), len(o.waiting))
				}
				var cost uint64
				for _, e := range o.waiting {
					cost += uint64(max(e.Cost, 1))
				}
				if q.WaitingCost() != cost {
					t.Fatalf("a cost of %d waits, want %d", q.WaitingCost(), cost)
				}
			},
		})
		if drained := q.Drain(); len(drained) != len(o.waiting) || q.Len() != 0 || q.Waiting("a") != 0 {
			t.Fatalf("drained %d of %d", len(drained), len(o.waiting))
		}
	})
}

const maxSize = 400

// Backlogged members must be served in proportion to their weights, whatever
// their request sizes, estimates and priorities.
func TestBackloggedMembersAreServedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int](config)
		weights := rapid.SliceOfN(rapid.Float64Range(1, 10), 2, 10).Draw(t, "weights")
		sizes := rapid.SliceOfN(rapid.Uint32Range(10, maxSize), len(weights), len(weights)).Draw(t, "sizes")
		served := make([]float64, len(weights))
		n := 0
		push := func(m int) {
			n++
			e := entry{ID: api.SendID{Request: fmt.Sprint(n)}, Member: fmt.Sprint(m), Cost: 100, Value: m, Priority: int32(m%5) - 2, Deadline: time.Hour}
			if f := q.Push(0, e); f != nil {
				t.Fatal(f)
			}
		}
		for m, w := range weights {
			q.SetMember(fmt.Sprint(m), w, 4)
			push(m)
			push(m)
		}
		// Members differ by about one request at any time, so that the run has
		// to be long against the largest one.
		var total, weight float64
		for _, w := range weights {
			weight += w
		}
		for total < 20*maxSize*weight {
			e, _ := q.Pop(0, 1)
			total += float64(sizes[e.Value])
			served[e.Value] += float64(sizes[e.Value]) / weights[e.Value]
			q.Finish(0, e.Member, e.Cost, sizes[e.Value])
			push(e.Value)
		}
		var sum, squares float64
		for _, x := range served {
			sum, squares = sum+x, squares+x*x
		}
		if jain := sum * sum / (float64(len(served)) * squares); jain < 0.99 {
			t.Fatalf("Jain index %.4f: %v", jain, served)
		}
	})
}

// A member's low-priority request must not wait for ever behind its others.
func TestAgingEndsStarvation(t *testing.T) {
	q := fairqueue.New[int](config)
	q.SetMember("a", 1, 100)
	push := func(now time.Duration, n int, p int32) {
		q.Push(now, entry{ID: api.SendID{Request: fmt.Sprint(n)}, Member: "a", Value: n, Priority: p, Deadline: time.Hour})
	}
	push(0, 0, -2)
	for n := 1; n < 20; n++ {
		now := time.Duration(n) * time.Second
		push(now, n, 2)
		if e, _ := q.Pop(now, 1); e.Value == 0 {
			if now > 5*time.Second {
				t.Errorf("served after %v", now)
			}
			return
		}
	}
	t.Error("never served")
}

// A member that was removed and came back must not find a stale queue.
func TestRemovedMember(t *testing.T) {
	q := fairqueue.New[int](config)
	q.SetMember("a", 0, 1)
	e := entry{ID: api.SendID{Request: "1"}, Member: "a", Deadline: time.Hour}
	if f := q.Push(0, e); f != nil {
		t.Fatal(f)
	}
	q.RemoveMember("a")
	e.ID.Request = "2"
	if f := q.Push(0, e); f == nil || f.Code != api.CodeForbidden {
		t.Errorf("push after removal: %v", f)
	}
	if _, ok := q.Pop(0, 1); !ok || q.Len() != 0 {
		t.Error("what waited was not served")
	}
}

// Headroom must keep room from a borrower only while others run, and never
// from a member within its share.
func TestBorrowerLeavesHeadroom(t *testing.T) {
	q := fairqueue.New[int](fairqueue.Config{Headroom: 1, UsageHorizon: time.Minute, BorrowFactor: 1.5})
	n := 0
	push := func(member string) {
		n++
		e := entry{ID: api.SendID{Request: fmt.Sprint(n)}, Member: member, Cost: 100, Deadline: time.Hour}
		if f := q.Push(0, e); f != nil {
			t.Fatal(f)
		}
	}
	for _, m := range []string{"a", "b", "c", "d"} {
		q.SetMember(m, 1, 100)
	}
	for range 10 {
		push("a")
	}
	for range 8 {
		if _, ok := q.Pop(0, 1); !ok {
			t.Fatal("idle room was not lent")
		}
	}
	push("b")
	if e, ok := q.Pop(0, 1); !ok || e.Member != "b" {
		t.Fatalf("got %+v, want the member within its share", e)
	}
	if _, ok := q.Pop(0, 1); ok {
		t.Error("a borrower took the last room while another runs")
	}
	if e, ok := q.Pop(0, 2); !ok || e.Member != "a" {
		t.Error("a borrower did not get what is left beside the headroom")
	}
	q.Finish(0, "b", 100, 100)
	if _, ok := q.Pop(0, 1); !ok {
		t.Error("room was held back though nobody else runs")
	}
}
