package placement

// Paces holds, by rank, the time that a rank takes for a load relative to a rank that is
// not slow. It is nil if no rank is slow.
type Paces []float64

// capacity returns the sum of the speeds of the ranks, in ranks that are not slow.
func (p Paces) capacity() float64 {
	sum := 0.0
	for _, pace := range p {
		sum += 1 / pace
	}
	return sum
}

// evenTime returns the time of a layer if each rank has a load in proportion to its
// speed, 0 without paces.
func (p Paces) evenTime(expertLoad []float64) float64 {
	if len(p) == 0 {
		return 0
	}
	total := 0.0
	for _, x := range expertLoad {
		total += x
	}
	return total / p.capacity()
}
