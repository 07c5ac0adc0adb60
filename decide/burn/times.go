package burn

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times is the distribution of one measured time for one guild member, over
// all routers and since their start.
type Times struct {
	Metric string `json:"metric"`
	Member string `json:"member"`
	Count  int64  `json:"count"`
	P50Us  int64  `json:"p50_us"`
	P95Us  int64  `json:"p95_us"`
	P99Us  int64  `json:"p99_us"`
	P999Us int64  `json:"p999_us"`
	MaxUs  int64  `json:"max_us"`
	// Beyond counts values that the range of the sum does not hold.
	Beyond int64 `json:"beyond,omitempty"`
}

// PackedTimes is one router's distribution as it publishes it.
type PackedTimes struct {
	// Address is the router's.
	Address string
	Metric  string
	Member  string
	Packed  []byte
}

// PackedTimesError reports a distribution that cannot be read.
type PackedTimesError struct {
	Address string
	Metric  string
	Member  string
	Err     error
}

func (e *PackedTimesError) Error() string {
	return "histogram " + e.Metric + " of " + e.Member + " at " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *PackedTimesError) Unwrap() error { return e.Err }

type timesKey struct{ metric, member string }

// MergeTimes adds up whole distributions, so that the tail of each router
// stays in the sum, which means of percentiles would lose. Those that cannot
// be read are left out and returned as errors.
func MergeTimes(packed []PackedTimes) ([]Times, []*PackedTimesError) {
	var failures []*PackedTimesError
	sums := make(map[timesKey]*hdrhistogram.Histogram)
	beyond := make(map[timesKey]int64)
	for _, p := range packed {
		h, err := hdrhistogram.Decode(p.Packed)
		if err != nil {
			failures = append(failures, &PackedTimesError{Address: p.Address, Metric: p.Metric, Member: p.Member, Err: err})
			continue
		}
		key := timesKey{p.Metric, p.Member}
		if sums[key] == nil {
			sums[key] = h
			continue
		}
		beyond[key] += sums[key].Merge(h)
	}
	out := make([]Times, 0, len(sums))
	for key, h := range sums {
		out = append(out, timesOf(key, h, beyond[key]))
	}
	slices.SortFunc(out, func(a, b Times) int {
		return cmp.Or(cmp.Compare(a.Metric, b.Metric), cmp.Compare(a.Member, b.Member))
	})
	return out, failures
}

func timesOf(key timesKey, h *hdrhistogram.Histogram, beyond int64) Times {
	return Times{
		Metric: key.metric,
		Member: key.member,
		Count:  h.TotalCount() + beyond,
		P50Us:  h.ValueAtQuantile(50),
		P95Us:  h.ValueAtQuantile(95),
		P99Us:  h.ValueAtQuantile(99),
		P999Us: h.ValueAtQuantile(99.9),
		MaxUs:  h.Max(),
		Beyond: beyond,
	}
}
