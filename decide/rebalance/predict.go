package rebalance

import (
	"math"

	"github.com/mulberryfork/mulberryfork/decide/placement"
)

// Predictor forecasts expert loads from delayed and noisy measurements by double
// exponential smoothing. It smooths the logarithms of the loads, since popularity
// changes by factors.
type Predictor struct {
	// levelSmoothing and trendSmoothing are the smoothing factors of level and
	// trend. If trendSmoothing is zero, the forecast is the smoothed level.
	levelSmoothing, trendSmoothing float64
	// level and trend are logarithms of relative loads, trend per interval.
	level, trend placement.Loads
}

// NewPredictor returns a predictor with the given smoothing factors of level and
// trend, each from 0 to 1.
func NewPredictor(levelSmoothing, trendSmoothing float64) Predictor {
	return Predictor{levelSmoothing: levelSmoothing, trendSmoothing: trendSmoothing}
}

// minRelativeLoad is the minimum relative load of an expert. It keeps the logarithm
// finite for an expert without load.
const minRelativeLoad = 1e-4

// Add adds the loads measured over an interval. Each layer is scaled to a mean of
// one, since only the relative loads of the experts affect the balance.
func (p *Predictor) Add(loads placement.Loads) {
	first := p.level == nil
	if first {
		p.level, p.trend = zeroLoads(loads), zeroLoads(loads)
	}
	for l, layer := range loads {
		scale := float64(len(layer)) / max(sum(layer), minRelativeLoad)
		for e, x := range layer {
			p.update(l, e, math.Log(max(x*scale, minRelativeLoad)), first)
		}
	}
}

func (p *Predictor) update(l, e int, x float64, first bool) {
	if first {
		p.level[l][e] = x
		return
	}
	oldLevel := p.level[l][e]
	expected := oldLevel + p.trend[l][e]
	p.level[l][e] = expected + p.levelSmoothing*(x-expected)
	p.trend[l][e] += p.trendSmoothing * (p.level[l][e] - oldLevel - p.trend[l][e])
}

func zeroLoads(loads placement.Loads) placement.Loads {
	zero := make(placement.Loads, len(loads))
	for l := range loads {
		zero[l] = make([]float64, len(loads[l]))
	}
	return zero
}

func sum(layer []float64) float64 {
	total := 0.0
	for _, x := range layer {
		total += x
	}
	return total
}

// Forecast returns the loads expected a number of intervals ahead. It returns
// false before the first measurement.
func (p *Predictor) Forecast(ahead float64) (placement.Loads, bool) {
	if p.level == nil {
		return nil, false
	}
	loads := zeroLoads(p.level)
	for l := range loads {
		for e := range loads[l] {
			loads[l][e] = math.Exp(p.level[l][e] + ahead*p.trend[l][e])
		}
	}
	return loads, true
}
