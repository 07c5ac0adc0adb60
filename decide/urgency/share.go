package urgency

import (
	"math"
	"time"
)

// Room is what all upstreams of a service can take, as one process sees it.
type Room struct {
	// Places is the number of requests that find a place now. Sent is the number of this
	// process's requests since the reading, which Places does not contain.
	Places, Sent float64
	// Processes is the number of processes that share the upstreams.
	Processes int
	// ReadAt is the mean time of the readings in use.
	ReadAt time.Duration
	// EndRate is the number of requests of all processes that end in a second, 0 if unknown.
	EndRate float64
	// Opening is the number of places that open together soon: the groups are being formed.
	Opening float64
	// InTimeOnly is set while no request may be sent that can't be in time anymore.
	InTimeOnly bool
}

// ownEndRate returns the part of EndRate that this process may expect.
func (r Room) ownEndRate() float64 { return r.EndRate / float64(max(r.Processes, 1)) }

type sentRequest struct {
	at       time.Duration
	priority int32
}

// reserve returns the number of places that this process keeps for arrivals of higher
// priority until a report shows what is sent now, which takes as long as the last one took:
// those that find no place of a request that ends meanwhile.
func (s *State) reserve(now time.Duration, priority int32, room Room) float64 {
	return max(s.arrivalRate(now, priority+1)-room.ownEndRate(), 0) * (now - room.ReadAt).Seconds()
}

// share returns the part of the room that this process may still take for a priority. Higher
// ones take what arrives of them at all processes; the rest is shared equally.
func (s *State) share(now time.Duration, priority int32, room Room) float64 {
	share := (room.Places+room.Sent)/float64(max(room.Processes, 1)) + s.rounding
	share -= s.arrivalRate(now, priority+1) * (now - room.ReadAt).Seconds()
	for _, sent := range s.sent {
		if sent.at >= room.ReadAt && sent.priority <= priority {
			share--
		}
	}
	return share
}

// marginal returns the highest priority whose requests do not all fit. Places for floors are
// taken from it and those below.
func (s *State) marginal(now time.Duration, room Room) int32 {
	for _, l := range s.levels {
		if !s.Fits(now, l.priority, room) {
			return l.priority
		}
	}
	return s.levels[len(s.levels)-1].priority
}

// recordSent counts a request that was sent.
func (s *State) recordSent(now time.Duration, priority int32) {
	for len(s.sent) > 0 && now-s.sent[0].at > sentWindow {
		s.sent = s.sent[1:]
	}
	s.sent = append(s.sent, sentRequest{at: now, priority: priority})
}

// arrivalRate returns the arrivals in a second at this process with at least a priority.
func (s *State) arrivalRate(now time.Duration, priority int32) float64 {
	rate := 0.0
	for _, l := range s.levels {
		if l.priority < priority {
			break
		}
		rate += l.arrivals.rate(now, s.firstAt)
	}
	return rate
}

// Fits reports whether there is room for all requests of at least a priority that arrived
// at all processes since the reading, and for those of higher priority that arrive in the
// same time from now. Such a request needs no share: those of lower priority leave it the
// room.
func (s *State) Fits(now time.Duration, priority int32, room Room) bool {
	rate := s.arrivalRate(now, priority)
	// The rate is known by its square root of samples; the margin is one standard deviation.
	rate += math.Sqrt(rate * math.Ln2 / memory.Seconds())
	age := (now - room.ReadAt).Seconds()
	others := rate * age * float64(room.Processes-1)
	return room.Places >= onePlace+others+s.arrivalRate(now, priority+1)*age*float64(room.Processes)
}
