package configcheck

import (
	"math"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// MaxDuration bounds every duration of a configuration. It is far beyond any use; larger
// values come from a wrong unit or overflow.
const MaxDuration = 365 * 24 * time.Hour

// maxPriority is the least urgent priority that engines understand.
const maxPriority = 9

// duration reports whether a duration is valid. If not, it records a finding.
func (c *checker) duration(s Severity, e *Entry, field string, d time.Duration) bool {
	if d >= 0 && d <= MaxDuration {
		return true
	}
	c.add(s, OutOfRange, e, field, "the duration is not between 0 and %s", MaxDuration)
	return false
}

// routeLimits checks the limits of a route against each other and against the settings of
// the processes.
func (c *checker) routeLimits(r *Route, p *Process) {
	e := &r.Entry
	valid := c.duration(Error, e, FieldTimeout, r.Timeout)
	valid = c.duration(Warning, e, FieldMaxPause, r.MaxPause) && valid
	valid = c.duration(Warning, e, FieldTargetLatency, r.TargetLatency) && valid
	if r.Attempts < 0 {
		c.add(Warning, OutOfRange, e, FieldAttempts, "the number of attempts is negative; one is made")
	}
	c.priority(e, r.Priority)
	stream := r.Kind == api.RequestStream
	if r.Kind != "" && !stream && r.MaxPause > 0 {
		c.add(Warning, NotApplicable, e, FieldMaxPause, "only a stream has pauses between events")
	}
	if r.Kind != "" && !stream && r.Resumable {
		c.add(Warning, NotApplicable, e, FieldResumable, "only a stream can be resumed")
	}
	if !valid {
		return
	}
	switch {
	case r.Timeout == 0:
		c.add(Warning, NothingAccepted, e, FieldTimeout, "the timeout is 0, so that every request fails")
		return
	case r.TargetLatency > r.Timeout:
		c.add(Warning, ExceedsTimeout, e, FieldTargetLatency, "%s is longer than the timeout of %s", r.TargetLatency, r.Timeout)
	case r.Attempts > 1 && r.TargetLatency > r.Timeout/time.Duration(r.Attempts):
		c.add(Warning, ExceedsTimeout, e, FieldAttempts, "%d attempts of %s each do not fit in the timeout of %s",
			r.Attempts, r.TargetLatency, r.Timeout)
	}
	if stream && r.MaxPause > r.Timeout {
		c.add(Warning, ExceedsTimeout, e, FieldMaxPause, "%s is longer than the timeout of %s", r.MaxPause, r.Timeout)
	}
	c.grace(e, r.Timeout, p)
	if p != nil && p.NoRetries && r.Attempts > 1 {
		c.add(Warning, ExceedsBudget, e, FieldAttempts, "%d attempts are allowed, but the retry budget of the settings is 0", r.Attempts)
	}
}

func (c *checker) priority(e *Entry, priority *float64) {
	if priority != nil && (*priority < 0 || *priority > maxPriority || *priority != math.Trunc(*priority)) {
		c.add(Warning, OutOfRange, e, FieldPriority, "the priority is not a whole number from 0 to %d", maxPriority)
	}
}

// grace checks that a process that stops can wait for the longest request.
func (c *checker) grace(e *Entry, timeout time.Duration, p *Process) {
	if p != nil && timeout > p.StopDeadline {
		c.add(Warning, ExceedsGrace, e, FieldTimeout, "%s is longer than the stop_deadline of %s: a process that stops cuts off requests",
			timeout, p.StopDeadline)
	}
}

func (c *checker) serviceEntries(p *Process) {
	used, hosted, names := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, r := range c.model.Routes {
		for _, s := range r.Splits {
			used[s.Service] = true
		}
	}
	for _, u := range c.model.Upstreams {
		hosted[u.Service] = true
	}
	for i := range c.model.Services {
		s := &c.model.Services[i]
		c.duplicateName(&s.Entry, names)
		if len(c.model.Routes) > 0 && !used[s.Name] {
			c.add(Warning, UnusedService, &s.Entry, "", "no route leads to the service")
		}
		if len(c.model.Zones) > 0 && !hosted[s.Name] {
			c.add(Warning, NoUpstream, &s.Entry, "", "the service has no upstream")
		}
		if s.ColdRate < 0 {
			c.add(Warning, OutOfRange, &s.Entry, FieldColdRate, "the rate is negative, which limits nothing")
		}
		if s.ResendWindow > 0 && s.ResendWindow < s.Timeout {
			c.add(Warning, WindowTooShort, &s.Entry, FieldResendWindow,
				"%s is shorter than the timeout of %s: a caller that waits for an answer can no longer resend", s.ResendWindow, s.Timeout)
		}
		c.grace(&s.Entry, s.Timeout, p)
	}
}

func (c *checker) limits(p *Process) {
	for i := range c.model.Members {
		c.priority(&c.model.Members[i].Entry, c.model.Members[i].Priority)
	}
	l := &c.model.Limits
	switch {
	case l.MaxBodyBytes == nil:
	case *l.MaxBodyBytes < 0:
		c.add(Error, OutOfRange, &l.Entry, FieldMaxBodyBytes, "the limit is negative")
	case *l.MaxBodyBytes == 0:
		c.add(Warning, NothingAccepted, &l.Entry, FieldMaxBodyBytes, "the limit is 0, so that every request with a body fails")
	case p != nil && p.BodyBytes > 0 && *l.MaxBodyBytes > p.BodyBytes:
		c.add(Warning, ExceedsBudget, &l.Entry, FieldMaxBodyBytes,
			"%d bytes exceed the %d bytes of memory for bodies: such a body is accepted only while no other is held", *l.MaxBodyBytes, p.BodyBytes)
	}
	c.clientTime(&l.Entry, FieldHeaderTimeout, l.HeaderTimeout)
	c.clientTime(&l.Entry, FieldIdleTimeout, l.IdleTimeout)
}

// MinClientTime and MaxClientTime bound how long a connection may wait for its client.
const (
	MinClientTime = time.Millisecond
	MaxClientTime = 24 * time.Hour
)

func (c *checker) clientTime(e *Entry, field string, d time.Duration) {
	if d != 0 && (d < MinClientTime || d > MaxClientTime) {
		c.add(Warning, OutOfRange, e, field, "the time is not between %s and %s; the default of the process applies", MinClientTime, MaxClientTime)
	}
}
