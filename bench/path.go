package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberryfork/mulberryfork/deployment"
)

func init() {
	register(Experiment{
		Name:     "path",
		Question: "How much latency do router and agent add, and how many short requests per second do they carry, compared with the same load sent directly to the stand-in?",
		Run:      runPath,
	})
}

const (
	pathRate     = 1000
	pathDuration = 5 * time.Second
	pathWorkers  = 128
	pathRequests = 100_000
	pathWarmUp   = 5_000
	// idleConnectionWait is the wait for idle connections to close before goroutines
	// are counted. The agent keeps idle connections to its upstream for 5 s.
	idleConnectionWait = 7 * time.Second
)

// shortResponse is a short chat completion.
const shortResponse = `{"id":"c1","object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":"ok"},"finish_reason":"stop"}]}`

// echoEngine responds immediately, so that only the path is measured.
func echoEngine(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, shortResponse)
}

// httpCaller sends completion requests to one address.
type httpCaller struct {
	url    string
	client *http.Client
}

func newHTTPCaller(url string) httpCaller {
	transport := &http.Transport{MaxIdleConns: 4 * pathWorkers, MaxIdleConnsPerHost: 4 * pathWorkers}
	return httpCaller{url: url + "/v1/chat/completions", client: &http.Client{Transport: transport}}
}

// StatusError reports an unexpected or incomplete response.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

func (c httpCaller) send(ctx context.Context, i int) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":"short request %d"}]}`, deployment.Model, i)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, strings.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Token("desk"))
	resp, err := c.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	received, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK || len(received) != len(shortResponse) {
		return &StatusError{Status: resp.StatusCode, Body: strings.TrimSpace(string(received))}
	}
	return nil
}

func pathOptions() deployment.Options {
	return deployment.Options{
		Zones:      []string{"z1"},
		Routers:    1,
		Members:    map[string]float64{"desk": 1},
		Idempotent: true,
		Upstreams: []deployment.Upstream{{
			Name: "m1", Zone: "z1", Handler: http.HandlerFunc(echoEngine),
			MaxRequests: 1024, ColdRequests: 1024,
		}},
	}
}

func runPath(ctx context.Context, p Params) (Result, error) {
	pool, err := deployment.Start(ctx, pathOptions())
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = pool.Stop(context.WithoutCancel(ctx)) }()
	routed, direct := newHTTPCaller(pool.Routers[0].URL), newHTTPCaller(pool.Agents[0].EngineURL)
	for _, c := range []httpCaller{direct, routed} {
		if _, err := saturate(ctx, pathWorkers, pathWarmUp, c.send); err != nil {
			return Result{}, err
		}
	}
	fmt.Fprintf(p.Progress, "path: %d requests/s for %s, direct and routed\n", pathRate, pathDuration)
	baseline := openLoop{perSecond: pathRate, duration: pathDuration, send: direct.send}.run(ctx)
	measured := openLoop{perSecond: pathRate, duration: pathDuration, send: routed.send}.run(ctx)
	for _, r := range []loadResult{baseline, measured} {
		if r.err != nil {
			return Result{}, r.err
		}
	}
	return pathThroughput(ctx, p, routed, direct, baseline, measured)
}

func pathThroughput(ctx context.Context, p Params, routed, direct httpCaller, baseline, measured loadResult) (Result, error) {
	fmt.Fprintf(p.Progress, "path: %d requests over %d connections, direct and routed\n", pathRequests, pathWorkers)
	cpu := cpuSecondsUsed()
	directRate, err := saturate(ctx, pathWorkers, pathRequests, direct.send)
	if err != nil {
		return Result{}, err
	}
	directCPU := cpuSecondsUsed() - cpu
	before := measureResources(direct, routed)
	cpu = cpuSecondsUsed()
	rate, err := saturate(ctx, pathWorkers, pathRequests, routed.send)
	if err != nil {
		return Result{}, err
	}
	addedCPU := cpuSecondsUsed() - cpu - directCPU
	after := measureResources(direct, routed)
	return Result{Figures: []Figure{
		Bounded("added_p50_ms", measured.latency.percentileMS(50)-baseline.latency.percentileMS(50), "ms", AtMost, 0.3),
		Bounded("added_p99_ms", measured.latency.percentileMS(99)-baseline.latency.percentileMS(99), "ms", AtMost, 1.5),
		Bounded("requests_per_s", rate, "1/s", AtLeast, 10_000),
		Plain("direct_requests_per_s", directRate, "1/s"),
		Bounded("goroutines_grown", float64(after.goroutines-before.goroutines), "goroutines", AtMost, 0),
		Plain("added_cpu_us_per_request", addedCPU*1e6/pathRequests, "us"),
		Plain("heap_grown_mb", float64(after.heap-before.heap)/(1<<20), "MB"),
		Plain("direct_p50_ms", baseline.latency.percentileMS(50), "ms"),
		Plain("direct_p99_ms", baseline.latency.percentileMS(99), "ms"),
		Plain("direct_p999_ms", baseline.latency.percentileMS(99.9), "ms"),
		Plain("routed_p50_ms", measured.latency.percentileMS(50), "ms"),
		Plain("routed_p99_ms", measured.latency.percentileMS(99), "ms"),
		Plain("routed_p999_ms", measured.latency.percentileMS(99.9), "ms"),
	}}, nil
}

// FailedRequestsError reports failed requests in an experiment that requires all to
// succeed.
type FailedRequestsError struct {
	Count int64
	// First is the error of the first failed request.
	First error
}

func (e *FailedRequestsError) Error() string {
	return fmt.Sprintf("%d requests failed, the first with: %v", e.Count, e.First)
}

// Unwrap returns the error of the first failed request.
func (e *FailedRequestsError) Unwrap() error { return e.First }

type resources struct{ goroutines, heap int }

func measureResources(callers ...httpCaller) resources {
	for _, c := range callers {
		c.client.CloseIdleConnections()
	}
	time.Sleep(idleConnectionWait)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resources{goroutines: runtime.NumGoroutine(), heap: int(m.HeapAlloc)}
}
