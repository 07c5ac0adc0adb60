package fairqueue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/fairqueue"
)

// Guards against an estimate that ignores the order of the queue: it must differ from what is
// served before the request by no more than one request of each other member.
func TestAheadIsWhatIsServedBefore(t *testing.T) {
	const cost = 100
	members := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int](config)
		for i, m := range members {
			q.SetMember(m, float64(int(1)<<i), 100)
		}
		member, priority := rapid.SampledFrom(members), rapid.Int32Range(-2, 2)
		now := time.Duration(0)
		push := func(n int, m string, p int32) {
			e := entry{ID: api.AttemptID{RequestID: fmt.Sprint(n)}, Member: m, Cost: cost, Value: n, Priority: p, Deadline: time.Hour}
			if f := q.Push(now, e); f != nil {
				t.Fatal(f)
			}
		}
		queued := rapid.IntRange(0, 40).Draw(t, "queued")
		for n := range queued {
			// Different priorities of other members would move them by their advantage at each
			// turn, which the estimate takes into account for the first one only.
			push(n, member.Draw(t, "member"), 0)
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
		}
		for range rapid.IntRange(0, queued/2).Draw(t, "served") {
			q.Pop(now, 1)
		}
		m, p := member.Draw(t, "member"), priority.Draw(t, "priority")
		ahead := q.Ahead(now, m, p)
		push(queued, m, p)
		served := 0
		for {
			e, ok := q.Pop(now, 1)
			if !ok {
				t.Fatal("the request was not served")
			}
			if e.Value == queued {
				break
			}
			served++
		}
		if d := ahead.Requests - served; d < -len(members)+1 || d > len(members)-1 || ahead.Tokens > uint64(ahead.Requests)*cost+2*cost {
			t.Fatalf("%+v is ahead, but %d requests were served before", ahead, served)
		}
	})
}

// Guards against a full queue that gives up a request which is as urgent as the new one or
// would be served before it.
func TestDisplaceTakesOnlyLessUrgentRequests(t *testing.T) {
	for _, c := range []struct {
		name             string
		waiting          []int32
		priority         int32
		after            time.Duration
		maxQueued, taken int
	}{
		{"less urgent", []int32{0, -1}, 1, 0, 2, 1},
		{"newest of the least urgent", []int32{-1, 0, -1}, 1, 0, 3, 2},
		{"as urgent", []int32{1, 1}, 1, 0, 2, -1},
		{"more urgent", []int32{2, 2}, 1, 0, 2, -1},
		{"more urgent and later", []int32{1}, -1, 0, 1, -1},
		{"waited so long that it goes first", []int32{0}, 1, 1500 * time.Millisecond, 1, -1},
		{"not full", []int32{0}, 1, 0, 2, -1},
	} {
		q := fairqueue.New[int](config)
		q.SetMember("a", 1, c.maxQueued)
		for n, p := range c.waiting {
			at := time.Duration(n) * time.Millisecond
			q.Push(at, entry{ID: api.AttemptID{RequestID: fmt.Sprint(n)}, Member: "a", Value: n, Priority: p, Deadline: time.Hour})
		}
		e, ok := q.Displace(c.after+10*time.Millisecond, "a", c.priority)
		if ok != (c.taken >= 0) || ok && e.Value != c.taken {
			t.Errorf("%s: displaced %d, %v", c.name, e.Value, ok)
		}
	}
}

// BenchmarkArrival measures the decisions for one arrival and one start at a queue of ten
// members with full queues, and at an empty one.
func BenchmarkArrival(b *testing.B) {
	for name, queued := range map[string]int{"empty": 0, "full": 63} {
		b.Run(name, func(b *testing.B) {
			q := fairqueue.New[int](config)
			e := entry{Cost: 100, Deadline: time.Hour}
			for m := range 10 {
				e.Member = fmt.Sprint(m)
				q.SetMember(e.Member, 1, 64)
				for n := range queued {
					e.ID = api.AttemptID{RequestID: fmt.Sprint(m, "-", n)}
					q.Push(0, e)
				}
			}
			e.Member, e.ID = "0", api.AttemptID{RequestID: "next"}
			b.ReportAllocs()
			for b.Loop() {
				e.ID.Number++
				q.Ahead(0, e.Member, 1)
				q.Displace(0, e.Member, 1)
				if f := q.Push(0, e); f != nil {
					b.Fatal(f)
				}
				popped, _ := q.Pop(0, 1)
				q.Finish(0, popped.Member, 100, 100)
			}
		})
	}
}
