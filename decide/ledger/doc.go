// Package ledger enforces at-most-once execution of non-idempotent requests at
// the agent of one upstream, and records their outcomes.
//
// Each entry belongs to one key of one member and changes from queued to
// running to done. An attempt that was refused, or queried before it arrived,
// leaves a tombstone, so that a late copy of it never runs. When a member has
// reached its limit of tombstones, the ledger raises the member's floor
// instead: a time on the agent's clock. Attempts of that member made at or
// before this time may no longer start.
//
// The ledger reports not_run only if the key cannot have run and this attempt
// will never run. In all other cases it reports unknown.
package ledger
