package bench

import (
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/bench/timeline"
)

// overloadReferenceBatch is the batch size at which overloadWork computes the engine
// time of an output token.
const overloadReferenceBatch = 56

// overloadWork returns the engine time, in seconds, of a request at a batch size
// of overloadReferenceBatch.
func overloadWork(output int) float64 {
	s := overloadSpeed()
	perToken := (s.Step + overloadReferenceBatch*s.StepPerRequest) / overloadReferenceBatch
	return (overloadPrompt*s.StepPerPromptToken + time.Duration(output)*perToken).Seconds()
}

// overloadRate is a throughput of the pool: requests per second, and their work
// in engine seconds per second.
type overloadRate struct{ requests, work float64 }

// overloadCapacity returns the highest throughput of a closed loop whose mean time
// between tokens meets overloadStepTarget. It raises the number of concurrent
// requests until the target is missed.
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

// closedLoop keeps a constant number of requests in flight at one engine. It returns
// the throughput, scaled to all engines, and the mean time between tokens.
func closedLoop(seed uint64, concurrency int) (rate overloadRate, step time.Duration) {
	const duration = 60 * time.Second
	var events timeline.Timeline
	rng := rand.New(rand.NewPCG(seed, 4))
	e := enginemodel.NewEngine(&events, overloadSpeed())
	done, tokens, work, decodeTime := 0, 0, 0.0, time.Duration(0)
	var submit func()
	submit = func() {
		j := &enginemodel.Job{PromptTokens: overloadPrompt, OutputTokens: overloadMinOutput + rng.IntN(overloadOutputRange)}
		j.Done = func(bool) {
			done++
			work += overloadWork(j.OutputTokens)
			tokens += j.Generated() - 1
			decodeTime += events.Now() - j.FirstTokenAt
			submit()
		}
		e.Submit(j)
	}
	for range concurrency {
		events.After(time.Duration(rng.Float64()*float64(overloadDeadline)), submit)
	}
	events.Run(overloadDeadline)
	done, tokens, work, decodeTime = 0, 0, 0, 0
	events.Run(overloadDeadline + duration)
	scale := overloadEngines / duration.Seconds()
	return overloadRate{float64(done) * scale, work * scale}, decodeTime / time.Duration(max(tokens, 1))
}
