package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	onceCallerWait = 20 * time.Second
	onceBackoff    = 4 * time.Second
	onceSends      = 8
	// onceWindowMargin is left of the resend window for a router that is paused.
	onceWindowMargin = 40 * time.Second
	onceBindRetry    = time.Second
)

// onceCaller makes one request and resends it until its outcome is known.
type onceCaller struct {
	world *onceWorld
	index int
	key   string
	bound bool
	first time.Duration
	sends int
	// turn numbers the sends, so that an answer to a former one is known.
	turn int
	// state stays not_run only as long as every send was told so.
	state api.RunState
	done  bool
}

// begin gets a key. Callers with an odd number make their own, as do all with
// the baseline.
func (c *onceCaller) begin() {
	w := c.world
	c.state = api.NotRun
	if w.scenario.plain || c.index%2 == 1 {
		c.key = fmt.Sprintf("visit-%d", c.index)
		c.send()
		return
	}
	r := w.routers[w.random.IntN(onceRouters)]
	key, ok := r.bind()
	if !ok || r.process.pausedUntil > w.now {
		w.events.at(w.now+onceBindRetry, c.begin)
		return
	}
	c.key, c.bound = key, true
	c.send()
}

// send hands the request to any router. A paused router takes it later, one
// that dies breaks the connection; both look like a time-out here.
func (c *onceCaller) send() {
	w := c.world
	if c.sends == 0 {
		c.first = w.now
	}
	c.sends++
	c.turn++
	turn := c.turn
	r := w.routers[w.random.IntN(onceRouters)]
	w.after(r.process, 0, func() {
		r.handle(c.index, c.key, func(reply onceReply) { c.receive(turn, reply) })
	})
	w.events.at(w.now+onceCallerWait, func() { c.receive(turn, onceReply{run: api.RunUnknown}) })
}

func (c *onceCaller) receive(turn int, reply onceReply) {
	if turn != c.turn || c.done {
		return
	}
	c.turn++
	if reply.run == api.Ran {
		if reply.body != "" {
			c.world.audit.answered(reply.body, onceWhole(c.index))
		}
		c.state, c.done = api.Ran, true
		return
	}
	fresh := reply.boundKey != "" && c.sends == 1
	if fresh {
		// The caller knows that this was its first send, which was refused.
		c.key, c.bound = reply.boundKey, true
	}
	if reply.run != api.NotRun && !fresh {
		c.state = api.RunUnknown
	}
	c.again()
}

// again resends after a pause, as long as the contract allows.
func (c *onceCaller) again() {
	w := c.world
	wait := onceBackoff/2 + time.Duration(w.random.Int64N(int64(onceBackoff)))
	late := !c.bound && w.now+wait-c.first > onceLimits.ResendWindow-onceWindowMargin
	if c.sends >= onceSends || late {
		c.done = true
		return
	}
	w.events.at(w.now+wait, c.send)
}

func onceWhole(request int) string {
	var b strings.Builder
	for _, c := range onceAnswer(request) {
		b.Write(c)
	}
	return b.String()
}
