package connections

import (
	"cmp"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/connbudget"
	"github.com/mulberryfork/mulberryfork/kernel/guard"
)

// Reasons for which a connection is ended.
const (
	reasonConnections = "connections"
	reasonBytes       = "bytes"
	reasonRequests    = "requests"
	reasonUnread      = "unread"
	reasonHead        = "head"
	reasonIdle        = "idle"
)

// limits returns the limits for the settings of a process. Where they state no number of
// descriptors, the limit of the operating system holds.
func limits(s *api.Settings) connbudget.Limits {
	descriptors := s.DescriptorLimit()
	var limit unix.Rlimit
	if descriptors == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && limit.Cur < maxDescriptors {
		descriptors = int(limit.Cur)
	}
	l := connbudget.Derive(s.MemoryLimitMB(), descriptors)
	// Settings that were not read from a file have no defaults.
	l.MinRate = cmp.Or(s.Limits.MinRate, connbudget.DefaultMinRate)
	l.StallTime = cmp.Or(time.Duration(s.Limits.StallTime), connbudget.DefaultStallTime)
	l.WriteTimeout = cmp.Or(time.Duration(s.Limits.WriteTimeout), connbudget.DefaultWriteTimeout)
	return l
}

// maxDescriptors is above every limit that bounds anything.
const maxDescriptors = 1 << 30

// publish publishes the account for the metrics.
func (s *service) publish() {
	s.open.Store(int64(s.state.Connections()))
	s.used.Store(s.state.Used())
}

func (s *service) handleOpened(now time.Duration, c *guard.Conn) bool {
	if s.state.Full(c.Listener) && now >= s.emptyUntil {
		s.observe(now)
		ids := s.state.ForConnection(now, c.Listener)
		for _, id := range ids {
			s.end(id, reasonConnections)
		}
		if len(ids) == 0 {
			s.emptyUntil = now + freshReadings
		}
	}
	if s.state.Full(c.Listener) {
		s.report.refused++
		return false
	}
	s.state.Open(now, c.ID, c.Listener, c.Source)
	s.conns[c.ID] = c
	s.publish()
	return true
}

func (s *service) handleTaken(now time.Duration, q charge) bool {
	defer s.publish()
	if s.state.Take(q.id, q.holder, q.bytes) {
		return true
	}
	s.observe(now)
	for _, id := range s.state.ForBytes(now, q.holder) {
		if id != q.id && s.end(id, reasonBytes) && s.state.Take(q.id, q.holder, q.bytes) {
			return true
		}
	}
	return false
}

func (s *service) handleShortage(now time.Duration, _ struct{}) {
	s.observe(now)
	for _, id := range s.state.ForRequests(now) {
		s.end(id, reasonRequests)
	}
}

// tick reads all connections and ends those that take nothing of their responses or have
// waited for too long.
func (s *service) tick(now time.Duration) {
	s.observe(now)
	for _, id := range s.state.Overdue(now) {
		s.end(id, reasonUnread)
	}
	for _, e := range s.state.Expired(now) {
		s.endExpired(e)
	}
	s.report.write(now, s.log)
}

// endExpired ends a connection that has waited for too long. It is no sign of a lack of room,
// so that the report omits it.
func (s *service) endExpired(e connbudget.Expired) {
	c := s.conns[e.ID]
	if c == nil || !c.EndWaiting(e.Since) {
		return
	}
	s.state.End(e.ID)
	reason := reasonIdle
	if e.Head {
		reason = reasonHead
	}
	s.endedCount(reason).Add(1)
	s.publish()
}

// end ends a connection unless its request is being handled by now.
func (s *service) end(id uint64, reason string) bool {
	c := s.conns[id]
	if c == nil || !c.End() {
		return false
	}
	s.state.End(id)
	s.endedCount(reason).Add(1)
	s.report.ended++
	s.publish()
	return true
}

// observe reads all connections, unless that was done just now.
func (s *service) observe(now time.Duration) {
	if now-s.observedAt < freshReadings {
		return
	}
	s.observedAt = now
	for id, c := range s.conns {
		a := c.Activity()
		s.state.Observe(now, id, connbudget.Reading{
			Phase: phaseOf(a), Moved: a.Moved, Served: a.Served, Waiting: a.Waiting, Since: a.Since,
		})
	}
}

func phaseOf(a guard.Activity) connbudget.Phase {
	switch {
	case a.Writing:
		return connbudget.Sending
	case a.Serving:
		return connbudget.Serving
	case a.Receiving:
		return connbudget.Receiving
	}
	return connbudget.Idle
}

// report counts what happened since the last log line.
type report struct {
	refused, ended int
	writtenAt      time.Duration
}

func (r *report) write(now time.Duration, log api.Logger) {
	if r.refused+r.ended == 0 || r.writtenAt > 0 && now-r.writtenAt < reportInterval {
		return
	}
	log.Change("connections were refused or ended for lack of room", api.Fields{"refused": r.refused, "ended": r.ended})
	*r = report{writtenAt: now}
}
