package bench

import "slices"

// quantile returns the quantile of the values at a fraction from 0 to 1, without
// interpolation. It returns 0 if there are no values.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}
