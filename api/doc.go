// Package api defines the contracts between the services of mulberryfork: the
// interfaces under which they find each other, the messages that they exchange,
// and the typed failures. It depends on no transport and no encoding.
//
// A router accepts requests from callers and forwards them to agents; an agent runs
// on the VM of its upstream. On a platform that publishes routes and upstreams in a
// store, an edge forwards requests from callers directly to upstreams, and a side
// process runs on the VM of a model engine and manages its expert map.
//
// An elapsed time, often a parameter called now, is a reading of the clock of the
// process (see kernel.Clock). Only differences between two readings of one
// process have a meaning.
package api
