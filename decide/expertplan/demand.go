package expertplan

import (
	"math"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/placement"
)

const (
	// demandHalfLife is the half-life of counted choices while one request runs in
	// the group. While n requests run, it is n times shorter. The choices of a few
	// dozen requests suffice to estimate the demand, which shifts within seconds.
	demandHalfLife = 11 * time.Second
	// Demand has shifted if the distance of a sample from the estimate exceeds
	// shiftFactor times the mean distance. On the users' engines, the ratio is at
	// most 1.7 while demand is unchanged, and 3 to 5 after a shift.
	shiftFactor = 2.2
	// minShiftDistance is the smallest distance that counts as a shift, as a
	// fraction of all choices. A smaller shift has little effect on the imbalance
	// of a map.
	minShiftDistance = 0.16
	// minShiftRequests is the minimum number of running requests for detecting a
	// shift. With fewer, samples differ too much by chance.
	minShiftRequests = 24
	// meanDistanceWeight is the weight of a sample in the mean distance.
	// initialMeanDistance is the mean assumed before the first sample.
	meanDistanceWeight  = 0.1
	initialMeanDistance = 0.12
)

// demand estimates each expert's share of the choices in its layer.
type demand struct {
	shares placement.Loads
	// lastCounts are the counts of the previous sample, by rank, taken at lastAt.
	lastCounts [][]uint64
	epoch      uint64
	lastAt     time.Duration
	// meanDistance is the moving average of the distances of samples from the
	// estimate.
	meanDistance float64
	// samplesSinceShift counts the samples from the last shift on, including the
	// one in which it was detected. It is 0 before the first shift.
	samplesSinceShift int
}

// Observe updates the estimate from a sample. counts holds the choices that each
// rank has counted in total, by layer and expert; running is the number of running
// requests. It leaves out ranks without counts and ranks that restarted. It
// returns true if demand shifted since the previous sample. Such a sample mixes
// the old demand with the new one, so no change is planned before the next one.
func (s *State) Observe(now time.Duration, epoch uint64, counts [][]uint64, running int) (shifted bool) {
	if !s.demand.observe(s.shape, now, epoch, counts, running) {
		return false
	}
	s.cached = nil
	return s.demand.justShifted()
}

func (d *demand) justShifted() bool { return d.samplesSinceShift == 1 }

// observe updates the estimate with the choices since the previous sample. It
// returns false if there are none.
func (d *demand) observe(shape placement.Shape, now time.Duration, epoch uint64, counts [][]uint64, running int) bool {
	loads := make(placement.Loads, shape.Layers)
	for l := range loads {
		loads[l] = make([]float64, shape.Experts)
	}
	counted := false
	if epoch == d.epoch && len(d.lastCounts) == len(counts) {
		for r := range counts {
			counted = addChoices(loads, d.lastCounts[r], counts[r]) || counted
		}
	}
	elapsed := now - d.lastAt
	d.lastCounts, d.epoch, d.lastAt = counts, epoch, now
	if counted {
		d.update(loads, elapsed, running)
	}
	return counted
}

// addChoices adds the choices that a rank counted between two samples. It returns
// false if there are none or if the rank reported no counts.
func addChoices(loads placement.Loads, before, after []uint64) bool {
	experts := len(loads[0])
	if size := len(loads) * experts; len(after) != size || len(before) != size {
		return false
	}
	counted := false
	for i := range after {
		if after[i] > before[i] {
			loads[i/experts][i%experts] += float64(after[i] - before[i])
			counted = true
		}
	}
	return counted
}

// update moves the estimate towards the choices of one interval.
func (d *demand) update(loads placement.Loads, elapsed time.Duration, running int) {
	for l, layer := range loads {
		// A layer without choices keeps its estimate.
		if !normalize(layer) && d.shares != nil {
			copy(layer, d.shares[l])
		}
	}
	if d.shares == nil {
		d.shares = loads
		return
	}
	weight := d.sampleWeight(1-math.Exp2(-float64(elapsed)*float64(running)/float64(demandHalfLife)), distance(loads, d.shares), running)
	for l, layer := range loads {
		for e, x := range layer {
			d.shares[l][e] += weight * (x - d.shares[l][e])
		}
	}
}

// sampleWeight returns the weight of a sample in the estimate. After a shift, the
// estimate is the mean of the samples whose whole interval lies after the shift,
// until their weight falls to usualWeight. sampleWeight also detects a shift and
// updates the mean distance.
func (d *demand) sampleWeight(usualWeight, distance float64, running int) float64 {
	if d.justShifted() {
		d.samplesSinceShift++
		return 1
	}
	if running >= minShiftRequests && distance > max(shiftFactor*d.meanDistance, minShiftDistance) {
		d.samplesSinceShift = 1
		return 1
	}
	d.meanDistance += meanDistanceWeight * (distance - d.meanDistance)
	if d.samplesSinceShift == 0 {
		return usualWeight
	}
	d.samplesSinceShift++
	return max(usualWeight, 1/float64(d.samplesSinceShift-1))
}

// normalize turns the choices of a layer into shares. It returns false if the
// layer has none.
func normalize(layer []float64) bool {
	total := 0.0
	for _, x := range layer {
		total += x
	}
	if total == 0 {
		return false
	}
	for e := range layer {
		layer[e] /= total
	}
	return true
}

// distance returns the fraction of choices that differ between two demands, on
// average over the layers.
func distance(a, b placement.Loads) float64 {
	sum := 0.0
	for l := range a {
		for e := range a[l] {
			sum += math.Abs(a[l][e]-b[l][e]) / 2
		}
	}
	return sum / float64(len(a))
}
