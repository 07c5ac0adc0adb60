package kernel

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures elapsed time from an arbitrary origin. Only differences between
// two readings of the same clock have a meaning.
type Clock interface {
	Now() time.Duration
}

// BootClock includes the time during which the machine was suspended, so that
// leases and deadlines expire while a VM is paused.
type BootClock struct{}

// Now returns the time since the machine was booted.
func (BootClock) Now() time.Duration {
	var ts unix.Timespec
	// ClockGettime fails only for an unknown clock ID.
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

// Now returns the time since the clock was created.
func (c *RuntimeClock) Now() time.Duration { return time.Since(c.start) }

// ManualClock is a clock for tests. It changes only by Advance.
type ManualClock struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the sum of all advances.
func (c *ManualClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward by d.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}
