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

// referenceQueue implements the policy of fairqueue.Queue with linear search in a
// slice.
type referenceQueue struct {
	weight, startTag map[string]float64
	limit            map[string]int
	waiting          []entry
	arrivedAt        map[api.AttemptID]time.Duration
	virtualTime      float64
}

func clampedPriority(p int32) time.Duration { return time.Duration(min(max(p, -2), 2)) }

func (r *referenceQueue) memberEntries(member string) []entry {
	return slices.DeleteFunc(slices.Clone(r.waiting), func(e entry) bool { return e.Member != member })
}

func (r *referenceQueue) push(now time.Duration, e entry) bool {
	queued := r.memberEntries(e.Member)
	if now >= e.Deadline || len(queued) >= r.limit[e.Member] {
		return false
	}
	if len(queued) == 0 {
		r.startTag[e.Member] = max(r.startTag[e.Member], r.virtualTime)
	}
	r.arrivedAt[e.ID] = now
	r.waiting = append(r.waiting, e)
	return true
}

// head returns the member's request with the earliest effective arrival time.
func (r *referenceQueue) head(member string) (entry, bool) {
	queued := r.memberEntries(member)
	if len(queued) == 0 {
		return entry{}, false
	}
	effectiveArrival := func(e entry) time.Duration { return r.arrivedAt[e.ID] - clampedPriority(e.Priority)*config.AgeStep }
	best := queued[0]
	for _, e := range queued[1:] {
		if effectiveArrival(e) < effectiveArrival(best) {
			best = e
		}
	}
	return best, true
}

func (r *referenceQueue) pop() (entry, bool) {
	var best entry
	var bestTag float64
	found := false
	for _, m := range []string{"a", "b", "c"} {
		e, ok := r.head(m)
		effectiveTag := r.startTag[m] - float64(clampedPriority(e.Priority))*config.AdvantageTokens/r.weight[m]
		if ok && (!found || effectiveTag < bestTag) {
			best, bestTag, found = e, effectiveTag, true
		}
	}
	if found {
		r.virtualTime = max(r.virtualTime, r.startTag[best.Member])
		r.startTag[best.Member] += float64(best.Cost) / r.weight[best.Member]
		r.remove(best.ID)
	}
	return best, found
}

func (r *referenceQueue) remove(id api.AttemptID) {
	r.waiting = slices.DeleteFunc(r.waiting, func(e entry) bool { return e.ID == id })
}

// Guards against serving requests in the wrong order because a heap was not updated
// after a cancellation, a cost correction or a change of a member's first request.
func TestQueueMatchesReferenceQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int](config)
		reference := &referenceQueue{weight: map[string]float64{}, startTag: map[string]float64{}, limit: map[string]int{}, arrivedAt: map[api.AttemptID]time.Duration{}}
		for i, m := range []string{"a", "b", "c"} {
			reference.weight[m], reference.limit[m] = float64(int(1)<<i), 4
			q.SetMember(m, reference.weight[m], 4)
		}
		var now time.Duration
		n, running := 0, map[string]int{}
		member := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond },
			"push": func(t *rapid.T) {
				n++
				e := entry{
					ID: api.AttemptID{RequestID: fmt.Sprint(n)}, Member: member.Draw(t, "member"), Value: n,
					Cost:     rapid.Uint32Range(1, 200).Draw(t, "cost"),
					Priority: rapid.Int32Range(-3, 3).Draw(t, "priority"),
					Deadline: now + time.Duration(rapid.IntRange(0, 9).Draw(t, "s"))*time.Second,
				}
				if failure := q.Push(now, e); (failure == nil) != reference.push(now, e) {
					t.Fatalf("push %+v: %v", e, failure)
				}
			},
			"pop": func(t *rapid.T) {
				peeked, _ := q.Peek(1)
				got, ok := q.Pop(now, 1)
				want, found := reference.pop()
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
				reference.startTag[m] += (float64(actual) - 100) / reference.weight[m]
			},
			"cancel": func(t *rapid.T) {
				id := api.AttemptID{RequestID: fmt.Sprint(rapid.IntRange(0, n+1).Draw(t, "id"))}
				q.Cancel(id)
				reference.remove(id)
			},
			"expire": func(t *rapid.T) {
				for _, e := range q.Expire(now) {
					if e.Deadline > now {
						t.Fatalf("expired early: %+v", e)
					}
					reference.remove(e.ID)
				}
				if d, ok := q.NextDeadline(); ok && d <= now {
					t.Fatal("an expired request is still queued")
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(reference.waiting) {
					t.Fatalf("%d requests queued, want %d", q.Len(), len(reference.waiting))
				}
				var cost uint64
				for _, e := range reference.waiting {
					cost += uint64(max(e.Cost, 1))
				}
				if q.WaitingCost() != cost {
					t.Fatalf("queued cost %d, want %d", q.WaitingCost(), cost)
				}
			},
		})
		if drained := q.Drain(); len(drained) != len(reference.waiting) || q.Len() != 0 || q.MemberWaitingCost("a") != 0 {
			t.Fatalf("drained %d of %d", len(drained), len(reference.waiting))
		}
	})
}

// maxActualCost is the largest actual cost of a request.
const maxActualCost = 400

// Guards against request sizes, wrong cost estimates or priorities that distort the
// shares of backlogged members. The shares must be in proportion to the weights.
func TestBackloggedMembersGetWeightedShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int](config)
		weights := rapid.SliceOfN(rapid.Float64Range(1, 10), 2, 10).Draw(t, "weights")
		sizes := rapid.SliceOfN(rapid.Uint32Range(10, maxActualCost), len(weights), len(weights)).Draw(t, "sizes")
		costPerWeight := make([]float64, len(weights))
		n := 0
		push := func(m int) {
			n++
			e := entry{ID: api.AttemptID{RequestID: fmt.Sprint(n)}, Member: fmt.Sprint(m), Cost: 100, Value: m, Priority: int32(m%5) - 2, Deadline: time.Hour}
			if f := q.Push(0, e); f != nil {
				t.Fatal(f)
			}
		}
		for m, w := range weights {
			q.SetMember(fmt.Sprint(m), w, 4)
			push(m)
			push(m)
		}
		// At any time, the served cost per weight of two members may differ by
		// about one request, so the total cost must be large compared with the
		// largest request.
		var totalCost, totalWeight float64
		for _, w := range weights {
			totalWeight += w
		}
		for totalCost < 20*maxActualCost*totalWeight {
			e, _ := q.Pop(0, 1)
			totalCost += float64(sizes[e.Value])
			costPerWeight[e.Value] += float64(sizes[e.Value]) / weights[e.Value]
			q.Finish(0, e.Member, e.Cost, sizes[e.Value])
			push(e.Value)
		}
		var sum, squares float64
		for _, x := range costPerWeight {
			sum, squares = sum+x, squares+x*x
		}
		if jain := sum * sum / (float64(len(costPerWeight)) * squares); jain < 0.99 {
			t.Fatalf("Jain index %.4f: %v", jain, costPerWeight)
		}
	})
}

// Guards against a low-priority request that starves behind the member's other
// requests.
func TestAgingPreventsStarvation(t *testing.T) {
	q := fairqueue.New[int](config)
	q.SetMember("a", 1, 100)
	push := func(now time.Duration, n int, p int32) {
		q.Push(now, entry{ID: api.AttemptID{RequestID: fmt.Sprint(n)}, Member: "a", Value: n, Priority: p, Deadline: time.Hour})
	}
	push(0, 0, -2)
	for n := 1; n < 20; n++ {
		now := time.Duration(n) * time.Second
		push(now, n, 2)
		if e, _ := q.Pop(now, 1); e.Value == 0 {
			if now > 5*time.Second {
				t.Errorf("low-priority request served after %v", now)
			}
			return
		}
	}
	t.Error("low-priority request never served")
}

// Guards against a removed member that can still queue requests, and against the
// loss of requests that it had queued.
func TestRemovedMemberIsDrained(t *testing.T) {
	q := fairqueue.New[int](config)
	q.SetMember("a", 0, 1)
	e := entry{ID: api.AttemptID{RequestID: "1"}, Member: "a", Deadline: time.Hour}
	if f := q.Push(0, e); f != nil {
		t.Fatal(f)
	}
	q.RemoveMember("a")
	e.ID.RequestID = "2"
	if f := q.Push(0, e); f == nil || f.Code != api.CodeForbidden {
		t.Errorf("push after removal: %v", f)
	}
	if _, ok := q.Pop(0, 1); !ok || q.Len() != 0 {
		t.Error("the queued request was not served")
	}
}

// Guards against a borrower that takes all idle capacity while other members have
// requests running. The headroom must not delay a member within its share, nor a
// borrower while no other member has requests running.
func TestBorrowerLeavesHeadroom(t *testing.T) {
	q := fairqueue.New[int](fairqueue.Config{Headroom: 1, UsageHorizon: time.Minute, BorrowFactor: 1.5})
	n := 0
	push := func(member string) {
		n++
		e := entry{ID: api.AttemptID{RequestID: fmt.Sprint(n)}, Member: member, Cost: 100, Deadline: time.Hour}
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
			t.Fatal("idle capacity could not be borrowed")
		}
	}
	push("b")
	if e, ok := q.Pop(0, 1); !ok || e.Member != "b" {
		t.Fatalf("got %+v, want the request of the member within its share", e)
	}
	if _, ok := q.Pop(0, 1); ok {
		t.Error("a borrower took the last slot while another member had a request running")
	}
	if e, ok := q.Pop(0, 2); !ok || e.Member != "a" {
		t.Error("a borrower did not get the capacity beyond the headroom")
	}
	q.Finish(0, "b", 100, 100)
	if _, ok := q.Pop(0, 1); !ok {
		t.Error("a borrower was held back while no other member had a request running")
	}
}
