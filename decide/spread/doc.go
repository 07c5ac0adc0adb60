// Package spread decides how configuration reaches every process.
//
// A few watchers per availability zone read the platform's service. Every
// process exchanges digests with a small, deterministic set of neighbours and
// fetches content that it lacks from the neighbour that has it. The highest
// version that validates is in force and is never replaced by a lower one.
//
// The package does no I/O: a State takes events and the present time and
// returns actions for a service to carry out. It belongs to the control
// goroutine.
package spread
