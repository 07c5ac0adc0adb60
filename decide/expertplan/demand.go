package expertplan

import (
	"math"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/placement"
)

const (
	// demandHalfLife is the time of one running request in which counted choices
	// lose half of their weight; all requests of the group count. The choices of
	// a few dozen requests tell the demand, which shifts within seconds.
	demandHalfLife = 11 * time.Second
	// shiftFactor is how much further than usual a reading is from the estimate
	// once demand has shifted. Readings of one demand differ by up to 1.7 times
	// the usual distance on the users' engines, a shift by 3 to 5 times.
	shiftFactor = 2.2
	// shiftLeast is the least distance of a shift, as a part of all choices. A
	// smaller one changes little in how even a map is.
	shiftLeast = 0.16
	// shiftRunning is the number of running requests from which a reading can
	// tell a shift: the choices of fewer differ by chance.
	shiftRunning = 24
	// noiseWeight is the weight of a reading in the usual distance, firstNoise
	// that distance before the first reading.
	noiseWeight = 0.1
	firstNoise  = 0.12
)

// demand estimates the share of each expert in its layer.
type demand struct {
	shares placement.Loads
	// last are the counts of the previous reading, by rank, at its time.
	last  [][]uint64
	epoch uint64
	at    time.Duration
	// noise is the usual distance of a reading from the estimate.
	noise float64
	// since is the number of readings since the last shift, the one that showed
	// it included; 0 before the first shift.
	since int
}

// Observe takes a reading of the counts of all ranks, on which so many requests
// run. Ranks without counts, and those that started anew, are left out. It returns
// true if demand shifted within this reading, which tells neither the former nor
// the present one: the next reading does, and no change is planned before.
func (s *State) Observe(now time.Duration, epoch uint64, counts [][]uint64, running int) (shifted bool) {
	if !s.demand.observe(s.shape, now, epoch, counts, running) {
		return false
	}
	s.planned = nil
	return s.demand.shifting()
}

func (d *demand) shifting() bool { return d.since == 1 }

// observe returns false for a reading without choices.
func (d *demand) observe(shape placement.Shape, now time.Duration, epoch uint64, counts [][]uint64, running int) bool {
	loads := make(placement.Loads, shape.Layers)
	for l := range loads {
		loads[l] = make([]float64, shape.Experts)
	}
	seen := false
	if epoch == d.epoch && len(d.last) == len(counts) {
		for r := range counts {
			seen = addChoices(loads, d.last[r], counts[r]) || seen
		}
	}
	passed := now - d.at
	d.last, d.epoch, d.at = counts, epoch, now
	if seen {
		d.add(loads, passed, running)
	}
	return seen
}

// addChoices adds what a rank counted between two readings.
func addChoices(loads placement.Loads, before, after []uint64) bool {
	experts := len(loads[0])
	if size := len(loads) * experts; len(after) != size || len(before) != size {
		return false
	}
	seen := false
	for i := range after {
		if after[i] > before[i] {
			loads[i/experts][i%experts] += float64(after[i] - before[i])
			seen = true
		}
	}
	return seen
}

// add moves the estimate towards the choices of an interval.
func (d *demand) add(loads placement.Loads, passed time.Duration, running int) {
	for l, layer := range loads {
		// A layer without choices says nothing.
		if !normalize(layer) && d.shares != nil {
			copy(layer, d.shares[l])
		}
	}
	if d.shares == nil {
		d.shares = loads
		return
	}
	weight := d.weigh(1-math.Exp2(-float64(passed)*float64(running)/float64(demandHalfLife)), distance(loads, d.shares), running)
	for l, layer := range loads {
		for e, x := range layer {
			d.shares[l][e] += weight * (x - d.shares[l][e])
		}
	}
}

// weigh returns the weight of a reading. After a shift the estimate begins anew
// with the first reading that lies wholly behind it, as the mean of the readings
// since.
func (d *demand) weigh(weight, distance float64, running int) float64 {
	if d.shifting() {
		d.since++
		return 1
	}
	if running >= shiftRunning && distance > max(shiftFactor*d.noise, shiftLeast) {
		d.since = 1
		return 1
	}
	d.noise += noiseWeight * (distance - d.noise)
	if d.since == 0 {
		return weight
	}
	d.since++
	return max(weight, 1/float64(d.since-1))
}

// normalize turns the choices of a layer into shares. It returns false if there
// are none.
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

// distance is the part of all choices that would have to change for one to
// become the other, on average over the layers.
func distance(a, b placement.Loads) float64 {
	sum := 0.0
	for l := range a {
		for e := range a[l] {
			sum += math.Abs(a[l][e]-b[l][e]) / 2
		}
	}
	return sum / float64(len(a))
}
