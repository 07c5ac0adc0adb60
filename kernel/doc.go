// Package kernel is the small core that every mulberryfork process is built on.
//
// It holds a registry of service factories under dotted names, a host that
// provisions, starts and stops the services of one process, the control loop
// that owns the control state of the process, and the clock. Everything else
// is a service that finds others by name.
package kernel
