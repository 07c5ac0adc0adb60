package route

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Candidate is an upstream that serves the requested model or service.
type Candidate struct {
	Name string
	// Usable is true if it can take the request now.
	Usable bool
}

// Candidates returns the upstreams that serve a request, in order of name.
func (s *State) Candidates(now time.Duration, q api.RouteQuery) []Candidate {
	var all []Candidate
	for _, u := range s.ordered {
		v := s.checkEligibility(now, u, &q)
		if v == notServing || v == notAllowed {
			continue
		}
		all = append(all, Candidate{Name: u.name, Usable: v >= queueing})
	}
	return all
}
