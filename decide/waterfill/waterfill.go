// Package waterfill places requests on upstreams whose loads are known with a delay, by
// several processes that do not talk to each other.
//
// It answers for many processes and many small upstreams: each process sees a load
// report every 100 to 300 ms, in which the others place dozens of requests. If all
// choose the upstream with the lowest reported load, they fill that one and leave the
// others idle. Instead, each process assumes that the requests since the report were
// placed such that the lowest loads rose to a common level, as water fills a vessel, and
// chooses at random among the upstreams below that level. The sum over all processes
// then has the assumed shape.
//
// Once the expected requests exceed the room of all upstreams, each process refuses
// further ones until a newer report, so that the accepted ones are not all late.
package waterfill

import (
	"cmp"
	"math"
	"slices"
)

// Candidate is an upstream that may get a request.
type Candidate struct {
	// Load is the estimated number of requests on it, running and waiting.
	Load float64
	// Capacity is the number of requests above which it gets no more.
	Capacity float64
}

func (c Candidate) room() float64 { return max(c.Capacity-c.Load, 0) }

// tolerance covers the rounding errors of sums of loads.
const tolerance = 1e-6

// Refused is the choice if no upstream has room for the request.
const Refused = -1

// Choose returns the index of the upstream for a request, or Refused. arrivals is the
// expected number of requests of all processes, including this one, that the loads do
// not contain yet. random is a uniform random number in [0, 1).
func Choose(candidates []Candidate, arrivals, random float64) int {
	below, _ := Below(candidates, arrivals)
	return Draw(below, random)
}

// Draw returns one of the indices with equal odds, or Refused if there is none. random is a
// uniform random number in [0, 1), up to a rounding error.
func Draw(indices []int, random float64) int {
	if len(indices) == 0 {
		return Refused
	}
	return indices[min(int(random*float64(len(indices))), len(indices)-1)]
}

// Below returns the indices of the candidates among which Choose chooses, and the level to
// which the expected requests raise the lowest loads. It returns none if some of the requests
// have no room.
func Below(candidates []Candidate, arrivals float64) (below []int, level float64) {
	level, ok := levelOf(candidates, arrivals)
	if !ok {
		return nil, 0
	}
	for i, c := range candidates {
		if c.Load < min(c.Capacity, level) {
			below = append(below, i)
		}
	}
	return below, level
}

// Depths returns by how much the arrivals are expected to raise the load of each upstream, nil
// if they have no room. A process that chooses upstreams with these weights raises all low
// loads to the same level, where Choose sends as many to those just below it as to the lowest.
// The result uses the storage of buffer if that is large enough.
func Depths(buffer []float64, candidates []Candidate, arrivals float64) []float64 {
	level, ok := levelOf(candidates, arrivals)
	if !ok {
		return nil
	}
	depths := slices.Grow(buffer[:0], len(candidates))
	for _, c := range candidates {
		depths = append(depths, max(min(c.Capacity, level)-c.Load, 0))
	}
	return depths
}

// levelOf returns the level to which the arrivals, at least one, raise the lowest loads. ok is
// false if some of them have no room.
func levelOf(candidates []Candidate, arrivals float64) (level float64, ok bool) {
	arrivals = max(arrivals, 1)
	room := 0.0
	for _, c := range candidates {
		room += c.room()
	}
	if room < arrivals-tolerance {
		return 0, false
	}
	return fillLevel(candidates, arrivals), true
}

// fillLevel returns the level to which the loads below it rise if arrivals are added to
// them, each at most up to its capacity.
func fillLevel(candidates []Candidate, arrivals float64) float64 {
	// The water below a level is piecewise linear in the level. Its slope changes by +1
	// at each load and by -1 at each capacity.
	type bend struct{ at, slope float64 }
	bends := make([]bend, 0, 2*len(candidates))
	for _, c := range candidates {
		if c.room() > 0 {
			bends = append(bends, bend{c.Load, 1}, bend{c.Capacity, -1})
		}
	}
	slices.SortFunc(bends, func(a, b bend) int { return cmp.Compare(a.at, b.at) })
	water, slope, level := 0.0, 0.0, 0.0
	for _, b := range bends {
		next := water + slope*(b.at-level)
		if next >= arrivals {
			break
		}
		water, level = next, b.at
		slope += b.slope
	}
	if slope <= 0 {
		return math.Inf(1)
	}
	return level + (arrivals-water)/slope
}
