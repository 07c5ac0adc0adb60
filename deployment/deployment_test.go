package deployment_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/burn"
	"github.com/mulberryfork/mulberryfork/deployment"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/modelengine"
	"github.com/mulberryfork/mulberryfork/standin/plainservice"
)

const (
	testTimeout = 30 * time.Second
	// pollInterval is the time between reads of a router's metrics.
	pollInterval = 50 * time.Millisecond
	objectives   = `
[objectives.tokens]
kind = "first_token"
target = 0.95
threshold = "1h"
[objectives.booking]
kind = "availability"
service = "booking"
target = 0.9
`
)

type unlistedMetrics interface{ Unlisted() []string }

func startPool(ctx context.Context, t *testing.T) *deployment.Deployment {
	t.Helper()
	clock := kernel.BootClock{}
	engine := modelengine.New(modelengine.Options{Clock: clock, Models: []string{deployment.Model}, StepBaseTime: time.Millisecond})
	booking := plainservice.New(plainservice.Options{Clock: clock})
	pool, err := deployment.Start(ctx, deployment.Options{
		Zones:   []string{"porto-a", "porto-b"},
		Routers: 1,
		Members: map[string]float64{"desk": 1},
		Upstreams: []deployment.Upstream{
			{Name: "engine-1", Zone: "porto-a", Handler: engine, MaxRequests: 8, ColdRequests: 4},
			{Name: "booking-1", Zone: "porto-b", Plain: true, Handler: booking, MaxRequests: 8, ColdRequests: 4},
		},
		ExtraConfig: objectives,
	})
	if err != nil {
		t.Fatal(err)
	}
	return pool
}

func call(ctx context.Context, t *testing.T, method, url, token, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(responseBody)
}

// awaitObjectives polls a router's metrics until both objectives have events, and
// returns the shortest window of each.
func awaitObjectives(ctx context.Context, t *testing.T, admin string) map[string]burn.WindowSummary {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ; ; <-ticker.C {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/debug/vars", nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		var vars struct{ Burn *burn.Published }
		err = json.NewDecoder(resp.Body).Decode(&vars)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		found := make(map[string]burn.WindowSummary)
		for _, o := range burn.Merge([]burn.Source{{Published: vars.Burn}}).Objectives {
			if o.Windows[0].Total > 0 {
				found[o.Name] = o.Windows[0]
			}
		}
		if len(found) == 2 {
			return found
		}
	}
}

// Guards against metrics that are missing in the table in api/metrics.go, and thus in
// the documentation, and against requests that the service-level report does not
// count.
func TestMetricsAreDocumentedAndRequestsCounted(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	pool := startPool(ctx, t)
	url, token := pool.Routers[0].URL, deployment.Token("desk")
	completion := `{"model":"` + deployment.Model + `","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
	for _, c := range []struct {
		method, path, token, body string
		want                      int
	}{
		{http.MethodPost, "/v1/chat/completions", token, completion, http.StatusOK},
		{http.MethodPost, "/v1/chat/completions", token, `{"model":"none"}`, http.StatusNotFound},
		{http.MethodPost, "/v1/chat/completions", "wrong", completion, http.StatusUnauthorized},
		{http.MethodPost, "/services/booking/visits", token, `{"home":"Rua 5","day":"2027-01-11"}`, http.StatusOK},
		{http.MethodGet, "/v1/outcomes/none", token, "", http.StatusOK},
	} {
		if got, response := call(ctx, t, c.method, url+c.path, c.token, c.body); got != c.want {
			t.Errorf("%s %s: status %d, want %d: %s", c.method, c.path, got, c.want, response)
		}
	}
	for name, w := range awaitObjectives(ctx, t, pool.Routers[0].AdminAddress) {
		if w.Good != 1 || w.Total != 1 {
			t.Errorf("objective %s: got %+v, want 1 good event of 1", name, w)
		}
	}
	for _, node := range append(pool.Routers, pool.Agents...) {
		table, err := kernel.Find[unlistedMetrics](node.Process.Host, api.ServiceMetrics)
		if err != nil {
			t.Fatal(err)
		}
		if names := table.Unlisted(); len(names) > 0 {
			t.Errorf("%s publishes %v, which are not in the table in api/metrics.go", node.Name, names)
		}
	}
	if err := pool.Stop(ctx); err != nil {
		t.Error(err)
	}
}
