// Package api defines the contracts between the services of mulberryfork: the
// interfaces under which they find each other, the messages that they exchange,
// and the typed failures. It depends on no transport and no encoding.
//
// An elapsed time, often a parameter called now, is a reading of the clock of the
// process (see kernel.Clock). Only differences between two readings of one
// process have a meaning.
package api
