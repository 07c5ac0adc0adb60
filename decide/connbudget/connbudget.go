package connbudget

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/bodybudget"
)

// Phase is what a connection does.
type Phase uint8

// Phases of a connection.
const (
	// Idle is a connection on which nothing of a request has come.
	Idle Phase = iota
	// Receiving is one whose request is coming.
	Receiving
	// Serving is one whose request is being handled, or whose response has room.
	Serving
	// Sending is one whose response waits for the client to read.
	Sending
)

// Reading is what was observed of a connection.
type Reading struct {
	Phase Phase
	// Moved is the number of bytes received and sent since the connection was opened.
	Moved int64
	// Served is set once a response was sent.
	Served bool
	// Waiting is set while there is no complete head, Since is when the connection began to
	// wait for a request or when the first bytes of the head came.
	Waiting bool
	Since   time.Duration
}

type connection struct {
	id               uint64
	listener, source string
	reading          Reading
	// activeAt is when bytes were last seen to move, progressAt when they last moved at the
	// least rate, observedAt the time of the last reading.
	activeAt, progressAt, observedAt time.Duration
	holds                            []hold
	// ended is set for a connection that was ended and is not closed yet.
	ended bool
}

// hold is a number of bytes that are charged to a holder.
type hold struct {
	holder string
	bytes  int64
}

// listener counts the connections of one listener. Up to guarantee of them are kept free from
// the connections of the others.
type listener struct{ count, guarantee int }

const (
	// mainPart and otherPart are the parts of all connections that are guaranteed to the main
	// listener of a process, and to each other one.
	mainPart  = 2
	otherPart = 16
)

// NoConnection is the identity under which bytes are charged to no connection. It is never
// ended.
const NoConnection uint64 = 0

// State is the account of one process. Only the control loop uses it.
type State struct {
	limits    Limits
	bytes     *bodybudget.State
	listeners map[string]*listener
	times     map[string]api.TimeLimits
	conns     map[uint64]*connection
	sources   map[string]int
	open      int
}

// New returns an empty account.
func New(l Limits) *State {
	return &State{
		limits:    l,
		bytes:     bodybudget.New(l.Bytes),
		listeners: make(map[string]*listener),
		times:     make(map[string]api.TimeLimits),
		conns:     map[uint64]*connection{NoConnection: {reading: Reading{Phase: Serving}}},
		sources:   make(map[string]int),
	}
}

// AddListener adds a listener of the process. The main one is for what the process is there
// for.
func (s *State) AddListener(name string, main bool) {
	part := otherPart
	if main {
		part = mainPart
	}
	s.listeners[name] = &listener{guarantee: s.limits.Connections / part}
}

// Full reports whether a listener has no room for another connection.
func (s *State) Full(name string) bool {
	l := s.listeners[name]
	if l == nil || l.count < l.guarantee {
		return false
	}
	kept := 0
	for _, other := range s.listeners {
		kept += max(other.guarantee-other.count, 0)
	}
	return s.open+kept >= s.limits.Connections
}

// Open adds a connection.
func (s *State) Open(now time.Duration, id uint64, name, source string) {
	s.conns[id] = &connection{id: id, listener: name, source: source, activeAt: now, progressAt: now, observedAt: now}
	s.count(s.conns[id], 1)
}

func (s *State) count(c *connection, n int) {
	s.open += n
	if l := s.listeners[c.listener]; l != nil {
		l.count += n
	}
	if s.sources[c.source] += n; s.sources[c.source] == 0 {
		delete(s.sources, c.source)
	}
}

// End releases what a connection holds that is being ended. It still has to be closed.
func (s *State) End(id uint64) {
	c := s.conns[id]
	if c == nil || c.ended {
		return
	}
	c.ended = true
	for _, h := range c.holds {
		s.bytes.Return(h.holder, h.bytes)
	}
	c.holds = nil
	s.count(c, -1)
}

// Close removes a connection and releases what it holds.
func (s *State) Close(id uint64) {
	s.End(id)
	delete(s.conns, id)
}

// Connections returns the number of open connections, Used that of charged bytes.
func (s *State) Connections() int { return s.open }

// Used returns the number of charged bytes.
func (s *State) Used() int64 { return s.bytes.Used() }

// Take charges n bytes to a holder, for a connection that has not been ended. It returns false
// if there is no room.
func (s *State) Take(id uint64, holder string, n int64) bool {
	c := s.conns[id]
	if c == nil || c.ended || !s.bytes.Take(holder, n) {
		return false
	}
	for i := range c.holds {
		if c.holds[i].holder == holder {
			c.holds[i].bytes += n
			return true
		}
	}
	c.holds = append(c.holds, hold{holder, n})
	return true
}

// Return releases n bytes of a holder, or what is left of them.
func (s *State) Return(id uint64, holder string, n int64) {
	c := s.conns[id]
	if c == nil {
		return
	}
	for i := range c.holds {
		if h := &c.holds[i]; h.holder == holder {
			n = min(n, h.bytes)
			h.bytes -= n
			s.bytes.Return(holder, n)
		}
	}
}

// Observe records a reading of a connection.
func (s *State) Observe(now time.Duration, id uint64, r Reading) {
	c := s.conns[id]
	if c == nil {
		return
	}
	moved := r.Moved - c.reading.Moved
	if moved > 0 {
		c.activeAt = now
	}
	needed := int64(float64(s.limits.MinRate) * (now - c.observedAt).Seconds())
	if r.Phase != c.reading.Phase || moved > needed {
		c.progressAt = now
	}
	c.reading, c.observedAt = r, now
}
