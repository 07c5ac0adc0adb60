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
	// shiftFactor times the usual distance. On the users' engines, the ratio is at
	// most 1.7 while demand is unchanged. After a shift it is 3 to 5 with 60 running
	// requests, and at least 4 with 300 if the shift is spread over two samples.
	shiftFactor = 2.2
	// minShiftDistance is the smallest distance that counts as a shift, as a
	// fraction of all choices, for a group whose samples hardly differ. It is a fifth
	// of the distance between two successive demands on the users' engines.
	minShiftDistance = 0.04
	// initialNoise is the usual distance of a sample of one running request that is
	// assumed before the first sample: 0.12 with 60 requests on the users' engines.
	initialNoise = 0.93
	// noiseWeight is the weight of a sample in the noise, once there have been
	// 1/noiseWeight samples.
	noiseWeight = 0.1
	// unchangedFactor is the largest ratio of a sample's distance to the usual one while
	// demand is unchanged. Up to maxUnusualSamples in a row that exceed it, as many as a
	// shift within a sample affects, do not count as noise. With 9 samples between two
	// shifts, as in a group of 256 ranks, the noise would otherwise stay a quarter too
	// high, and shifts that are spread over two samples would not be seen.
	unchangedFactor   = 1.7
	maxUnusualSamples = 2
	// shiftSizeWeight is the weight of a shift in the usual size of shifts.
	shiftSizeWeight = 0.3
	// minNewPart is the least part of the choices of a sample that is taken to come
	// after the shift. With a smaller part, noise exceeds what the sample tells of the
	// new demand.
	minNewPart = 1.0 / 3
)

// sampleEvent tells what a sample showed.
type sampleEvent uint8

const (
	// noChoices: the sample has none.
	noChoices sampleEvent = iota
	// demandKnown: demand is unchanged, or changes slowly.
	demandKnown
	// shiftSeen: demand shifted during the sample or right before it.
	shiftSeen
	// shiftConfirmed and shiftDismissed follow shiftSeen with the next sample.
	shiftConfirmed
	shiftDismissed
)

// demand estimates each expert's share of the choices in its layer.
type demand struct {
	shares placement.Loads
	// sample holds the shares of the last sample, and weight its weight in the estimate.
	sample placement.Loads
	weight float64
	// previous is the estimate before the last shift, for the confirmation of that shift.
	previous placement.Loads
	// lastCounts are the counts of the previous sample, by rank, taken at lastAt.
	lastCounts [][]uint64
	epoch      uint64
	lastAt     time.Duration
	// noise is the moving average of the distances of noiseSamples samples from the
	// estimate, for one running request. The distance decreases with the square root
	// of the number of requests.
	noise        float64
	noiseSamples int
	// unusual counts the last samples in a row that exceed unchangedFactor.
	unusual int
	// shiftSize is the moving average of the distances between the demands before and
	// after a shift, 0 before the first shift.
	shiftSize float64
	// samplesSinceShift counts the samples from the last shift on, including the
	// one in which it was detected. It is 0 before the first shift.
	samplesSinceShift int
	// samplesBefore is samplesSinceShift before the shift that is not confirmed yet.
	samplesBefore int
}

// justShifted reports whether the last sample showed a shift. The estimate then
// extrapolates from a sample that may mix the old demand with the new one.
func (d *demand) justShifted() bool { return d.samplesSinceShift == 1 }

// observe updates the estimate with the choices since the previous sample.
// constant is true if demand is expected to be constant since the last shift.
func (d *demand) observe(shape placement.Shape, now time.Duration, epoch uint64, counts [][]uint64, running int, constant bool) sampleEvent {
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
	if !counted {
		return noChoices
	}
	return d.update(loads, elapsed, running, constant)
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
func (d *demand) update(loads placement.Loads, elapsed time.Duration, running int, constant bool) sampleEvent {
	for l, layer := range loads {
		// A layer without choices keeps its estimate.
		if !normalize(layer) && d.shares != nil {
			copy(layer, d.shares[l])
		}
	}
	d.sample, d.weight = loads, 1
	if d.shares == nil {
		d.shares = loads
		return demandKnown
	}
	running = max(running, 1)
	usualWeight := 1 - math.Exp2(-float64(elapsed)*float64(running)/float64(demandHalfLife))
	if d.justShifted() {
		return d.confirm(loads, usualWeight, running)
	}
	x, bound := distance(loads, d.shares), d.shiftBound(running)
	d.observeNoise(min(x, bound), running)
	if x > bound {
		d.previous, d.samplesBefore = d.shares, d.samplesSinceShift
		d.shares = extrapolate(d.shares, loads, d.newPart(x))
		d.samplesSinceShift = 1
		return shiftSeen
	}
	d.weight = usualWeight
	if d.samplesSinceShift > 0 {
		// The estimate is the mean of the samples after the shift, while demand is
		// expected to be constant, and then until their weight falls to usualWeight.
		d.samplesSinceShift++
		d.weight = 1 / float64(d.samplesSinceShift-1)
		if !constant {
			d.weight = max(usualWeight, d.weight)
		}
	}
	d.shares = mix(d.shares, loads, d.weight)
	return demandKnown
}

// confirm handles the sample after one that showed a shift. All its choices were made
// after the shift. If it is close to the estimate before, there was no shift.
func (d *demand) confirm(loads placement.Loads, usualWeight float64, running int) sampleEvent {
	size := distance(loads, d.previous)
	if size <= d.shiftBound(running) {
		d.shares, d.samplesSinceShift = mix(d.previous, loads, usualWeight), d.samplesBefore
		return shiftDismissed
	}
	if d.shiftSize == 0 {
		d.shiftSize = size
	}
	d.shiftSize += shiftSizeWeight * (size - d.shiftSize)
	d.shares, d.samplesSinceShift = loads, 2
	return shiftConfirmed
}

// shiftBound returns the distance from the estimate beyond which a sample shows a shift.
func (d *demand) shiftBound(running int) float64 {
	return max(shiftFactor*d.noise/math.Sqrt(float64(running)), minShiftDistance)
}

func (d *demand) observeNoise(distance float64, running int) {
	sample := distance * math.Sqrt(float64(running))
	if sample <= unchangedFactor*d.noise {
		d.unusual = 0
	} else if d.unusual++; d.unusual <= maxUnusualSamples {
		return
	}
	d.noiseSamples++
	weight := max(noiseWeight, 1/float64(d.noiseSamples+1))
	d.noise += weight * (sample - d.noise)
}

// newPart returns the part of the choices of a sample that were made after the shift,
// if shifts have their usual size.
func (d *demand) newPart(distance float64) float64 {
	if d.shiftSize == 0 {
		return 1
	}
	return min(1, max(minNewPart, distance/d.shiftSize))
}

// extrapolate returns the demand that, mixed with the old one, gives a sample in which
// it has the given part.
func extrapolate(old, sample placement.Loads, part float64) placement.Loads {
	loads := mix(old, sample, 1/part)
	for l, layer := range loads {
		for e, x := range layer {
			layer[e] = max(x, 0)
		}
		if !normalize(layer) {
			copy(layer, sample[l])
		}
	}
	return loads
}

// mix returns old moved towards sample by a weight.
func mix(old, sample placement.Loads, weight float64) placement.Loads {
	loads := make(placement.Loads, len(old))
	for l, layer := range sample {
		loads[l] = make([]float64, len(layer))
		for e, x := range layer {
			loads[l][e] = old[l][e] + weight*(x-old[l][e])
		}
	}
	return loads
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
