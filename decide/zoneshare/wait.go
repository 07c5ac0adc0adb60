package zoneshare

import "math"

const (
	// loadPrecision is the precision of loadOfWait in requests.
	loadPrecision = 0.05
	// loadStep is the difference of load over which a slope is taken, in requests.
	loadStep = 0.1
	// minLoad keeps the variance of a load above 0.
	minLoad = 1e-6
)

// expectedWait returns the expected wait for a slot, in durations of a request, if the mean
// number of requests is load. The number that a request finds is taken as normal with the
// variance of a Poisson number, and a slot gets free once in a duration divided by slots.
func expectedWait(load, slots float64) float64 {
	excess := load - slots + 1
	sigma := math.Sqrt(max(load, minLoad))
	d := excess / sigma
	density := math.Exp(-d*d/2) / math.Sqrt(2*math.Pi)
	return (excess*(1+math.Erf(d/math.Sqrt2))/2 + sigma*density) / slots
}

// lossThere returns the expected wait of one more request in another zone and the weighted
// waits that it adds to those of the other callers there, in durations of a request.
func lossThere(load, slots float64) float64 {
	wait := expectedWait(load, slots)
	return wait + othersWeight*load*(expectedWait(load+loadStep, slots)-wait)/loadStep
}

// loadOfWait returns the load at which the expected wait has a value.
func loadOfWait(wait, slots float64) float64 {
	low, high := 0.0, slots*(wait+1)
	for high-low > loadPrecision {
		middle := (low + high) / 2
		if expectedWait(middle, slots) < wait {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
