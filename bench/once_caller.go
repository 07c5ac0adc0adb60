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
	onceMaxSends      = 8
	// onceResendMargin is the part of the resend window in which callers no longer
	// resend, because a paused router may delay a send.
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
	sends       int
	// sendSeq identifies the current send. Replies to earlier sends are ignored.
	sendSeq int
	// state is not_run only while every send was reported as not_run.
	state api.RunState
	done  bool
}

// begin gets a key and sends the request. Callers with an odd index, and all
// callers of the baseline, make their own key.
func (c *onceCaller) begin() {
	s := c.sim
	c.state = api.NotRun
	if s.scenario.plain || c.index%2 == 1 {
		c.key = fmt.Sprintf("visit-%d", c.index)
		c.send()
		return
	}
	r := s.routers[s.random.IntN(onceRouters)]
	key, ok := r.issueKey()
	if !ok || r.process.pausedUntil > s.now {
		s.events.schedule(s.now+onceBindRetryDelay, c.begin)
		return
	}
	c.key, c.hasBoundKey = key, true
	c.send()
}

// send sends the request to a random router. A router that is paused or killed
// looks like a timeout to the caller.
func (c *onceCaller) send() {
	s := c.sim
	if c.sends == 0 {
		c.firstSentAt = s.now
	}
	c.sends++
	c.sendSeq++
	seq := c.sendSeq
	r := s.routers[s.random.IntN(onceRouters)]
	s.after(r.process, 0, func() {
		r.handle(c.index, c.key, func(reply onceReply) { c.receive(seq, reply) })
	})
	s.events.schedule(s.now+onceCallerTimeout, func() { c.receive(seq, onceReply{run: api.RunUnknown}) })
}

func (c *onceCaller) receive(seq int, reply onceReply) {
	if seq != c.sendSeq || c.done {
		return
	}
	c.sendSeq++
	if reply.run == api.Ran {
		if reply.body != "" {
			c.sim.audit.checkAnswer(reply.body, onceAnswerBody(c.index))
		}
		c.state, c.done = api.Ran, true
		return
	}
	rekeyed := reply.boundKey != "" && c.sends == 1
	if rekeyed {
		// The only send was refused, so the request did not run and the new key is
		// safe to use.
		c.key, c.hasBoundKey = reply.boundKey, true
	}
	if reply.run != api.NotRun && !rekeyed {
		c.state = api.RunUnknown
	}
	c.scheduleResend()
}

// scheduleResend resends after a backoff within the send limit. A caller-made key
// is resent only within the resend window.
func (c *onceCaller) scheduleResend() {
	s := c.sim
	wait := onceBackoff/2 + time.Duration(s.random.Int64N(int64(onceBackoff)))
	late := !c.hasBoundKey && s.now+wait-c.firstSentAt > onceLimits.ResendWindow-onceResendMargin
	if c.sends >= onceMaxSends || late {
		c.done = true
		return
	}
	s.events.schedule(s.now+wait, c.send)
}

func onceAnswerBody(request int) string {
	var b strings.Builder
	for _, c := range onceAnswerChunks(request) {
		b.Write(c)
	}
	return b.String()
}
