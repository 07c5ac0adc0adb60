package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/placement"
)

// popularity models the load of each expert over time.
type popularity interface {
	at(now time.Duration) placement.Loads
}

const (
	// popularitySpread scales the logarithms of the expert loads.
	popularitySpread = 1.0
	// driftMinPeriod and driftMaxPeriod bound the periods of slow changes.
	driftMinPeriod = 15 * time.Minute
	driftMaxPeriod = 45 * time.Minute
	// burstFactor multiplies the load of an expert during a burst.
	burstFactor   = 4.0
	burstDuration = 60 * time.Second
	// burstsPerHour is the number of bursts per hour and layer.
	burstsPerHour = 120
	// swingPeriod is the period in which the load moves to the other half of the
	// experts and back.
	swingPeriod = 40 * time.Second
	swingFactor = 2.0
)

// drift changes the load of every expert slowly.
type drift struct {
	shape placement.Shape
	waves []wave
}

type wave struct{ amplitude, frequency, phase, offset float64 }

func newDrift(rng *rand.Rand, s placement.Shape) *drift {
	d := &drift{shape: s}
	for range s.Layers * s.Experts {
		period := driftMinPeriod.Seconds() + rng.Float64()*(driftMaxPeriod-driftMinPeriod).Seconds()
		d.waves = append(d.waves, wave{
			amplitude: popularitySpread, frequency: 2 * math.Pi / period,
			phase: 2 * math.Pi * rng.Float64(), offset: 0.5 * popularitySpread * rng.NormFloat64(),
		})
	}
	return d
}

func (d *drift) at(now time.Duration) placement.Loads {
	loads := make(placement.Loads, d.shape.Layers)
	for l := range loads {
		loads[l] = make([]float64, d.shape.Experts)
		for e := range loads[l] {
			w := d.waves[l*d.shape.Experts+e]
			loads[l][e] = math.Exp(w.offset + w.amplitude*math.Sin(w.phase+w.frequency*now.Seconds()))
		}
	}
	return loads
}

// bursty adds short bursts of single experts to constant loads.
type bursty struct {
	base   placement.Loads
	bursts []burst
}

type burst struct {
	layer, expert int
	from          time.Duration
}

func newBursty(rng *rand.Rand, s placement.Shape, duration time.Duration) *bursty {
	b := &bursty{base: drawLoads(rng, s, popularitySpread/2)}
	for range int(duration.Hours() * burstsPerHour * float64(s.Layers)) {
		b.bursts = append(b.bursts, burst{
			layer: rng.IntN(s.Layers), expert: rng.IntN(s.Experts),
			from: time.Duration(rng.Int64N(int64(duration))),
		})
	}
	return b
}

func (b *bursty) at(now time.Duration) placement.Loads {
	loads := copyLoads(b.base)
	for _, p := range b.bursts {
		if now >= p.from && now < p.from+burstDuration {
			loads[p.layer][p.expert] *= burstFactor
		}
	}
	return loads
}

// swinging multiplies the loads of one half of the experts, then of the other.
type swinging struct {
	base        placement.Loads
	inFirstHalf []bool
}

func newSwinging(rng *rand.Rand, s placement.Shape) *swinging {
	w := &swinging{base: drawLoads(rng, s, popularitySpread/2)}
	for range s.Experts {
		w.inFirstHalf = append(w.inFirstHalf, rng.IntN(2) == 0)
	}
	return w
}

func (w *swinging) at(now time.Duration) placement.Loads {
	firstHalf := now%swingPeriod < swingPeriod/2
	loads := copyLoads(w.base)
	for l := range loads {
		for e := range loads[l] {
			if w.inFirstHalf[e] == firstHalf {
				loads[l][e] *= swingFactor
			}
		}
	}
	return loads
}

func copyLoads(loads placement.Loads) placement.Loads {
	c := make(placement.Loads, len(loads))
	for l := range loads {
		c[l] = append([]float64(nil), loads[l]...)
	}
	return c
}
