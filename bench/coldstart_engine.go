package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/coldstart"
)

const (
	coldChunkTokens = 512
	coldPrefillStep = 3 * time.Millisecond
	// coldHeadroom is the ratio of a warm engine's capacity to its maximum number of
	// requests.
	coldHeadroom = 1.25
	// coldOverloadSlowdown is the factor by which the steps of a staged engine slow
	// down above its capacity.
	coldOverloadSlowdown = 3
)

// coldShape holds the parameters of a modelled engine. A gradual engine gets
// faster with each completion. A staged engine has constant speed up to a capacity
// that grows with each completion, and is slower by coldOverloadSlowdown above it.
type coldShape struct {
	staged    bool
	cold, max int
	base      time.Duration
	stepBound time.Duration
	// decay is the number of completions after which the extra step time of a cold
	// gradual engine has fallen by a factor of e.
	decay float64
	// meanOutput is the mean number of output tokens.
	meanOutput float64
	// gain is the number of requests that each completion adds to the capacity of a
	// staged engine.
	gain float64
}

func drawColdShape(rng *rand.Rand, bound time.Duration) coldShape {
	cold := 4 + rng.IntN(7)
	return coldShape{
		staged: rng.IntN(2) == 0, cold: cold, max: cold * (4 + rng.IntN(7)),
		base:      time.Duration(14+rng.IntN(9)) * time.Millisecond,
		stepBound: bound, decay: 60 + 240*rng.Float64(), meanOutput: 60 + 80*rng.Float64(),
		gain: 0.5 + rng.Float64(),
	}
}

func (c coldShape) params() coldstart.Params {
	return coldstart.Params{ColdRequests: c.cold, MaxRequests: c.max, Gain: c.gain, StepBound: c.stepBound}
}

type coldRequest struct {
	ticket        coldstart.Ticket
	prompt        int
	prefillChunks int
	tokensLeft    int
	started       time.Duration
}

// coldEngine runs requests in steps, as continuous batching does.
type coldEngine struct {
	coldShape
	rng         *rand.Rand
	now         time.Duration
	completions float64
	incarnation uint64
	running     []*coldRequest
	overloads   int
	// lossHidden is true from a silent loss of state to the end of the next step,
	// which is the first sign of it. hiddenOverloads counts the starts above the
	// capacity in that time.
	lossHidden      bool
	hiddenOverloads int
}

func newColdEngine(c coldShape, seed uint64) *coldEngine {
	return &coldEngine{coldShape: c, rng: rand.New(rand.NewPCG(seed, 7)), incarnation: 1}
}

func (e *coldEngine) stepPerRequest() float64 {
	budget := float64(e.stepBound - e.base)
	warm := budget / (coldHeadroom * float64(e.max))
	if e.staged {
		return warm
	}
	return warm + (budget/float64(e.cold)-warm)*math.Exp(-e.completions/e.decay)
}

// capacity returns the number of requests that the engine can run now without
// exceeding its step bound.
func (e *coldEngine) capacity() int {
	if e.staged {
		return int(min(float64(e.cold)+e.gain*e.completions, coldHeadroom*float64(e.max)))
	}
	const rounding = 1e-9
	return int(float64(e.stepBound-e.base)/e.stepPerRequest() + rounding)
}

func (e *coldEngine) start(t coldstart.Ticket) {
	prompt := 128 + e.rng.IntN(1400)
	e.running = append(e.running, &coldRequest{
		ticket: t, prompt: prompt, prefillChunks: (prompt + coldChunkTokens - 1) / coldChunkTokens,
		tokensLeft: 1 + int(e.rng.ExpFloat64()*e.meanOutput), started: e.now,
	})
	if len(e.running) <= e.capacity() {
		return
	}
	if e.lossHidden {
		e.hiddenOverloads++
		return
	}
	e.overloads++
}

// step runs one step, calls first and done for first tokens and completions, and
// returns the step time.
func (e *coldEngine) step(first, done func(*coldRequest)) time.Duration {
	took := float64(e.base) + e.stepPerRequest()*float64(len(e.running))
	if e.staged && len(e.running) > e.capacity() {
		took *= coldOverloadSlowdown
	}
	took *= 1 + 0.02*e.rng.NormFloat64()
	duration := time.Duration(took)
	for _, r := range e.running {
		if r.prefillChunks > 0 {
			duration += coldPrefillStep
			break
		}
	}
	e.now += duration
	e.lossHidden = false
	kept := e.running[:0]
	for _, r := range e.running {
		switch {
		case r.prefillChunks > 1:
			r.prefillChunks--
		case r.prefillChunks == 1:
			r.prefillChunks = 0
			first(r)
		default:
			r.tokensLeft--
		}
		if r.tokensLeft > 0 {
			kept = append(kept, r)
			continue
		}
		e.completions++
		done(r)
	}
	e.running = kept
	return duration
}

// restart ends all running requests and begins a new incarnation.
func (e *coldEngine) restart() (ended []*coldRequest) {
	ended = e.running
	e.running, e.completions = nil, 0
	e.incarnation++
	return ended
}

// loseState makes the engine cold without a new incarnation.
func (e *coldEngine) loseState() {
	e.completions = 0
	e.lossHidden = true
}
