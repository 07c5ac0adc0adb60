// Package coldstart limits the work in flight on an upstream that may be cold
// (slow start).
//
// Only the agent starts work on its upstream, so it counts the work in flight by
// itself. The limit starts at the capacity of a cold upstream. Only completed
// requests that ran near the current limit raise it, up to the number of requests
// that the measured step time allows. Any signal that the upstream is cold again
// resets the limit to its initial value at once.
//
// The package does no I/O. Only the control goroutine uses a State.
package coldstart
