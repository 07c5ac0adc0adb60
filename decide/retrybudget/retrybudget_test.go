package retrybudget

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"pgregory.net/rapid"
)

// TestRetriesStayWithinBudget guards against more retries than the ratio of the
// first attempts allows, for a member or in total, and against a member that spends
// the budget of another.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0.01, 0.5).Draw(t, "ratio")
		members := []string{"a", "b", "c"}
		s := New(ratio, members)
		attempts, spent := map[string]int{}, map[string]int{}
		name := rapid.SampledFrom([]string{"a", "b", "c", "stranger"})
		spend := func(t *rapid.T, take func(string) bool) {
			if m := name.Draw(t, "member"); take(m) {
				spent[m]++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"first send": func(t *rapid.T) {
				m := name.Draw(t, "member")
				s.RecordFirstAttempt(m)
				attempts[m]++
			},
			"retry": func(t *rapid.T) { spend(t, s.AllowRetry) },
			"hedge": func(t *rapid.T) {
				spend(t, func(m string) bool { return s.AllowHedge(m, true, time.Second, time.Millisecond) })
			},
			"unsafe hedge": func(t *rapid.T) {
				if s.AllowHedge("a", false, time.Hour, 0) || s.AllowHedge("a", true, time.Second, time.Hour) {
					t.Fatal("hedged a request that must not be hedged")
				}
			},
			"configure": func(*rapid.T) { s.Configure(ratio, members) },
			"": func(t *rapid.T) {
				total, allAttempts := 0, 0
				for m, n := range spent {
					total += n
					allAttempts += attempts[m]
					if float64(n) > memberBurst+ratio*float64(attempts[m])+1e-6 {
						t.Fatalf("%s: %d retries of %d first attempts", m, n, attempts[m])
					}
				}
				for m, n := range attempts {
					if _, ok := spent[m]; !ok {
						allAttempts += n
					}
				}
				if spent["stranger"] > 0 || float64(total) > processBurst+ratio*float64(allAttempts)+1e-6 {
					t.Fatalf("%d retries of %d first attempts, %d by an unknown member", total, allAttempts, spent["stranger"])
				}
			},
		})
	})
}

// TestZeroRatioDisablesRetries guards against a zero ratio that still allows a
// burst of retries or is replaced by the default, and against budgets that stay
// empty after the ratio is raised again.
func TestZeroRatioDisablesRetries(t *testing.T) {
	s := New(0, []string{"a"})
	for _, step := range []struct {
		ratio float64
		want  bool
	}{{0, false}, {DefaultRatio, true}, {0, false}, {-1, false}} {
		s.Configure(step.ratio, []string{"a"})
		for range 100 {
			s.RecordFirstAttempt("a")
		}
		if got := s.AllowRetry("a"); got != step.want {
			t.Errorf("ratio %g: retry %v", step.ratio, got)
		}
	}
	configuredLater := New(0, nil)
	configuredLater.Configure(DefaultRatio, []string{"a"})
	if !configuredLater.AllowRetry("a") {
		t.Error("no burst after the first configuration")
	}
}

// TestRetryable guards against a second run of a non-idempotent request.
func TestRetryable(t *testing.T) {
	cases := []struct {
		code       api.Code
		run        api.RunState
		idempotent bool
		want       bool
	}{
		{api.CodeOverloaded, api.NotRun, false, true},
		{api.CodeLinkLost, api.RunUnknown, false, false},
		{api.CodeUpstreamFailed, api.Ran, false, false},
		{api.CodeUpstreamFailed, api.Ran, true, true},
		{api.CodeBadRequest, api.NotRun, true, false},
		{api.CodeSuspect, api.NotRun, true, false},
		{api.CodeDeadlineExceeded, api.NotRun, true, false},
	}
	for _, c := range cases {
		if got := Retryable(api.NewFailure(c.code, c.run, ""), c.idempotent); got != c.want {
			t.Errorf("%s, %s, idempotent %v: %v", c.code, c.run, c.idempotent, got)
		}
	}
}

// TestBackoff guards against a backoff that ignores the retry-after time, is out
// of range, or overflows at a high attempt number.
func TestBackoff(t *testing.T) {
	cases := []struct {
		attempt int
		after   time.Duration
		random  float64
		want    time.Duration
	}{
		{1, 0, 0.5, 25 * time.Millisecond},
		{3, 0, 0.5, 100 * time.Millisecond},
		{1000, 0, 0.5, backoffMax / 2},
		{-1, time.Second, 0, time.Second},
	}
	for _, c := range cases {
		if got := Backoff(c.attempt, c.after, c.random); got != c.want {
			t.Errorf("attempt %d: %v, want %v", c.attempt, got, c.want)
		}
	}
}
