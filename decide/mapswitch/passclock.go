package mapswitch

import "time"

// passClock measures the duration of passes.
type passClock struct {
	// step is the number of the last observed pass, first seen at observedAt.
	step       uint64
	observedAt time.Duration
	// passTime is the duration of one pass, 0 if not known.
	passTime time.Duration
}

func (c *passClock) observe(now time.Duration, step uint64) {
	if step == c.step {
		return
	}
	if step > c.step && c.step > 0 {
		c.passTime = (now - c.observedAt) / time.Duration(step-c.step)
	}
	c.step, c.observedAt = step, now
}
