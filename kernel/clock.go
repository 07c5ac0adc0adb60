package kernel

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives elapsed time. Only differences between two readings mean anything.
type Clock interface {
	Now() time.Duration
}

// BootClock counts the time during which the machine was suspended, so that a
// lease or a deadline also runs out while a VM is paused.
type BootClock struct{}

// Now returns the time since the machine was started.
func (BootClock) Now() time.Duration {
	var ts unix.Timespec
	// ClockGettime can only fail for an unknown clock id.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// RuntimeClock follows the clock of package time, which testing/synctest replaces.
type RuntimeClock struct{ start time.Time }

// NewRuntimeClock returns a clock that starts at zero.
func NewRuntimeClock() *RuntimeClock { return &RuntimeClock{start: time.Now()} }

// Now returns the time since the clock was made.
func (c *RuntimeClock) Now() time.Duration { return time.Since(c.start) }

// ManualClock moves only when a test advances it.
type ManualClock struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the time set by Advance.
func (c *ManualClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}
