// Package metrics publishes the counters, gauges and histograms of a process
// in the JSON format of package expvar.
package metrics

import (
	"encoding/base64"
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	// lowestMicros and highestMicros bound the recorded durations, in microseconds.
	lowestMicros  = 1
	highestMicros = 600_000_000
	// significantDigits of 2 keeps a histogram at about 25 KB. There are three
	// histograms per member, and a process may have 350 members.
	significantDigits = 2
	// maxLabels bounds the labels of one counter. Further labels are counted together
	// under "other".
	maxLabels = 1024
)

// Service publishes metrics. It does not use the global variables of expvar,
// because a test runs several processes with a Service each.
type Service struct {
	vars  expvar.Map
	loop  *kernel.Loop
	table map[string]api.Metric

	mu          sync.Mutex
	counters    map[string]*expvar.Int
	labelCounts map[string]int
	histograms  map[string]*histogram
	// unlisted holds the names of metrics that are missing in api.MetricTable.
	unlisted []string
}

// New returns a Service without metrics.
func New() *Service {
	s := &Service{
		table:       make(map[string]api.Metric, len(api.MetricTable)),
		counters:    make(map[string]*expvar.Int),
		labelCounts: make(map[string]int),
		histograms:  make(map[string]*histogram),
	}
	s.vars.Init()
	for _, m := range api.MetricTable {
		s.table[m.Name] = m
	}
	return s
}

// Provision publishes the mailbox counters of the control loop.
func (s *Service) Provision(c *kernel.Context) error {
	s.loop = c.Loop()
	for name, read := range map[string]func(kernel.MailboxCounters) uint64{
		"mailbox_posted":   func(m kernel.MailboxCounters) uint64 { return m.Posted },
		"mailbox_dropped":  func(m kernel.MailboxCounters) uint64 { return m.Dropped },
		"mailbox_replaced": func(m kernel.MailboxCounters) uint64 { return m.Replaced },
		"mailbox_waited":   func(m kernel.MailboxCounters) uint64 { return m.Waited },
	} {
		s.vars.Set(name, expvar.Func(func() any {
			values := make(map[string]uint64)
			for _, m := range s.loop.Counters() {
				values[m.Name] = read(m)
			}
			return values
		}))
	}
	return nil
}

// Counter returns the counter for a name and label, and creates it if necessary.
func (s *Service) Counter(name, label string) api.Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	label = s.limitLabel(name, label)
	id := name + "\x00" + label
	if c, ok := s.counters[id]; ok {
		return c
	}
	s.checkListed(name, api.MetricCounter)
	c := new(expvar.Int)
	s.counters[id] = c
	if label == "" {
		s.vars.Set(name, c)
		return c
	}
	byLabel, ok := s.vars.Get(name).(*expvar.Map)
	if !ok {
		byLabel = new(expvar.Map).Init()
		s.vars.Set(name, byLabel)
	}
	byLabel.Set(label, c)
	return c
}

// limitLabel returns label, or "other" if the label is new and the metric already has
// maxLabels labels. It counts new labels.
func (s *Service) limitLabel(name, label string) string {
	if label == "" {
		return ""
	}
	if _, ok := s.counters[name+"\x00"+label]; ok {
		return label
	}
	if s.labelCounts[name] >= maxLabels {
		return "other"
	}
	s.labelCounts[name]++
	return label
}

// Gauge publishes a value that is read at each scrape.
func (s *Service) Gauge(name string, read func() int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkListed(name, api.MetricGauge)
	s.vars.Set(name, expvar.Func(func() any { return read() }))
}

// Publish adds a value that is read and encoded as JSON at each scrape.
func (s *Service) Publish(name string, read func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkListed(name, api.MetricReport)
	s.vars.Set(name, expvar.Func(read))
}

// Observe records a duration in the histogram for a name and label.
func (s *Service) Observe(name, label string, d time.Duration) {
	s.histogram(name, label).record(d)
}

func (s *Service) histogram(name, label string) *histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := name + "\x00" + label
	if h, ok := s.histograms[id]; ok {
		return h
	}
	s.checkListed(name, api.MetricHistogram)
	h := &histogram{values: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
	s.histograms[id] = h
	byLabel, ok := s.vars.Get(name).(*expvar.Map)
	if !ok {
		byLabel = new(expvar.Map).Init()
		s.vars.Set(name, byLabel)
	}
	byLabel.Set(label, h)
	return h
}

// checkListed records a metric that is missing in api.MetricTable or has another
// kind there, so that a test can find it.
func (s *Service) checkListed(name string, kind api.MetricKind) {
	if m, ok := s.table[name]; !ok || m.Kind != kind {
		s.unlisted = append(s.unlisted, name)
	}
}

// Unlisted returns the names of the metrics in use that are missing in
// api.MetricTable or have another kind there.
func (s *Service) Unlisted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.unlisted...)
}

// JSON returns all metrics in the JSON format of expvar.
func (s *Service) JSON() string { return s.vars.String() }

// histogram is an expvar.Var that publishes the whole distribution, so that a reader
// can merge the histograms of several processes and compute high quantiles.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Values outside the range are clamped, so RecordValue cannot fail.
	_ = h.values.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// String encodes the count, the percentiles in microseconds and the compressed
// histogram as JSON.
func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	encoded, err := h.values.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		encoded = nil
	}
	percentile := func(percent float64) string { return strconv.FormatInt(h.values.ValueAtQuantile(percent), 10) }
	return `{"count":` + strconv.FormatInt(h.values.TotalCount(), 10) +
		`,"p50":` + percentile(50) + `,"p95":` + percentile(95) + `,"p99":` + percentile(99) +
		`,"p999":` + percentile(99.9) +
		`,"hdr":"` + base64.StdEncoding.EncodeToString(encoded) + `"}`
}
