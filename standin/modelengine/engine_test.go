package modelengine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/prompt"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/modelengine"
)

const step = 10 * time.Millisecond

// result is the response to one call. The status is 0 if the connection was
// dropped.
type result struct {
	status int
	body   string
}

func call(t *testing.T, e *modelengine.Engine, method, path, body string, headers ...string) (r result) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() == http.ErrAbortHandler {
			r = result{body: w.Body.String()}
		}
	}()
	q := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}
	e.ServeHTTP(w, q)
	return result{status: w.Code, body: w.Body.String()}
}

func body(text string, tokens int) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, text, tokens)
}

func texts(t *testing.T, stream string) (tokens []string, done bool) {
	t.Helper()
	lines := bufio.NewScanner(strings.NewReader(stream))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens, true
		}
		var chunk struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		tokens = append(tokens, chunk.Choices[0].Text)
	}
	return tokens, false
}

func withEngine(t *testing.T, o modelengine.Options, f func(t *testing.T, e *modelengine.Engine)) {
	synctest.Test(t, func(t *testing.T) {
		o.Clock = kernel.NewRuntimeClock()
		o.Models = []string{"m"}
		e := modelengine.New(o)
		defer e.Close()
		f(t, e)
	})
}

// Guards against completions that a test can't predict, over a real connection.
func TestCompletionIsDeterministic(t *testing.T) {
	e := modelengine.New(modelengine.Options{Clock: kernel.BootClock{}, Models: []string{"m"}})
	defer e.Close()
	server := httptest.NewServer(e)
	defer server.Close()
	chat := `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
	response, err := http.Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(chat))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var completion struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.NewDecoder(response.Body).Decode(&completion); err != nil {
		t.Fatal(err)
	}
	want := strings.Join(modelengine.GenerateTokens("m", modelengine.ChatPrompt("user", "hello"), 5), "")
	if got := completion.Choices[0].Message.Content; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if r := call(t, e, "POST", "/v1/completions", `{"model":"x","prompt":"a"}`); r.status != http.StatusNotFound {
		t.Errorf("unknown model: %+v", r)
	}
}

// Guards against a resumed stream that repeats or skips tokens.
func TestStreamResumes(t *testing.T) {
	withEngine(t, modelengine.Options{}, func(t *testing.T, e *modelengine.Engine) {
		want := modelengine.GenerateTokens("m", "p", 6)
		for from := range 8 {
			r := call(t, e, "POST", "/v1/completions", body("p", 6), modelengine.HeaderResumeFrom, fmt.Sprint(from))
			got, done := texts(t, r.body)
			if !done || strings.Join(got, "") != strings.Join(want[min(from, 6):], "") {
				t.Errorf("from %d: %q, done %v", from, got, done)
			}
		}
	})
}

// Guards against a cold engine that sustains any load, and against one that never
// becomes warm.
func TestColdEngineCrashesUnderOverload(t *testing.T) {
	o := modelengine.Options{StepBaseTime: step, ColdConcurrency: 2, WarmupCompletions: 3}
	withEngine(t, o, func(t *testing.T, e *modelengine.Engine) {
		first := e.Incarnation()
		burst := func(n int) (complete int) {
			results := make(chan result, n)
			for i := range n {
				go func() { results <- call(t, e, "POST", "/v1/completions", body(fmt.Sprint(i), 4)) }()
			}
			for range n {
				if _, done := texts(t, (<-results).body); done {
					complete++
				}
			}
			return complete
		}
		if complete := burst(3); complete != 0 || e.Totals().OverloadCrashes != 1 || e.Incarnation() == first {
			t.Errorf("overload: %d complete, %+v", complete, e.Totals())
		}
		if complete := burst(2) + burst(1) + burst(10); complete != 13 || e.Totals().OverloadCrashes != 1 {
			t.Errorf("ramp: %d complete, %+v", complete, e.Totals())
		}
	})
}

// Guards against a request that occupies the batch after its client has
// disconnected.
func TestDisconnectCancels(t *testing.T) {
	withEngine(t, modelengine.Options{StepBaseTime: step, MaxBatch: 1}, func(t *testing.T, e *modelengine.Engine) {
		ctx, cancel := context.WithCancel(t.Context())
		panicked := make(chan any)
		go func() {
			defer func() { panicked <- recover() }()
			q := httptest.NewRequestWithContext(ctx, "POST", "/v1/completions", strings.NewReader(body("long", 1000)))
			e.ServeHTTP(httptest.NewRecorder(), q)
		}()
		synctest.Wait()
		cancel()
		if reason := <-panicked; reason != http.ErrAbortHandler {
			t.Errorf("handler panicked with %v", reason)
		}
		start := time.Now()
		call(t, e, "POST", "/v1/completions", body("short", 2))
		if waited := time.Since(start); waited > 4*step {
			t.Errorf("the next request took %v", waited)
		}
	})
}

// Guards against a queue that ignores priorities.
func TestHigherPriorityRunsFirst(t *testing.T) {
	withEngine(t, modelengine.Options{StepBaseTime: step, MaxBatch: 1}, func(t *testing.T, e *modelengine.Engine) {
		order := make(chan string, 3)
		start := func(name, priority string, tokens int) {
			go func() {
				call(t, e, "POST", "/v1/completions", body(name, tokens), modelengine.HeaderPriority, priority)
				order <- name
			}()
			synctest.Wait()
		}
		start("running", "0", 5)
		start("low", "-1", 1)
		start("high", "7", 1)
		if got := <-order + " " + <-order + " " + <-order; got != "running high low" {
			t.Errorf("order %s", got)
		}
	})
}

// Guards against a poison request that leaves state behind or is counted twice,
// and against execution counts that a crash erases.
func TestMarkerCrashesTheEngine(t *testing.T) {
	o := modelengine.Options{StepBaseTime: step, CrashMarker: "POISON", RestartTime: time.Second}
	withEngine(t, o, func(t *testing.T, e *modelengine.Engine) {
		harmless := make(chan result, 1)
		go func() {
			harmless <- call(t, e, "POST", "/v1/completions", body("a", 50), modelengine.HeaderKey, "k")
		}()
		synctest.Wait()
		first := e.Incarnation()
		r := call(t, e, "POST", "/v1/completions", body("POISON", 1), modelengine.HeaderRequestID, "r")
		if _, done := texts(t, (<-harmless).body); done || r.status != 0 || e.Incarnation() == first {
			t.Errorf("harmless request complete %v, poison request %+v", done, r)
		}
		if e.ExecutionsByKey("k") != 1 || e.ExecutionsByRequestID("r") != 1 || e.Totals().Crashes != 1 {
			t.Errorf("executions %d and %d, %+v", e.ExecutionsByKey("k"), e.ExecutionsByRequestID("r"), e.Totals())
		}
		if r := call(t, e, "GET", "/v1/models", ""); r.status != 0 {
			t.Errorf("responds while it is down: %+v", r)
		}
		time.Sleep(time.Second)
		if r := call(t, e, "GET", "/v1/models", ""); r.status != http.StatusOK {
			t.Errorf("has not restarted: %+v", r)
		}
	})
}

// Guards against a cache feed without its lag or its losses, against block hashes
// that differ from those of routers, and against a cache that grows without limit.
func TestCacheEventsAreDelayedWithGaps(t *testing.T) {
	o := modelengine.Options{Seed: 1, CacheBlocks: 4, CacheEventLag: time.Second, CacheEventLoss: 0.3}
	withEngine(t, o, func(t *testing.T, e *modelengine.Engine) {
		text := strings.Repeat("x", 10*modelengine.BlockBytes)
		call(t, e, "POST", "/v1/completions", body(text, 1))
		feed := func(query string) (f modelengine.CacheFeed) {
			if err := json.Unmarshal([]byte(call(t, e, "GET", "/internal/cache-events?"+query, "").body), &f); err != nil {
				t.Fatal(err)
			}
			return f
		}
		if early := feed("wait_ms=900"); len(early.Events) != 0 {
			t.Errorf("early events %v", early.Events)
		}
		// 10 blocks are added and 6 evicted; some of these 16 events are lost.
		late := feed("wait_ms=900")
		if n := len(late.Events); n == 0 || n >= 16 {
			t.Errorf("%d events", n)
		}
		blocks, _ := json.Marshal(modelengine.Blocks{Blocks: prompt.PrefixHashes("m", []byte(`"`+text+`"`))})
		var cached modelengine.Blocks
		r := call(t, e, "POST", "/internal/kv/export", string(blocks))
		if err := json.Unmarshal([]byte(r.body), &cached); err != nil || len(cached.Blocks) != 4 {
			t.Errorf("cached blocks %v, %v", cached, err)
		}
	})
}

// Guards against an engine that checks fencing tokens but executes stale orders.
func TestFencingTokens(t *testing.T) {
	order := func(counter int, role string) string {
		return fmt.Sprintf(`{"token":{"revision":1,"incarnation":1,"counter":%d},"kind":"role","name":%q}`, counter, role)
	}
	for _, checks := range []bool{true, false} {
		withEngine(t, modelengine.Options{ChecksFencing: checks}, func(t *testing.T, e *modelengine.Engine) {
			status := []int{}
			for _, o := range []string{order(2, "decode"), order(2, "decode"), order(2, "prefill"), order(1, "prefill")} {
				status = append(status, call(t, e, "POST", "/internal/orders", o).status)
			}
			want := []int{200, 200, 200, 200}
			if checks {
				want = []int{200, 200, 409, 409}
			}
			if fmt.Sprint(status) != fmt.Sprint(want) {
				t.Errorf("checks %v: status %v", checks, status)
			}
			var state modelengine.OrderState
			_ = json.Unmarshal([]byte(call(t, e, "GET", "/internal/orders", "").body), &state)
			if (state.Token != nil) != checks || (state.Role == "decode") != checks {
				t.Errorf("checks %v: %+v", checks, state)
			}
		})
	}
}

// Guards against step times that ignore the most loaded rank, and against a load
// report without its lag.
func TestStepTimeFollowsMostLoadedRank(t *testing.T) {
	o := modelengine.Options{Ranks: 4, Experts: 8, TopK: 8, StepTimePerAssignment: step, LoadReportLag: time.Second}
	withEngine(t, o, func(t *testing.T, e *modelengine.Engine) {
		load := func() (l modelengine.Load) {
			_ = json.Unmarshal([]byte(call(t, e, "GET", "/internal/load", "").body), &l)
			return l
		}
		measure := func() time.Duration {
			start := time.Now()
			call(t, e, "POST", "/v1/completions", body("p", 1))
			return time.Since(start)
		}
		even := measure()
		if load().Completions != 0 {
			t.Error("the load report has no lag")
		}
		r := call(t, e, "POST", "/internal/orders", `{"kind":"expert_map","version":"2","map":[0,0,0,0,0,0,0,0]}`)
		measure()
		if skewed := measure(); r.status != 200 || skewed != 8*step || even >= skewed {
			t.Errorf("even %v, skewed %v, %+v", even, skewed, r)
		}
		time.Sleep(time.Second)
		if l := load(); l.Completions != 3 || l.Running != 0 {
			t.Errorf("report after the lag: %+v", l)
		}
	})
}
