// Package spread decides how configuration revisions reach every process.
//
// A few watchers per availability zone read the platform's service. Each
// process exchanges digests with a small, deterministic set of neighbours and
// fetches missing content from a neighbour that has it. The highest valid
// version is active and is never replaced by a lower one.
//
// The package does no I/O: a State takes events and the current time and
// returns actions for a service to execute. It is owned by the control
// goroutine.
package spread
