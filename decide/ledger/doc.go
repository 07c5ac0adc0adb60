// Package ledger decides, at the agent of one upstream, whether a
// non-idempotent request may run, and keeps the outcomes.
//
// An entry belongs to a member's key and goes from queued over running to
// done. A send that was refused, or asked for before it was seen, leaves a
// tombstone, so that a late copy of it never runs. Where the bound on
// tombstones is reached, the ledger raises the member's floor instead: a time
// on the agent's clock up to which no further send of that member may start.
//
// The ledger says not_run only if no run of the key can have happened and this
// send never will run. In all other cases it says unknown.
package ledger
