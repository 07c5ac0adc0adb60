package wire

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// FromSuspicions encodes crash reports.
func FromSuspicions(suspicions []api.Suspicion) []*Suspicion {
	var out []*Suspicion
	for _, s := range suspicions {
		m := &Suspicion{Fingerprint: s.Fingerprint}
		for _, c := range s.Crashes {
			m.Crashes = append(m.Crashes, &Crash{
				Id: c.ID, Upstream: c.Upstream, AgeNs: nanos(c.Age), Alone: c.Alone, Cleared: c.Cleared,
			})
		}
		out = append(out, m)
	}
	return out
}

// ToSuspicions decodes crash reports.
func ToSuspicions(suspicions []*Suspicion) []api.Suspicion {
	var out []api.Suspicion
	for _, m := range suspicions {
		s := api.Suspicion{Fingerprint: m.GetFingerprint()}
		for _, c := range m.GetCrashes() {
			s.Crashes = append(s.Crashes, api.Crash{
				ID:       c.GetId(),
				Upstream: c.GetUpstream(),
				Age:      time.Duration(c.GetAgeNs()),
				Alone:    c.GetAlone(),
				Cleared:  c.GetCleared(),
			})
		}
		out = append(out, s)
	}
	return out
}
