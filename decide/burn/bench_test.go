package burn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/burn"
)

// BenchmarkRecord counts one failed stream for 50 objectives.
func BenchmarkRecord(b *testing.B) {
	s := fifty()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		s.Record(now, api.RequestEnd{Member: "desk", Model: "notes", Streamed: true, Gaps: gaps(ms), Failure: api.Fail(api.CodeOverloaded, api.Ran, "")})
	}
}

// BenchmarkPublish copies the counts of 50 objectives after three days.
func BenchmarkPublish(b *testing.B) {
	s := fifty()
	for now := time.Duration(0); now < 72*time.Hour; now += 30 * time.Second {
		s.Record(now, api.RequestEnd{Member: "desk", Model: "notes", Failure: api.Fail(api.CodeOverloaded, api.Ran, "")})
	}
	for b.Loop() {
		s.Publish(72 * time.Hour)
	}
}

func fifty() *burn.State {
	s := burn.New(0)
	all := make(map[string]api.Objective)
	for i := range 50 {
		all[fmt.Sprint(i)] = api.Objective{Kind: api.ObjectiveAvailability, Target: 0.99}
	}
	s.Configure(0, all)
	return s
}
