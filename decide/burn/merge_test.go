package burn_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/burn"
)

var availability = map[string]api.Objective{"a": {Kind: api.ObjectiveAvailability, Target: 0.99}}

// serve simulates a router that records one request a second for some time and
// returns the end time. Every badEvery-th request fails; 0 means none.
func serve(s *burn.State, from, length time.Duration, badEvery int) time.Duration {
	now := from
	for i := 1; now < from+length; i++ {
		now += time.Second
		e := api.RequestSummary{Member: "desk", Status: 200}
		if badEvery > 0 && i%badEvery == 0 {
			e.Status = 503
		}
		s.Record(now, e)
	}
	return now
}

func published(s *burn.State, now time.Duration, revision uint64) *burn.Published {
	return &burn.Published{Revision: revision, Objectives: s.Publish(now)}
}

// TestStatus guards against an outage that does not page, and against time without
// counts that is reported as ok.
func TestStatus(t *testing.T) {
	const day = 24 * time.Hour
	cases := []struct {
		name    string
		serve   func(s *burn.State) time.Duration
		missing int
		want    burn.Status
	}{
		{"all good", func(s *burn.State) time.Duration { return serve(s, 0, 2*time.Hour, 0) }, 0, burn.StatusOK},
		{"just started", func(s *burn.State) time.Duration { return serve(s, 0, 10*time.Minute, 0) }, 0, burn.StatusIncomplete},
		{"router missing", func(s *burn.State) time.Duration { return serve(s, 0, 2*time.Hour, 0) }, 1, burn.StatusIncomplete},
		{"outage", func(s *burn.State) time.Duration { return serve(s, serve(s, 0, 2*time.Hour, 0), time.Hour, 4) }, 0, burn.StatusPage},
		{"outage over", func(s *burn.State) time.Duration {
			return serve(s, serve(s, serve(s, 0, 11*time.Hour, 0), 30*time.Minute, 3), 10*time.Minute, 0)
		}, 0, burn.StatusTicket},
		{"slow burn", func(s *burn.State) time.Duration { return serve(s, 0, 8*time.Hour, 50) }, 0, burn.StatusTicket},
		{"paused for three hours", func(s *burn.State) time.Duration { return serve(s, 0, 2*time.Hour, 0) + 3*time.Hour }, 0, burn.StatusNoData},
		{"no requests", func(s *burn.State) time.Duration {
			for now := time.Duration(0); now < day; now += 10 * time.Second {
				s.Advance(now)
			}
			return day
		}, 0, burn.StatusNoRequests},
	}
	for _, c := range cases {
		s := burn.New(0)
		s.Configure(0, availability)
		now := c.serve(s)
		sources := []burn.Source{{Address: "1", Published: published(s, now, 1)}}
		for range c.missing {
			sources = append(sources, burn.Source{Address: "2", Reason: "refused"})
		}
		o := burn.Merge(sources).Objectives[0]
		if o.Status != c.want || len(o.Missing) != c.missing {
			t.Errorf("%s: %s, missing %v, windows %+v", c.name, o.Status, o.Missing, o.Windows)
		}
	}
}

// TestDefinitionsMustAgree guards against summing counts of different
// definitions, and against a report that uses an outdated definition.
func TestDefinitionsMustAgree(t *testing.T) {
	outdated, current := burn.New(0), burn.New(0)
	outdated.Configure(0, availability)
	current.Configure(0, availability)
	serve(outdated, 0, time.Minute, 1)
	serve(current, 0, time.Minute, 1)
	current.Configure(time.Minute, map[string]api.Objective{"a": {Kind: api.ObjectiveAvailability, Target: 0.9}})
	now := serve(current, time.Minute, time.Minute, 0)
	o := burn.Merge([]burn.Source{
		{Address: "1", Published: published(outdated, now, 4)},
		{Address: "2", Published: published(current, now, 5)},
	}).Objectives[0]
	if o.Definition.Target != 0.9 || o.Windows[0].Total != 60 || o.Windows[0].Good != 60 {
		t.Errorf("%+v", o.Windows[0])
	}
	if len(o.Missing) != 1 || o.Missing[0].Address != "1" {
		t.Errorf("missing %v", o.Missing)
	}
}

// TestNamesAreBounded guards against memory use and published data that grow
// without limit with the number of names.
func TestNamesAreBounded(t *testing.T) {
	s := burn.New(0)
	s.Configure(0, availability)
	const names = 2000
	for i := range names {
		s.Record(time.Second, api.RequestSummary{Member: fmt.Sprint(i), Status: 500})
	}
	s.Record(time.Second, api.RequestSummary{Member: "7", Status: 500})
	o := burn.Merge([]burn.Source{{Published: published(s, time.Second, 1)}}).Objectives[0]
	members := o.Breakdowns[0].Names
	var sum uint64
	for _, n := range members {
		sum += n.SixHours
	}
	if len(members) > 33 || sum != names+1 || members[0].Name != "7" {
		t.Errorf("%d names, %d events, first %s", len(members), sum, members[0].Name)
	}
}

// TestTailsSurviveMerging guards against merged percentiles that hide one slow
// router.
func TestTailsSurviveMerging(t *testing.T) {
	encode := func(n, us int64) burn.EncodedHistogram {
		h := hdrhistogram.New(1, 600_000_000, 2)
		if err := h.RecordValues(us, n); err != nil {
			t.Fatal(err)
		}
		packed, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			t.Fatal(err)
		}
		return burn.EncodedHistogram{Metric: "first_chunk", Member: "desk", Data: packed}
	}
	broken := burn.EncodedHistogram{Address: "4", Data: slices.Repeat([]byte{7}, 9)}
	times, failures := burn.MergeHistograms([]burn.EncodedHistogram{encode(980, 1000), broken, encode(10, 9_000_000), encode(10, 2000)})
	if len(times) != 1 || len(failures) != 1 || failures[0].Address != "4" {
		t.Fatal(times, failures)
	}
	got := times[0]
	if got.Count != 1000 || got.P50Us > 1010 || got.P99Us > 2050 || got.P999Us < 8_900_000 || got.MaxUs < 8_900_000 {
		t.Errorf("%+v", got)
	}
}
