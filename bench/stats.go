package bench

import "slices"

// quantile returns the value below which a part of the values lies, by the
// nearest rank above it.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}
