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
	// onceResendMargin is left of the resend window for a router that is paused.
	onceResendMargin   = 40 * time.Second
	onceBindRetryDelay = time.Second
)

// onceCaller makes one request and resends it until its outcome is known.
type onceCaller struct {
	sim         *onceSim
	index       int
	key         string
	boundKey    bool
	firstSentAt time.Duration
	sends       int
	// sendSeq numbers the sends, so that an answer to a former one is known.
	sendSeq int
	// state stays not_run only as long as every send was told so.
	state api.RunState
	done  bool
}

// begin gets a key. Callers with an odd number make their own, as do all with
// the baseline.
func (c *onceCaller) begin() {
	w := c.sim
	c.state = api.NotRun
	if w.scenario.plain || c.index%2 == 1 {
		c.key = fmt.Sprintf("visit-%d", c.index)
		c.send()
		return
	}
	r := w.routers[w.random.IntN(onceRouters)]
	key, ok := r.issueKey()
	if !ok || r.process.pausedUntil > w.now {
		w.events.schedule(w.now+onceBindRetryDelay, c.begin)
		return
	}
	c.key, c.boundKey = key, true
	c.send()
}

// send hands the request to any router. A paused router takes it later, one
// that dies breaks the connection; both look like a time-out here.
func (c *onceCaller) send() {
	w := c.sim
	if c.sends == 0 {
		c.firstSentAt = w.now
	}
	c.sends++
	c.sendSeq++
	turn := c.sendSeq
	r := w.routers[w.random.IntN(onceRouters)]
	w.after(r.process, 0, func() {
		r.handle(c.index, c.key, func(reply onceReply) { c.receive(turn, reply) })
	})
	w.events.schedule(w.now+onceCallerTimeout, func() { c.receive(turn, onceReply{run: api.RunUnknown}) })
}

func (c *onceCaller) receive(turn int, reply onceReply) {
	if turn != c.sendSeq || c.done {
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
	fresh := reply.boundKey != "" && c.sends == 1
	if fresh {
		// The caller knows that this was its first send, which was refused.
		c.key, c.boundKey = reply.boundKey, true
	}
	if reply.run != api.NotRun && !fresh {
		c.state = api.RunUnknown
	}
	c.scheduleResend()
}

// scheduleResend resends after a pause, as long as the contract allows.
func (c *onceCaller) scheduleResend() {
	w := c.sim
	wait := onceBackoff/2 + time.Duration(w.random.Int64N(int64(onceBackoff)))
	late := !c.boundKey && w.now+wait-c.firstSentAt > onceLimits.ResendWindow-onceResendMargin
	if c.sends >= onceMaxSends || late {
		c.done = true
		return
	}
	w.events.schedule(w.now+wait, c.send)
}

func onceAnswerBody(request int) string {
	var b strings.Builder
	for _, c := range onceAnswerChunks(request) {
		b.Write(c)
	}
	return b.String()
}
