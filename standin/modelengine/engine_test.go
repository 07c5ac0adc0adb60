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

// result is the answer of one call; a dropped connection has status 0.
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

func in(t *testing.T, o modelengine.Options, f func(t *testing.T, e *modelengine.Engine)) {
	synctest.Test(t, func(t *testing.T) {
		o.Clock = kernel.NewRuntimeClock()
		o.Models = []string{"m"}
		e := modelengine.New(o)
		defer e.Close()
		f(t, e)
	})
}

// Guards against answers that a test cannot check, over a real connection.
func TestAnswersFollowFromTheRequest(t *testing.T) {
	e := modelengine.New(modelengine.Options{Clock: kernel.BootClock{}, Models: []string{"m"}})
	defer e.Close()
	server := httptest.NewServer(e)
	defer server.Close()
	chat := `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
	answer, err := http.Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(chat))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var whole struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.NewDecoder(answer.Body).Decode(&whole); err != nil {
		t.Fatal(err)
	}
	want := strings.Join(modelengine.Answer("m", modelengine.ChatPrompt("user", "hello"), 5), "")
	if got := whole.Choices[0].Message.Content; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if r := call(t, e, "POST", "/v1/completions", `{"model":"x","prompt":"a"}`); r.status != http.StatusNotFound {
		t.Errorf("unknown model: %+v", r)
	}
}

// Guards against a resumed stream that repeats or skips tokens.
func TestStreamResumes(t *testing.T) {
	in(t, modelengine.Options{}, func(t *testing.T, e *modelengine.Engine) {
		want := modelengine.Answer("m", "p", 6)
		for from := range 8 {
			r := call(t, e, "POST", "/v1/completions", body("p", 6), modelengine.HeaderResumeFrom, fmt.Sprint(from))
			got, done := texts(t, r.body)
			if !done || strings.Join(got, "") != strings.Join(want[min(from, 6):], "") {
				t.Errorf("from %d: %q, done %v", from, got, done)
			}
		}
	})
}

// Guards against a cold engine that bears any load, and one that stays cold.
func TestColdEngineFallsOverUnderLoad(t *testing.T) {
	o := modelengine.Options{StepBase: step, ColdRequests: 2, ColdCompletions: 3}
	in(t, o, func(t *testing.T, e *modelengine.Engine) {
		first := e.Incarnation()
		burst := func(n int) (whole int) {
			results := make(chan result, n)
			for i := range n {
				go func() { results <- call(t, e, "POST", "/v1/completions", body(fmt.Sprint(i), 4)) }()
			}
			for range n {
				if _, done := texts(t, (<-results).body); done {
					whole++
				}
			}
			return whole
		}
		if whole := burst(3); whole != 0 || e.Totals().Overloads != 1 || e.Incarnation() == first {
			t.Errorf("overload: %d whole, %+v", whole, e.Totals())
		}
		if whole := burst(2) + burst(1) + burst(10); whole != 13 || e.Totals().Overloads != 1 {
			t.Errorf("ramp: %d whole, %+v", whole, e.Totals())
		}
	})
}

// Guards against a client that left but still occupies the batch.
func TestDisconnectCancels(t *testing.T) {
	in(t, modelengine.Options{StepBase: step, MaxBatch: 1}, func(t *testing.T, e *modelengine.Engine) {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan any)
		go func() {
			defer func() { ended <- recover() }()
			q := httptest.NewRequestWithContext(ctx, "POST", "/v1/completions", strings.NewReader(body("long", 1000)))
			e.ServeHTTP(httptest.NewRecorder(), q)
		}()
		synctest.Wait()
		cancel()
		if reason := <-ended; reason != http.ErrAbortHandler {
			t.Errorf("ended with %v", reason)
		}
		start := time.Now()
		call(t, e, "POST", "/v1/completions", body("short", 2))
		if waited := time.Since(start); waited > 4*step {
			t.Errorf("the next request took %v", waited)
		}
	})
}

// Guards against a queue that ignores priorities.
func TestPriorityGoesFirst(t *testing.T) {
	in(t, modelengine.Options{StepBase: step, MaxBatch: 1}, func(t *testing.T, e *modelengine.Engine) {
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

// Guards against a poisonous request that leaves state behind or is counted
// twice, and against a record that a crash erases.
func TestMarkerCrashesTheEngine(t *testing.T) {
	o := modelengine.Options{StepBase: step, CrashMarker: "POISON", RestartTime: time.Second}
	in(t, o, func(t *testing.T, e *modelengine.Engine) {
		harmless := make(chan result, 1)
		go func() {
			harmless <- call(t, e, "POST", "/v1/completions", body("a", 50), modelengine.HeaderKey, "k")
		}()
		synctest.Wait()
		first := e.Incarnation()
		r := call(t, e, "POST", "/v1/completions", body("POISON", 1), modelengine.HeaderRequestID, "r")
		if _, done := texts(t, (<-harmless).body); done || r.status != 0 || e.Incarnation() == first {
			t.Errorf("harmless done %v, poison %+v", done, r)
		}
		if e.Executions("k") != 1 || e.ExecutionsOf("r") != 1 || e.Totals().Crashes != 1 {
			t.Errorf("record %d %d, %+v", e.Executions("k"), e.ExecutionsOf("r"), e.Totals())
		}
		if r := call(t, e, "GET", "/v1/models", ""); r.status != 0 {
			t.Errorf("answers while it is down: %+v", r)
		}
		time.Sleep(time.Second)
		if r := call(t, e, "GET", "/v1/models", ""); r.status != http.StatusOK {
			t.Errorf("does not restart: %+v", r)
		}
	})
}

// Guards against a cache feed that is early, hides its gaps, or names blocks by
// other hashes than routers, and against a cache that grows without bound.
func TestCacheEventsComeLateWithGaps(t *testing.T) {
	o := modelengine.Options{Seed: 1, CacheBlocks: 4, CacheEventLag: time.Second, CacheEventLoss: 0.3}
	in(t, o, func(t *testing.T, e *modelengine.Engine) {
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
		// 10 blocks are added and 6 dropped; a part of these events is lost.
		late := feed("wait_ms=900")
		if n := len(late.Events); n == 0 || n >= 16 {
			t.Errorf("%d events", n)
		}
		blocks, _ := json.Marshal(modelengine.Blocks{Blocks: prompt.PrefixHashes("m", []byte(`"`+text+`"`))})
		var held modelengine.Blocks
		r := call(t, e, "POST", "/internal/kv/export", string(blocks))
		if err := json.Unmarshal([]byte(r.body), &held); err != nil || len(held.Blocks) != 4 {
			t.Errorf("held %v, %v", held, err)
		}
	})
}

// Guards against stale orders that an engine with a check carries out.
func TestFencingTokens(t *testing.T) {
	order := func(counter int, role string) string {
		return fmt.Sprintf(`{"token":{"revision":1,"incarnation":1,"counter":%d},"kind":"role","name":%q}`, counter, role)
	}
	for _, checks := range []bool{true, false} {
		in(t, modelengine.Options{ChecksFencing: checks}, func(t *testing.T, e *modelengine.Engine) {
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

// Guards against step times that ignore the hottest rank, and against a load
// report without its lag.
func TestStepTimeFollowsTheHottestRank(t *testing.T) {
	o := modelengine.Options{Ranks: 4, Experts: 8, TopK: 8, StepPerAssignment: step, LoadLag: time.Second}
	in(t, o, func(t *testing.T, e *modelengine.Engine) {
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
			t.Errorf("late report %+v", l)
		}
	})
}
