package discovery

import "time"

const (
	// DefaultHeartbeat is the heartbeat interval of upstreams, and DefaultDrainTimeout the
	// time within which a removed upstream must get no more requests, where the settings
	// state none.
	DefaultHeartbeat    = 1200 * time.Millisecond
	DefaultDrainTimeout = 2 * time.Second
	// leaseHeartbeats is the number of heartbeat intervals after which the lease of a silent
	// upstream expires.
	leaseHeartbeats = 3
	// heartbeatJitter is the part of an interval by which a heartbeat may be late.
	heartbeatJitter = 0.05
	// propagation is the time for a change to be read.
	propagation = 200 * time.Millisecond
	// ReregistrationGrace is the grace period after an outage of the store. An
	// upstream whose lease expired must register again within this period. It consists
	// of the 2 s that the platform specifies and a margin for the propagation of the
	// change.
	ReregistrationGrace = 2*time.Second + propagation
)

// contact is what is known of the store's absences.
type contact struct {
	// answeredAt is when the last answer came, 0 before the first.
	answeredAt time.Duration
	// failing is set from a failed read until the next answer, and unsettledUntil is the end
	// of the settle time after it.
	failing        bool
	unsettledUntil time.Duration
	// reconnectedAt is when the last outage of the store ended. inGrace is set
	// during the grace period after it, in which missing upstreams are kept.
	reconnectedAt time.Duration
	inGrace       bool
	// outageEnded is set while the first update after an outage is applied.
	outageEnded bool
	// reconnected is set while the first update after a failure or an outage is applied.
	reconnected bool
	// returned is set while the first update after an absence of the store is applied. Unlike
	// an outage, the time between two polls is none.
	returned bool
}

// failed records that a read failed.
func (c *contact) failed(now time.Duration, b Bounds) {
	c.failing, c.unsettledUntil = true, now+b.SettleTime()
}

// answered records a successful read whose first answer came at a time. away is set if it
// shows by itself that the store was away.
//
// The store worked when it gave an answer, so an absence lies between two answers. It is an
// outage if it was long enough for a lease to expire.
func (c *contact) answered(now, first time.Duration, away bool, b Bounds) {
	silence := first - c.answeredAt
	c.reconnected, c.outageEnded = c.failing, false
	c.returned = c.failing || away || c.answeredAt > 0 && silence > b.OutageThreshold()+b.PollInterval
	switch {
	case away || c.answeredAt > 0 && silence > b.OutageThreshold():
		c.reconnectedAt, c.inGrace, c.reconnected, c.outageEnded = first, true, true, true
	case c.inGrace && now-c.reconnectedAt > ReregistrationGrace:
		c.inGrace = false
	}
	c.failing, c.answeredAt = false, now
}

// deferral returns the time until which the removal of an upstream is deferred, now if it is
// not. A removal that the first answer after a failure tells is as old as the failure, so it
// is deferred after an outage only; no lease can have expired in less time.
func (c *contact) deferral(now time.Duration, b Bounds) time.Duration {
	end := c.reconnectedAt + ReregistrationGrace
	switch {
	case c.outageEnded:
		// What was written while a long list was read follows with the next read.
		return max(end, now+propagation)
	case c.inGrace:
		return min(end, now+b.removalGrace())
	case now < c.unsettledUntil && !c.reconnected:
		return now + min(b.lateHeartbeat(), b.removalGrace())
	}
	return now
}

// missing is the removal of an entry that is deferred.
type missing struct {
	dropAt time.Duration
	// duringOutage is set if the entry went missing in an outage of the store: its lease may
	// have expired. Any other removal is known to have been stated by the store.
	duringOutage bool
	// revision is the highest one that had been read when the entry went missing.
	revision uint64
}

// restartGrace begins the grace periods of upstreams that went missing in an outage anew, with
// the first answer after a failed read.
func (s *State) restartGrace(now time.Duration) {
	until := now + s.bounds.removalGrace()
	if s.contact.outageEnded {
		until = s.contact.deferral(now, s.bounds)
	}
	for key, m := range s.missing {
		if m.duringOutage {
			m.dropAt = max(m.dropAt, until)
			s.missing[key] = m
		}
	}
}

// Bounds are settings of the platform, 0 for the defaults.
type Bounds struct {
	// Heartbeat is the interval in which upstreams renew their leases.
	Heartbeat time.Duration
	// DrainTimeout is the time from the removal of an upstream within which it must get no
	// more requests.
	DrainTimeout time.Duration
	// PollInterval is the time between two reads of a process that polls, 0 if it watches.
	PollInterval time.Duration
}

// HeartbeatInterval returns the interval in which upstreams renew their leases.
func (b Bounds) HeartbeatInterval() time.Duration {
	if b.Heartbeat > 0 {
		return b.Heartbeat
	}
	return DefaultHeartbeat
}

func (b Bounds) drainTimeout() time.Duration {
	if b.DrainTimeout > 0 {
		return b.DrainTimeout
	}
	return DefaultDrainTimeout
}

// OutageThreshold is the shortest outage of the store in which the lease of an upstream that
// runs can expire: the last heartbeat may be one interval old when it begins.
func (b Bounds) OutageThreshold() time.Duration {
	interval := float64(b.HeartbeatInterval())
	return time.Duration((leaseHeartbeats - 1 - heartbeatJitter) * interval)
}

// removalGrace is the time for which a removal that is read after an outage, and was not
// there at its end, is deferred: enough for the next heartbeat of an upstream whose lease
// had expired, and half a heartbeat less than the drain timeout for reading it.
func (b Bounds) removalGrace() time.Duration {
	return max(b.drainTimeout()-b.HeartbeatInterval()/2, 0)
}

// SettleTime is the time after a failed read in which a lease can still expire for it.
func (b Bounds) SettleTime() time.Duration {
	return max((leaseHeartbeats-1)*b.HeartbeatInterval(), ReregistrationGrace)
}

// lateHeartbeat is the time for which a removal is deferred in the settle time after
// failures that were no outage. Heartbeats are a little late, so that an upstream that
// misses two may lose its lease just before the third, which must then be read.
func (b Bounds) lateHeartbeat() time.Duration { return b.HeartbeatInterval() * 3 / 4 }

// copyHold is the time from the first read of a new era for which what was known before
// wins over the copy that the era began with, unless the entry is written again. By then
// the leases in the copy of upstreams that are gone have expired, and one more heartbeat is
// left for their removal to be read.
func (b Bounds) copyHold() time.Duration { return (leaseHeartbeats + 1) * b.HeartbeatInterval() }
