package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	onceCallerTimeout = 20 * time.Second
	onceBackoff       = 4 * time.Second
	onceMaxAttempts   = 8
	// onceResendMargin is the time before the end of the resend window in which
	// callers no longer resend, because a paused router may delay an attempt.
	onceResendMargin   = 40 * time.Second
	onceBindRetryDelay = time.Second
)

// onceCaller makes one request and resends it until its outcome is known.
type onceCaller struct {
	sim         *onceSim
	index       int
	key         string
	hasBoundKey bool
	firstSentAt time.Duration
	attempts    int
	// attemptSeq identifies the current attempt. Replies to earlier attempts are
	// ignored.
	attemptSeq int
	// runState is not_run only while every attempt so far was reported as not_run.
	runState api.RunState
	done     bool
}

// begin gets a key from a router and sends the request. Callers with an odd index,
// and all callers of the baseline, make their own key.
func (c *onceCaller) begin() {
	s := c.sim
	c.runState = api.NotRun
	if s.scenario.baseline || c.index%2 == 1 {
		c.key = fmt.Sprintf("visit-%d", c.index)
		c.send()
		return
	}
	r := s.routers[s.rng.IntN(onceRouters)]
	key, ok := r.issueKey()
	if !ok || r.process.pausedUntil > s.now {
		s.events.schedule(s.now+onceBindRetryDelay, c.begin)
		return
	}
	c.key, c.hasBoundKey = key, true
	c.send()
}

// send makes one attempt at a random router. If the router is paused or killed, the
// attempt times out.
func (c *onceCaller) send() {
	s := c.sim
	if c.attempts == 0 {
		c.firstSentAt = s.now
	}
	c.attempts++
	c.attemptSeq++
	seq := c.attemptSeq
	r := s.routers[s.rng.IntN(onceRouters)]
	s.after(r.process, 0, func() {
		r.handle(c.index, c.key, func(reply onceReply) { c.receive(seq, reply) })
	})
	s.events.schedule(s.now+onceCallerTimeout, func() { c.receive(seq, onceReply{run: api.RunUnknown}) })
}

func (c *onceCaller) receive(seq int, reply onceReply) {
	if seq != c.attemptSeq || c.done {
		return
	}
	c.attemptSeq++
	if reply.run == api.Ran {
		if reply.body != "" {
			c.sim.audit.checkResponse(reply.body, onceResponseBody(c.index))
		}
		c.runState, c.done = api.Ran, true
		return
	}
	rekeyed := reply.boundKey != "" && c.attempts == 1
	if rekeyed {
		// The only attempt was refused, so the request did not run and the new key is
		// safe to use.
		c.key, c.hasBoundKey = reply.boundKey, true
	}
	if reply.run != api.NotRun && !rekeyed {
		c.runState = api.RunUnknown
	}
	c.scheduleResend()
}

// scheduleResend resends after a backoff, up to onceMaxAttempts. A request with a
// caller-made key is resent only within the resend window.
func (c *onceCaller) scheduleResend() {
	s := c.sim
	wait := onceBackoff/2 + time.Duration(s.rng.Int64N(int64(onceBackoff)))
	late := !c.hasBoundKey && s.now+wait-c.firstSentAt > onceLimits.ResendWindow-onceResendMargin
	if c.attempts >= onceMaxAttempts || late {
		c.done = true
		return
	}
	s.events.schedule(s.now+wait, c.send)
}

func onceResponseBody(request int) string {
	var b strings.Builder
	for _, c := range onceResponseChunks(request) {
		b.Write(c)
	}
	return b.String()
}
