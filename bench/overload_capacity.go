package bench

import (
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/bench/timeline"
)

// overloadReferenceBatch is the batch at which an output token is priced as work.
const overloadReferenceBatch = 56

// overloadWork is the engine time, in seconds, that a request takes at a
// batch of overloadBatch.
func overloadWork(output int) float64 {
	s := overloadSpeed()
	perToken := (s.Step + overloadReferenceBatch*s.StepPerRequest) / overloadReferenceBatch
	return (overloadPrompt*s.StepPerPrompt + time.Duration(output)*perToken).Seconds()
}

// overloadRate is what the pool carries: requests a second, and their work in
// engine seconds a second.
type overloadRate struct{ requests, work float64 }

// overloadCapacity is the highest rate over fixed numbers of concurrent
// requests at which the mean time between tokens meets the target.
func overloadCapacity(seed uint64) overloadRate {
	var best overloadRate
	for concurrency := 8; concurrency <= overloadMaxRequests; concurrency += 4 {
		rate, step := closedLoop(seed, concurrency)
		if step > overloadStepTarget {
			break
		}
		if rate.work > best.work {
			best = rate
		}
	}
	return best
}

// closedLoop keeps one engine at a number of requests and returns the rate of
// all engines together, and the mean time between tokens.
func closedLoop(seed uint64, concurrency int) (rate overloadRate, step time.Duration) {
	const length = 60 * time.Second
	var events timeline.Timeline
	rng := rand.New(rand.NewPCG(seed, 4))
	e := enginemodel.NewEngine(&events, overloadSpeed())
	done, tokens, work, spent := 0, 0, 0.0, time.Duration(0)
	var submit func()
	submit = func() {
		j := &enginemodel.Job{PromptTokens: overloadPrompt, OutputTokens: overloadMinOutput + rng.IntN(overloadOutputRange)}
		j.Done = func(bool) {
			done++
			work += overloadWork(j.OutputTokens)
			tokens += j.Generated() - 1
			spent += events.Now() - j.FirstTokenAt
			submit()
		}
		e.Submit(j)
	}
	for range concurrency {
		events.After(time.Duration(rng.Float64()*float64(overloadDeadline)), submit)
	}
	events.Run(overloadDeadline)
	done, tokens, work, spent = 0, 0, 0, 0
	events.Run(overloadDeadline + length)
	scale := overloadEngines / length.Seconds()
	return overloadRate{float64(done) * scale, work * scale}, spent / time.Duration(max(tokens, 1))
}
