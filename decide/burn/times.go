package burn

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// TimeSummary summarizes the distribution of one time metric for one guild member,
// over all routers since their start.
type TimeSummary struct {
	Metric string `json:"metric"`
	Member string `json:"member"`
	Count  int64  `json:"count"`
	P50Us  int64  `json:"p50_us"`
	P95Us  int64  `json:"p95_us"`
	P99Us  int64  `json:"p99_us"`
	P999Us int64  `json:"p999_us"`
	MaxUs  int64  `json:"max_us"`
	// OutOfRange counts values outside the range of the merged histogram. Count
	// includes them; the percentiles and the maximum do not.
	OutOfRange int64 `json:"beyond,omitempty"`
}

// EncodedHistogram is a histogram that one router published. Data is in the encoding
// of hdrhistogram.
type EncodedHistogram struct {
	// Address is the address of the router.
	Address string
	Metric  string
	Member  string
	Data    []byte
}

// HistogramError reports a histogram that cannot be decoded.
type HistogramError struct {
	Address string
	Metric  string
	Member  string
	Err     error
}

func (e *HistogramError) Error() string {
	return "histogram " + e.Metric + " of " + e.Member + " at " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *HistogramError) Unwrap() error { return e.Err }

type histogramKey struct{ metric, member string }

// MergeHistograms sums the histograms of several routers per metric and guild member.
// Histograms are summed because averaged percentiles would hide the tail of a
// single router. Those that cannot be decoded are omitted and returned as errors.
func MergeHistograms(histograms []EncodedHistogram) ([]TimeSummary, []*HistogramError) {
	var failures []*HistogramError
	merged := make(map[histogramKey]*hdrhistogram.Histogram)
	outOfRange := make(map[histogramKey]int64)
	for _, p := range histograms {
		h, err := hdrhistogram.Decode(p.Data)
		if err != nil {
			failures = append(failures, &HistogramError{Address: p.Address, Metric: p.Metric, Member: p.Member, Err: err})
			continue
		}
		key := histogramKey{p.Metric, p.Member}
		if merged[key] == nil {
			merged[key] = h
			continue
		}
		outOfRange[key] += merged[key].Merge(h)
	}
	out := make([]TimeSummary, 0, len(merged))
	for key, h := range merged {
		out = append(out, summarizeHistogram(key, h, outOfRange[key]))
	}
	slices.SortFunc(out, func(a, b TimeSummary) int {
		return cmp.Or(cmp.Compare(a.Metric, b.Metric), cmp.Compare(a.Member, b.Member))
	})
	return out, failures
}

func summarizeHistogram(key histogramKey, h *hdrhistogram.Histogram, outOfRange int64) TimeSummary {
	return TimeSummary{
		Metric:     key.metric,
		Member:     key.member,
		Count:      h.TotalCount() + outOfRange,
		P50Us:      h.ValueAtQuantile(50),
		P95Us:      h.ValueAtQuantile(95),
		P99Us:      h.ValueAtQuantile(99),
		P999Us:     h.ValueAtQuantile(99.9),
		MaxUs:      h.Max(),
		OutOfRange: outOfRange,
	}
}
