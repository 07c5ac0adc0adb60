// Package coldstart decides how much work an upstream that may be cold gets.
//
// The agent is the only one that starts work on its upstream, so it counts its
// own work in flight. The limit begins at what the upstream bears when cold.
// Only completed requests that ran at the present limit raise it, and the
// measured step time bounds how far. Any sign that the upstream is cold again
// returns the limit to its start at once.
//
// The package does no I/O. A State belongs to the control goroutine.
package coldstart
