package bench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberryfork/mulberryfork/deployment"
)

func init() {
	register(Experiment{
		Name:     "relay",
		Question: "How much CPU time does a token cost in agent and router at 300 concurrent streams, compared with the same streams sent directly from the stand-in?",
		Run:      runRelay,
	})
}

const (
	relayStreams       = 300
	relayTokenInterval = 20 * time.Millisecond
	relayTokens        = 250
	// routersAtFullSize and tokensAtFullSize (per second) are the number of routers and
	// the token rate expected in two years.
	routersAtFullSize = 410
	tokensAtFullSize  = 2_200_000
)

// pacedEngine streams one token to all streams at each tick, as an engine with
// continuous batching does after each step.
type pacedEngine struct {
	mu       sync.Mutex
	nextStep chan struct{}
}

func newPacedEngine(ctx context.Context) *pacedEngine {
	e := &pacedEngine{nextStep: make(chan struct{})}
	go func() {
		ticker := time.NewTicker(relayTokenInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				e.mu.Lock()
				close(e.nextStep)
				e.nextStep = make(chan struct{})
				e.mu.Unlock()
			case <-ctx.Done():
				return
			}
		}
	}()
	return e
}

func (e *pacedEngine) currentStep() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.nextStep
}

const tokenEvent = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\" token\"},\"finish_reason\":null}]}\n\n"

func (e *pacedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for range relayTokens {
		select {
		case <-e.currentStep():
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, tokenEvent)
		_ = flush.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func runRelay(ctx context.Context, p Params) (Result, error) {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	options := pathOptions()
	options.Upstreams[0].Handler = newPacedEngine(running)
	pool, err := deployment.Start(ctx, options)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = pool.Stop(context.WithoutCancel(ctx)) }()
	fmt.Fprintf(p.Progress, "relay: %d streams of %d tokens, direct and routed\n", relayStreams, relayTokens)
	direct, err := runRelayStreams(ctx, pool.Agents[0].EngineURL)
	if err != nil {
		return Result{}, err
	}
	routed, err := runRelayStreams(ctx, pool.Routers[0].URL)
	if err != nil {
		return Result{}, err
	}
	added := routed.cpuPerToken - direct.cpuPerToken
	perRouter := float64(tokensAtFullSize) / routersAtFullSize
	return Result{Figures: []Figure{
		Plain("direct_cpu_us_per_token", direct.cpuPerToken*1e6, "us"),
		Plain("routed_cpu_us_per_token", routed.cpuPerToken*1e6, "us"),
		Plain("added_cpu_us_per_token", added*1e6, "us"),
		Plain("tokens_per_core_s", 1/max(added, 1e-9), "tokens/s"),
		Plain("cores_per_router_at_full_size", perRouter*added, "cores"),
		Plain("direct_gap_p95_ms", direct.gaps.percentileMS(95), "ms"),
		Bounded("routed_gap_p95_ms", routed.gaps.percentileMS(95), "ms", AtMost, 49),
		Plain("routed_first_p95_ms", routed.firstToken.percentileMS(95), "ms"),
	}}, nil
}

type relayResult struct {
	cpuPerToken      float64
	gaps, firstToken *latencies
}

// runRelayStreams runs all streams concurrently and divides the CPU time of the
// whole process by their tokens.
func runRelayStreams(ctx context.Context, url string) (relayResult, error) {
	c := newHTTPCaller(url)
	defer c.client.CloseIdleConnections()
	r := relayResult{gaps: newLatencies(), firstToken: newLatencies()}
	var tokens atomic.Int64
	var failed failures
	var running sync.WaitGroup
	before := cpuSecondsUsed()
	for range relayStreams {
		running.Go(func() {
			n, err := c.stream(ctx, r)
			tokens.Add(n)
			failed.record(err)
		})
	}
	running.Wait()
	if err := failed.err(); err != nil {
		return r, err
	}
	r.cpuPerToken = (cpuSecondsUsed() - before) / float64(tokens.Load())
	return r, nil
}

// stream sends a request and reads its streamed response. It records the time to
// the first token and the times between tokens, and returns the number of tokens.
func (c httpCaller) stream(ctx context.Context, r relayResult) (int64, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"relay"}`, deployment.Model, relayTokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, strings.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Token("desk"))
	last := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	var tokens int64
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens, nil
		}
		tokens++
		now := time.Now()
		if tokens == 1 {
			r.firstToken.record(now.Sub(last))
		} else {
			r.gaps.record(now.Sub(last))
		}
		last = now
	}
	return tokens, &StatusError{Status: resp.StatusCode}
}

// cpuSecondsUsed returns the CPU time of this process in seconds.
func cpuSecondsUsed() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
