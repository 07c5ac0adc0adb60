package balance

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
	"github.com/mulberryfork/mulberryfork/decide/zoneshare"
	"github.com/mulberryfork/mulberryfork/service/metrics"
)

// changeLog counts state changes.
type changeLog struct {
	api.Logger
	changes int
}

func (l *changeLog) Change(string, api.Fields) { l.changes++ }

type countedMetrics map[string]int64

type labelCounter struct {
	counts countedMetrics
	key    string
}

func (c labelCounter) Add(n int64) { c.counts[c.key] += n }

func (m countedMetrics) Counter(name, label string) api.Counter {
	return labelCounter{m, name + " " + label}
}
func (m countedMetrics) Gauge(string, func() int64)            {}
func (m countedMetrics) Observe(string, string, time.Duration) {}

// Guards against bytes that count for the wrong direction, and against traffic within a zone
// that counts as between zones.
func TestTrafficIsCountedByPairOfZones(t *testing.T) {
	counts := countedMetrics{}
	z := newZoneTraffic("za", &changeLog{}, counts, metrics.New())
	state := balance.New(balance.Options{Zone: "za"})
	state.Configure(0, &api.View{Instances: map[string]api.Instance{
		"near": {ID: "near", Service: "s", Zone: "za"}, "far": {ID: "far", Service: "s", Zone: "zb"},
	}})
	for _, upstream := range []string{"near", "far", "gone"} {
		z.recordChoice(state, upstream)
		z.recordBytes(state, api.RouteResult{Upstream: upstream, SentBytes: 10, ReceivedBytes: 300})
	}
	want := countedMetrics{"zone_requests za>zb unmeasured": 1, "zone_bytes za>zb": 10, "zone_bytes zb>za": 300}
	if len(counts) != len(want) {
		t.Errorf("counters %v, want %v", counts, want)
	}
	for key, n := range want {
		if counts[key] != n {
			t.Errorf("%s is %d, want %d", key, counts[key], n)
		}
	}
}

// Guards against a log line for each change of a share that begins and ends all the time.
func TestShareLogIsBounded(t *testing.T) {
	log := &changeLog{}
	z := newZoneTraffic("za", log, countedMetrics{}, metrics.New())
	const minutes = 2
	for second := range minutes * 60 {
		share := balance.ZoneShare{Service: "s", Zone: "zb", Share: zoneshare.Share{Fraction: float64(second % 2)}}
		z.publish(time.Duration(second)*time.Second, []balance.ZoneShare{share})
	}
	if bound := int(minutes*time.Minute/zoneLogInterval) + 1; log.changes < 2 || log.changes > bound {
		t.Errorf("%d lines, want 2 to %d", log.changes, bound)
	}
}
