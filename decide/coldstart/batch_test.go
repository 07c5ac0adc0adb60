package coldstart_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/batchlimit"
	"github.com/mulberryfork/mulberryfork/decide/coldstart"
)

// Guards against an agent whose batches make passes longer than callers accept, and against
// one that leaves much of the batch unused. An agent is not told the profile of its engine:
// the limit that it learns from the measured passes must come close to that which edges
// derive from the profile, also once all passes take half as long again.
func TestLimitMatchesThatOfEngineProfile(t *testing.T) {
	const (
		slots     = 32
		pause     = 120 * time.Millisecond
		slow      = 1.5
		cold      = 4
		passCount = 400
	)
	profile := batchlimit.Model{StepTime: 4840 * time.Microsecond, RequestTime: 435 * time.Microsecond, StepsPerPass: 7}
	s := coldstart.New(coldstart.Params{ColdRequests: cold, MaxRequests: slots, StepBound: pause})
	for _, factor := range []float64{1, slow} {
		passTime := func(n int) time.Duration {
			return time.Duration(factor * float64(profile.StepsPerPass) * float64(profile.StepTime+time.Duration(n)*profile.RequestTime))
		}
		longest := time.Duration(0)
		for pass := range passCount {
			n := s.Limit()
			tickets := make([]coldstart.Ticket, n)
			for i := range tickets {
				tickets[i] = s.Start(1)
			}
			s.ObserveStepTime(n, passTime(n))
			for _, ticket := range tickets {
				s.End(ticket, true)
			}
			if pass > passCount/2 {
				longest = max(longest, passTime(n))
			}
		}
		want := profile.Limit(slots, batchlimit.Group{PassTime: passTime(slots), Fullest: slots}, pause)
		if got := s.Limit(); got < want*3/4 || longest > pause {
			t.Errorf("passes %.1f times as long: limit %d with passes of up to %v, the profile allows %d", factor, got, longest, want)
		} else {
			t.Logf("passes %.1f times as long: limit %d, longest pass %v, the profile allows %d", factor, got, longest, want)
		}
	}
}
