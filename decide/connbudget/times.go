package connbudget

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// SetTimeLimits sets the limits of a listener, also for connections that are open and while
// there is room. It reports whether they differ from the previous ones.
func (s *State) SetTimeLimits(name string, l api.TimeLimits) (changed bool) {
	before, known := s.times[name]
	s.times[name] = l
	return known && before != l
}

// Expired is a connection that has waited for longer than its listener allows.
type Expired struct {
	ID uint64
	// Since is the start of the wait, Head is set if the wait was for the rest of a head.
	Since time.Duration
	Head  bool
}

// Expired returns the connections that have waited for too long, in the order of their numbers.
func (s *State) Expired(now time.Duration) []Expired {
	var found []Expired
	for _, c := range s.conns {
		l, limited := s.times[c.listener]
		if !limited || c.ended || !c.reading.Waiting {
			continue
		}
		e := Expired{ID: c.id, Since: c.reading.Since, Head: c.reading.Phase == Receiving}
		limit := l.Idle
		if e.Head {
			limit = l.Head
		}
		if limit > 0 && now-e.Since >= limit {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b Expired) int { return cmp.Compare(a.ID, b.ID) })
	return found
}
