package rebalance

import (
	"math"

	"github.com/mulberryfork/mulberryfork/decide/placement"
)

// Predictor estimates future loads from late and noisy measurements by an
// exponentially weighted average with trend. It works on logarithms, since
// popularity changes by factors.
type Predictor struct {
	// weight and trend are the weights of the newest loads and of the newest
	// change; without trend the estimate is the average.
	weight, trend float64
	level, slope  placement.Loads
}

// NewPredictor returns a predictor with these weights, each from 0 to 1.
func NewPredictor(weight, trend float64) Predictor {
	return Predictor{weight: weight, trend: trend}
}

// minShare keeps the logarithm of an expert without load finite.
const minShare = 1e-4

// Add takes the loads of an interval. Each layer is scaled to a mean of one,
// since the balance depends on the shares of the experts.
func (p *Predictor) Add(loads placement.Loads) {
	first := p.level == nil
	if first {
		p.level, p.slope = emptyLike(loads), emptyLike(loads)
	}
	for l, layer := range loads {
		scale := float64(len(layer)) / max(sum(layer), minShare)
		for e, x := range layer {
			p.add(l, e, math.Log(max(x*scale, minShare)), first)
		}
	}
}

func (p *Predictor) add(l, e int, x float64, first bool) {
	if first {
		p.level[l][e] = x
		return
	}
	was := p.level[l][e]
	expected := was + p.slope[l][e]
	p.level[l][e] = expected + p.weight*(x-expected)
	p.slope[l][e] += p.trend * (p.level[l][e] - was - p.slope[l][e])
}

func emptyLike(loads placement.Loads) placement.Loads {
	empty := make(placement.Loads, len(loads))
	for l := range loads {
		empty[l] = make([]float64, len(loads[l]))
	}
	return empty
}

func sum(layer []float64) float64 {
	total := 0.0
	for _, x := range layer {
		total += x
	}
	return total
}

// Loads returns the estimate for a number of intervals ahead, false before
// the first measurement.
func (p *Predictor) Loads(ahead float64) (placement.Loads, bool) {
	if p.level == nil {
		return nil, false
	}
	loads := emptyLike(p.level)
	for l := range loads {
		for e := range loads[l] {
			loads[l][e] = math.Exp(p.level[l][e] + ahead*p.slope[l][e])
		}
	}
	return loads, true
}
