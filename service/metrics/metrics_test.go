package metrics_test

import (
	"encoding/base64"
	"encoding/json"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sebdah/goldie/v2"

	"github.com/mulberryfork/mulberryfork/service/metrics"
)

// Guards against a docs/metrics.md that was not generated again after a metric was
// added, changed or removed.
func TestMetricsPageIsUpToDate(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "metrics", []byte(metrics.Page()))
}

// Guards against a published histogram that has lost the tail of the distribution, so
// that a reader cannot compute high quantiles.
func TestHistogramKeepsItsTail(t *testing.T) {
	s := metrics.New()
	for range 999 {
		s.Observe("first_chunk", "desk", time.Millisecond)
	}
	s.Observe("first_chunk", "desk", 9*time.Second)
	var out map[string]map[string]struct {
		Count int64
		HDR   string
	}
	if err := json.Unmarshal([]byte(s.JSON()), &out); err != nil {
		t.Fatal(err)
	}
	encoded, err := base64.StdEncoding.DecodeString(out["first_chunk"]["desk"].HDR)
	if err != nil {
		t.Fatal(err)
	}
	h, err := hdrhistogram.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if h.TotalCount() != 1000 || h.Max() < 8_900_000 {
		t.Errorf("count %d, max %d us", h.TotalCount(), h.Max())
	}
}

// Guards against an unbounded number of labels, such as names chosen by callers.
func TestLabelsAreBounded(t *testing.T) {
	s := metrics.New()
	for i := range 3000 {
		s.Counter("failures", string(rune('a'+i%26))+string(rune(0x4e00+i))).Add(1)
	}
	var out map[string]map[string]int64
	if err := json.Unmarshal([]byte(s.JSON()), &out); err != nil {
		t.Fatal(err)
	}
	if n := len(out["failures"]); n > 1025 {
		t.Errorf("%d labels", n)
	}
}
