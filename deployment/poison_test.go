package deployment_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/deployment"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/modelengine"
)

const crashMarker = "crash-the-engine"

// A poison request crashes every engine that runs it. Guards against a pool in which
// a caller that resends the request through different routers crashes one upstream
// after another.
func TestPoisonRequestStopsAtTwoUpstreams(t *testing.T) {
	o := deployment.Options{
		Zones: []string{"za", "zb"}, Routers: 2, Members: map[string]float64{"desk": 1}, Idempotent: true,
	}
	var engines []*modelengine.Engine
	for i := range 5 {
		e := modelengine.New(modelengine.Options{
			Clock: kernel.BootClock{}, Seed: uint64(i + 1), Models: []string{deployment.Model}, CrashMarker: crashMarker,
		})
		defer e.Close()
		engines = append(engines, e)
		o.Upstreams = append(o.Upstreams, deployment.Upstream{
			Name: fmt.Sprintf("engine-%d", i), Zone: o.Zones[i%2], Handler: e, MaxRequests: 8, ColdRequests: 4,
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	pool, err := deployment.Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = pool.Stop(context.Background()) }()
	for i := range 6 {
		if status := completionStatus(t, pool, i, crashMarker); status == http.StatusOK {
			t.Fatalf("poison request %d succeeded", i)
		}
		if status := completionStatus(t, pool, i, "a harmless request"); status != http.StatusOK {
			t.Errorf("harmless request after poison request %d: status %d", i, status)
		}
	}
	crashed := 0
	for _, e := range engines {
		if e.Totals().Crashes > 0 {
			crashed++
		}
	}
	if crashed == 0 || crashed > 2 {
		t.Errorf("%d upstreams crashed, want 1 or 2", crashed)
	}
}

func completionStatus(t *testing.T, pool *deployment.Deployment, router int, prompt string) int {
	t.Helper()
	url := pool.Routers[router%len(pool.Routers)].URL + "/v1/completions"
	body := fmt.Sprintf(`{"model":%q,"max_tokens":4,"prompt":%q}`, deployment.Model, prompt)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Token("desk"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: %d %s", prompt, resp.StatusCode, strings.TrimSpace(string(responseBody)))
	return resp.StatusCode
}
