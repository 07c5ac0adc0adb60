// Package fleetbudget bounds the repeats of one process so that their sum over
// all processes stays within a bound that they share without talking to each
// other: each repeats a part of its own requests, and has an even part of the
// number that is allowed beside them.
package fleetbudget

import "time"

// slots is the number of parts of a window. A repeat counts for up to one part
// longer than the window, and a request for up to one part less.
const slots = 10

// Options configures a state.
type Options struct {
	// Ratio is the part of requests that may be repeated in a window.
	Ratio float64
	// Extra is the number of repeats beside it, of all processes.
	Extra  int
	Window time.Duration
}

// State counts the requests and repeats of each service. It belongs to the
// control loop.
type State struct {
	options  Options
	sharers  int
	services map[string]*window
}

type window struct {
	slot     int64
	requests [slots + 1]int
	repeats  [slots + 1]int
}

// New returns a state without requests.
func New(o Options) *State { return &State{options: o, services: make(map[string]*window)} }

// SetSharers says how many processes share Extra. It is 0 while that is not
// known: nothing of it is taken then.
func (s *State) SetSharers(n int) { s.sharers = n }

// extra is the part of this process.
func (s *State) extra() float64 {
	if s.sharers == 0 {
		return 0
	}
	return float64(s.options.Extra) / float64(s.sharers)
}

// Request counts a request of a caller.
func (s *State) Request(now time.Duration, service string) {
	w := s.at(now, service)
	w.requests[w.index()]++
}

// Repeat takes one repeat from the budget of a service.
func (s *State) Repeat(now time.Duration, service string) bool {
	w := s.at(now, service)
	requests, repeats := -w.requests[w.oldest()], 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := s.options.Ratio*float64(requests) + s.extra()
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.index()]++
	return true
}

func (s *State) at(now time.Duration, service string) *window {
	w := s.services[service]
	slot := int64(now / (s.options.Window / slots))
	if w == nil {
		w = &window{slot: slot}
		s.services[service] = w
	}
	for ; w.slot < slot; w.slot++ {
		next := int((w.slot + 1) % int64(len(w.requests)))
		w.requests[next], w.repeats[next] = 0, 0
		if slot-w.slot > slots*2 {
			*w = window{slot: slot - 1}
		}
	}
	return w
}

func (w *window) index() int { return int(w.slot % int64(len(w.requests))) }

// oldest is the part of which only some lies within the window.
func (w *window) oldest() int { return int((w.slot + 1) % int64(len(w.requests))) }
