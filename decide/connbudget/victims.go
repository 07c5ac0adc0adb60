package connbudget

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// batchDivisor is the part of the connections that are ended at most to make room for one: a
// choice among all connections for each new one would take the time of the control loop.
const batchDivisor = 16

// stall returns how long a connection has made no progress, and false for one that waits for
// the process. An idle connection that has been served makes none either, but is another's
// reserve and counts apart.
func (c *connection) stall(now time.Duration) (time.Duration, bool) {
	switch c.reading.Phase {
	case Serving:
		return 0, false
	case Idle:
		return now - c.activeAt, true
	}
	return now - c.progressAt, true
}

func (c *connection) idleAfterService() bool { return c.reading.Phase == Idle && c.reading.Served }

func (c *connection) held() (n int64) {
	for _, h := range c.holds {
		n += h.bytes
	}
	return n
}

func (c *connection) holdsFor(holder string) bool {
	return slices.ContainsFunc(c.holds, func(h hold) bool { return h.holder == holder && h.bytes > 0 })
}

// ForConnection returns the connections to end so that a listener has room for another one,
// in this order. Those that were served and are idle come last.
func (s *State) ForConnection(now time.Duration, name string) []uint64 {
	candidates := s.stalled(now, func(c *connection) bool {
		l := s.listeners[c.listener]
		return l != nil && (c.listener == name || l.count > l.guarantee)
	})
	slices.SortStableFunc(candidates, func(a, b *connection) int {
		return compareBool(a.idleAfterService(), b.idleAfterService())
	})
	return identities(candidates[:min(len(candidates), max(s.open/batchDivisor, 1))])
}

// ForBytes returns the connections to end, one after the other, so that a holder has room for
// more bytes. Those that hold bytes for the same holder come first.
func (s *State) ForBytes(now time.Duration, holder string) []uint64 {
	candidates := s.stalled(now, func(c *connection) bool { return c.held() > 0 && !c.idleAfterService() })
	slices.SortStableFunc(candidates, func(a, b *connection) int {
		return compareBool(!a.holdsFor(holder), !b.holdsFor(holder))
	})
	return identities(candidates)
}

// ForRequests returns the connections to end so that there is room for another request in
// flight.
func (s *State) ForRequests(now time.Duration) []uint64 {
	return identities(s.stalled(now, func(c *connection) bool { return c.reading.Phase == Sending }))
}

// Overdue returns the connections that have taken nothing of their response for the longest
// time that is allowed.
func (s *State) Overdue(now time.Duration) []uint64 {
	return identities(s.stalled(now, func(c *connection) bool {
		return c.reading.Phase == Sending && now-c.progressAt >= s.limits.WriteTimeout
	}))
}

// stalled returns the connections that meet a condition and have made no progress for the
// stall time, the least progress first. Among those that have stalled for about as long, those
// of the address with the most connections come first.
func (s *State) stalled(now time.Duration, wanted func(*connection) bool) []*connection {
	var found []*connection
	for _, c := range s.conns {
		if d, ok := c.stall(now); ok && d >= s.limits.StallTime && !c.ended && wanted(c) {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *connection) int {
		da, _ := a.stall(now)
		db, _ := b.stall(now)
		return cmp.Or(
			cmp.Compare(magnitude(db), magnitude(da)),
			cmp.Compare(s.sources[b.source], s.sources[a.source]),
			cmp.Compare(db, da),
			cmp.Compare(a.id, b.id),
		)
	})
	return found
}

// magnitude returns the power of two below a time in milliseconds.
func magnitude(d time.Duration) int { return bits.Len64(uint64(max(d.Milliseconds(), 0))) }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func identities(list []*connection) []uint64 {
	ids := make([]uint64, len(list))
	for i, c := range list {
		ids[i] = c.id
	}
	return ids
}
