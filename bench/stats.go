package bench

import "slices"

// quantile returns a quantile of the values without interpolation, and 0 if
// there are no values.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}
