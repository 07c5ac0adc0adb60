package fairqueue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/fairqueue"
	"github.com/mulberryfork/mulberryfork/decide/limit"
)

// source sends requests of one member and priority.
type source struct {
	member   string
	priority int32
	// rate is in requests per second. The upstream of the model serves 8.
	rate float64
}

// overloadModel is an agent with the queue settings of service/work in front of an upstream
// that runs 8 requests of one second each.
type overloadModel struct {
	sources   []source
	maxQueued int
	deadline  time.Duration
	// whole selects the previous decision: all queued work counts as being ahead of an arrival,
	// an arrival at a full queue is refused, and a request starts even if too little time is
	// left for it.
	whole bool
}

const (
	modelSlots = 8
	modelCost  = 100
	modelTick  = 10 * time.Millisecond
	modelEnd   = 60 * time.Second
)

// inTime returns for each source the part of its requests that completed before their
// deadline, as the mean of three runs.
func (m overloadModel) inTime() []float64 {
	const runs = 3
	mean := make([]float64, len(m.sources))
	for seed := range uint64(runs) {
		for i, part := range m.run(seed) {
			mean[i] += part / runs
		}
	}
	return mean
}

func (m overloadModel) run(seed uint64) []float64 {
	random := rand.New(rand.NewPCG(seed, 0))
	q := fairqueue.New[int](fairqueue.Config{
		AgeStep: time.Second, MaxPriority: 9, AdvantageTokens: 256, Headroom: 0.5, UsageHorizon: 30 * time.Second, BorrowFactor: 1.5,
	})
	l := limit.New(limit.Options{MaxRequests: modelSlots, MaxTokens: 1 << 40, Fixed: true})
	for _, s := range m.sources {
		q.SetMember(s.member, 1, m.maxQueued)
	}
	type running struct {
		entry
		started, ends time.Duration
	}
	var active []running
	sent, inTime := make([]float64, len(m.sources)), make([]float64, len(m.sources))
	for now := time.Duration(0); now < modelEnd; now += modelTick {
		kept := active[:0]
		for _, r := range active {
			if r.ends > now {
				kept = append(kept, r)
				continue
			}
			l.End(now, limit.Completion{Started: r.started, Cost: modelCost, Usage: api.Usage{Total: now - r.started}})
			q.Finish(now, r.Member, modelCost, modelCost)
			if now <= r.Deadline {
				inTime[r.Value]++
			}
		}
		active = kept
		for i, s := range m.sources {
			if random.Float64() < s.rate*modelTick.Seconds() {
				sent[i]++
				m.arrive(now, q, l, i, fmt.Sprint(i, "-", sent[i]), random)
			}
		}
		q.Expire(now)
		for l.Fits(modelCost) {
			e, ok := q.Pop(now, modelSlots-len(active))
			if !ok {
				break
			}
			if !m.whole && l.CheckDeadline(limit.Arrival{Cost: modelCost, DeadlineLeft: e.Deadline - now}, 0) != nil {
				q.Finish(now, e.Member, modelCost, 0)
				continue
			}
			l.Start(modelCost)
			service := time.Duration((0.5 + random.Float64()) * float64(time.Second))
			active = append(active, running{entry: e, started: now, ends: now + service})
		}
	}
	for i := range sent {
		inTime[i] /= sent[i]
	}
	return inTime
}

func (m overloadModel) arrive(now time.Duration, q *fairqueue.Queue[int], l *limit.State, i int, id string, random *rand.Rand) {
	s := m.sources[i]
	ahead := q.Ahead(now, s.member, s.priority)
	if m.whole {
		ahead = fairqueue.Work{Requests: q.Len(), Tokens: q.WaitingCost()}
	}
	a := limit.Arrival{Cost: modelCost, QueuedRequests: ahead.Requests, QueuedTokens: ahead.Tokens, DeadlineLeft: m.deadline}
	if l.CheckDeadline(a, random.Float64()) != nil {
		return
	}
	if !m.whole {
		q.Displace(now, s.member, s.priority)
	}
	q.Push(now, entry{
		ID: api.AttemptID{RequestID: id}, Member: s.member, Cost: modelCost, Priority: s.priority, Deadline: now + m.deadline, Value: i,
	})
}

// Guards against refusals that ignore the order of the queue: a member within its share, or
// an urgent request, that is refused because of requests that it would overtake.
func TestRefusalsFollowTheOrderOfTheQueue(t *testing.T) {
	for _, c := range []struct {
		name  string
		model overloadModel
		// least are the least parts in time, by source.
		least []float64
	}{
		{"one member floods", overloadModel{sources: []source{{"a", 0, 40}, {"b", 0, 2}, {"c", 0, 2}}, maxQueued: 64, deadline: 4 * time.Second}, []float64{0.05, 0.85, 0.85}},
		{"priorities of one member", overloadModel{sources: []source{{"a", 2, 5}, {"a", 0, 5}, {"a", -2, 5}}, maxQueued: 64, deadline: 4 * time.Second}, []float64{0.9, 0.35, 0}},
		{"priorities at a short queue", overloadModel{sources: []source{{"a", 2, 5}, {"a", 0, 5}, {"a", -2, 5}}, maxQueued: 8, deadline: 20 * time.Second}, []float64{0.9, 0.35, 0}},
		{"equal demand, unequal priorities", overloadModel{sources: []source{{"a", 9, 6}, {"b", 0, 6}, {"c", -9, 6}}, maxQueued: 64, deadline: 4 * time.Second}, []float64{0.35, 0.35, 0.2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			before := c.model
			before.whole = true
			now, then := c.model.inTime(), before.inTime()
			t.Logf("in time by source: %.2f, before: %.2f", now, then)
			for i, least := range c.least {
				if now[i] < least {
					t.Errorf("%+v: %.2f in time, want at least %.2f", c.model.sources[i], now[i], least)
				}
			}
		})
	}
}
