package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"pgregory.net/rapid"
)

func pool(n int) map[string]string {
	p := make(map[string]string)
	for i := range n {
		p[fmt.Sprintf("u%d", i)] = "model"
	}
	return p
}

// observeRounds observes one result of each upstream per round.
func observeRounds(s *State, from time.Duration, rounds, n int, results func(i int) Result) {
	for r := range rounds {
		now := from + time.Duration(r)*100*time.Millisecond
		for i := range n {
			res := results(i)
			res.Upstream = fmt.Sprintf("u%d", i)
			s.Observe(now, res)
		}
	}
}

func failing(code api.Code) Result { return Result{Failure: api.NewFailure(code, api.RunUnknown, "")} }

// TestEjection guards against a failing upstream that is not ejected, a healthy
// one that is ejected, and a pool in which all upstreams are ejected.
func TestEjection(t *testing.T) {
	ok := Result{FirstChunk: 100 * time.Millisecond}
	cases := []struct {
		name    string
		size    int
		results func(i int) Result
		ejected int
	}{
		{"all healthy", 6, func(int) Result { return ok }, 0},
		{"one fails", 6, func(i int) Result { return pick(i < 1, failing(api.CodeUpstreamFailed), ok) }, 1},
		{"two of three fail: pool fails as a whole", 3, func(i int) Result { return pick(i < 2, failing(api.CodeUpstreamFailed), ok) }, 0},
		{"three of twelve fail", 12, func(i int) Result { return pick(i < 3, failing(api.CodeLinkLost), ok) }, 3},
		{"more than the allowed fraction", 12, func(i int) Result { return pick(i < 6, failing(api.CodeLinkLost), ok) }, 4},
		{"all fail: pool fails as a whole", 6, func(int) Result { return failing(api.CodeUpstreamFailed) }, 0},
		{"all overloaded", 6, func(int) Result { return failing(api.CodeOverloaded) }, 0},
		{"one overloaded", 6, func(i int) Result { return pick(i < 1, failing(api.CodeOverloaded), ok) }, 0},
		{"one slow", 6, func(i int) Result { return pick(i < 1, Result{FirstChunk: time.Second}, ok) }, 1},
		{"one slow of two", 2, func(i int) Result { return pick(i < 1, Result{FirstChunk: time.Second}, ok) }, 1},
		{"all slow", 6, func(int) Result { return Result{FirstChunk: 10 * time.Second} }, 0},
		{"alone", 1, func(int) Result { return failing(api.CodeUpstreamFailed) }, 0},
	}
	for _, c := range cases {
		s := New()
		s.Configure(pool(c.size))
		observeRounds(s, 0, 30, c.size, c.results)
		if got := s.unhealthyCount("model"); got != c.ejected {
			t.Errorf("%s: %d ejected, want %d", c.name, got, c.ejected)
		}
	}
}

func pick(first bool, a, b Result) Result {
	if first {
		return a
	}
	return b
}

// TestProbes guards against an ejected upstream that is never readmitted after it
// recovers, and one that is readmitted while it still fails.
func TestProbes(t *testing.T) {
	s := New()
	s.Configure(pool(6))
	observeRounds(s, 0, 10, 6, func(i int) Result { return pick(i < 1, failing(api.CodeUpstreamFailed), Result{}) })
	steps := []struct {
		at     time.Duration
		result *Result
		want   Status
	}{
		{5 * time.Second, nil, Ejected},
		{12 * time.Second, nil, Probing},
		{13 * time.Second, &Result{Upstream: "u0", Failure: api.NewFailure(api.CodeUpstreamFailed, api.Ran, "")}, Ejected},
		{24 * time.Second, nil, Ejected},
		{34 * time.Second, nil, Probing},
		{35 * time.Second, &Result{Upstream: "u0"}, Probing},
		{36 * time.Second, &Result{Upstream: "u0"}, Probing},
		{37 * time.Second, &Result{Upstream: "u0"}, Healthy},
	}
	for _, step := range steps {
		s.Tick(step.at)
		if step.result != nil {
			s.Observe(step.at, *step.result)
		}
		if got := s.Status("u0"); got != step.want {
			t.Errorf("at %v: status %d, want %d", step.at, got, step.want)
		}
	}
}

// TestPoolIsNeverEmptied guards against more ejections than MaxEjectedFraction allows,
// and against status changes that are not returned to the caller, whatever the
// results, pauses and changes of the pool.
func TestPoolIsNeverEmptied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		size := 6
		var now time.Duration
		reported := map[string]Status{}
		apply := func(changes []StatusChange) {
			for _, a := range changes {
				reported[a.Upstream] = a.Status
			}
		}
		apply(s.Configure(pool(size)))
		codes := []api.Code{api.CodeUpstreamFailed, api.CodeLinkLost, api.CodeOverloaded, api.CodeDeadlineExceeded}
		t.Repeat(map[string]func(*rapid.T){
			"burst": func(t *rapid.T) {
				r := Result{Upstream: fmt.Sprintf("u%d", rapid.IntRange(0, 9).Draw(t, "upstream"))}
				if rapid.Bool().Draw(t, "fails") {
					r.Failure = api.NewFailure(rapid.SampledFrom(codes).Draw(t, "code"), api.RunUnknown, "")
				}
				r.FirstChunk = time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
				for range 8 {
					apply(s.Observe(now, r))
				}
			},
			"pause": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 120).Draw(t, "s")) * time.Second
				apply(s.Tick(now))
			},
			"resize": func(t *rapid.T) {
				size = rapid.IntRange(1, 9).Draw(t, "size")
				apply(s.Configure(pool(size)))
				for name := range reported {
					if _, ok := s.upstreams[name]; !ok {
						delete(reported, name)
					}
				}
			},
			"": func(t *rapid.T) {
				if out := s.unhealthyCount("model"); out > maxUnhealthy(size) || out >= size {
					t.Fatalf("%d of %d ejected", out, size)
				}
				for name, u := range s.upstreams {
					if reported[name] != u.status {
						t.Fatalf("%s: last reported status %d, actual %d", name, reported[name], u.status)
					}
				}
			},
		})
	})
}
