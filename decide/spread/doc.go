// Package spread decides how the configuration is distributed to all processes.
//
// A Version is a configuration revision together with the digest of its content.
// A few processes per availability zone watch the platform's configuration
// service for new versions. Each process exchanges digests with a small,
// deterministic set of neighbours and fetches a newer version from a neighbour
// that has it. The valid version with the highest revision is active and is never
// replaced by one with a lower revision.
//
// The package does no I/O: a State takes events and the current time and
// returns actions for a service to execute. It is owned by the control
// goroutine.
package spread
