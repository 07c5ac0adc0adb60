// Package kernel is the micro-kernel of every mulberryfork process.
//
// It provides a registry of service factories under dotted names, a host that
// provisions, starts and stops the services of one process, the control loop
// that owns the control state of the process, and the clock. Everything else is
// a service; services look each other up by name.
package kernel
