package burnreport_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sebdah/goldie/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/burnreport"
	"github.com/mulberryfork/mulberryfork/decide/burn"
)

const (
	advanceInterval = 10 * time.Second
	requestInterval = 30 * time.Second
)

var objectives = map[string]api.Objective{
	"booking":     {Kind: api.ObjectiveAvailability, Service: "booking", Target: 0.999},
	"first-token": {Kind: api.ObjectiveFirstToken, Target: 0.95, Threshold: api.Duration(340 * time.Millisecond)},
	"idle":        {Kind: api.ObjectiveAnswered, Model: "letters", Target: 0.999},
}

// simulateRouter returns the counts of a router that started uptime before the
// report. Upstream booking-2 fails in the last 20 minutes; from 5 to 4 hours
// before the report the router is paused.
func simulateRouter(node string, uptime time.Duration, revision uint64) *burn.Published {
	s := burn.New(0)
	s.Configure(0, objectives)
	for now := time.Duration(0); now <= uptime; now += advanceInterval {
		beforeReport := uptime - now
		if beforeReport > 4*time.Hour && beforeReport < 5*time.Hour {
			continue
		}
		s.Advance(now)
		if now%requestInterval == 0 {
			recordRequests(s, now, beforeReport)
		}
	}
	s.RecordLost(uptime, 3)
	return &burn.Published{Node: node, Zone: "porto-a", Revision: revision, Objectives: s.Publish(uptime)}
}

func recordRequests(s *burn.State, now, beforeReport time.Duration) {
	booking := api.RequestSummary{Member: "desk", Service: "booking", Zone: "porto-a", Upstream: "booking-1", Status: 200}
	if now%(2*requestInterval) == 0 {
		booking.Member, booking.Zone, booking.Upstream = "<crews>", "porto-b", "booking-2"
		if beforeReport < 20*time.Minute {
			booking.Status, booking.Failure = 0, api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "")
		}
	}
	s.Record(now, booking)
	firstToken := 200 * time.Millisecond
	if now%(40*requestInterval) == 0 {
		firstToken = time.Second
	}
	s.Record(now, api.RequestSummary{Member: "desk", Model: "notes", Zone: "porto-a", Upstream: "engine-1", Streamed: true, FirstToken: firstToken, Status: 200})
}

func encodedHistogram(t *testing.T) []byte {
	t.Helper()
	h := hdrhistogram.New(1, 600_000_000, 2)
	for us := int64(1000); us < 1_000_000; us += 1000 {
		_ = h.RecordValue(us)
	}
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func mergedSummary(t *testing.T) burn.Summary {
	t.Helper()
	s := burn.Merge([]burn.Source{
		{Address: "10.0.0.1:9100", Published: simulateRouter("router-1", 80*time.Hour, 12)},
		{Address: "10.0.0.2:9100", Published: simulateRouter("router-2", 30*time.Minute, 12)},
		{Address: "10.0.0.3:9100", Reason: "connection refused"},
	})
	s.Times, _ = burn.MergeHistograms([]burn.EncodedHistogram{
		{Metric: "first_chunk", Member: "desk", Data: encodedHistogram(t)},
		{Metric: "first_chunk", Member: "desk", Data: encodedHistogram(t)},
		{Metric: "chunk_gap", Member: "<crews>", Data: encodedHistogram(t)},
	})
	return s
}

// Guards against unintended changes of the report format, and against a report that
// omits an unreadable router or shows missing data as good.
func TestReports(t *testing.T) {
	s := mergedSummary(t)
	g := goldie.New(t, goldie.WithNameSuffix(".golden"))
	var table, asJSON, page bytes.Buffer
	if err := burnreport.WriteTable(&table, s); err != nil {
		t.Fatal(err)
	}
	if err := burnreport.WriteJSON(&asJSON, s); err != nil {
		t.Fatal(err)
	}
	if err := burnreport.WritePage(&page, s, time.Unix(1_800_000_000, 0)); err != nil {
		t.Fatal(err)
	}
	g.Assert(t, "table", table.Bytes())
	g.Assert(t, "json", asJSON.Bytes())
	g.Assert(t, "page.html", page.Bytes())
	for _, external := range []string{"http:", "https:", "<script", "<link", "<img", "@import"} {
		if strings.Contains(page.String(), external) {
			t.Errorf("the page contains %q", external)
		}
	}
}

// Guards against a summary that omits the routers' histograms, and against a report
// that fails because some processes cannot be read.
func TestReadReportsUnreadableProcesses(t *testing.T) {
	serve := func(status int, body any) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(body)
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	good := serve(http.StatusOK, map[string]any{
		"burn":        simulateRouter("router-1", time.Hour, 1),
		"first_chunk": map[string]any{"desk": map[string]any{"hdr": encodedHistogram(t)}, "crews": map[string]any{"hdr": []byte("x")}},
	})
	agent := serve(http.StatusOK, map[string]any{"work_running": 1})
	broken := serve(http.StatusServiceUnavailable, nil)
	s := burnreport.Read(t.Context(), []string{good, agent, broken})
	if len(s.Times) != 1 || s.Times[0].Count != 999 || len(s.UnreadTimes) != 1 {
		t.Errorf("times %+v, unread %v", s.Times, s.UnreadTimes)
	}
	reasons := make(map[string]string)
	for _, r := range s.Routers {
		reasons[r.Address] = r.Reason
	}
	want := map[string]string{good: "", agent: (&burnreport.NoReportError{}).Error(), broken: (&burnreport.StatusError{Status: 503}).Error()}
	for address, reason := range want {
		if reasons[address] != reason {
			t.Errorf("%s: got reason %q, want %q", address, reasons[address], reason)
		}
	}
	if err := burnreport.CheckAnyRead(s); err != nil {
		t.Error(err)
	}
	var none *burnreport.NoRouterError
	if err := burnreport.CheckAnyRead(burnreport.Read(t.Context(), []string{agent})); !errors.As(err, &none) {
		t.Errorf("no router could be read: got error %v, want NoRouterError", err)
	}
}
