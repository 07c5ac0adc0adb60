// Package expertmap implements the protocol by which all ranks of an
// expert-parallel group switch to a new expert map in the same step.
//
// The protocol resembles two-phase commit without a coordinator. A proposal is
// committed if every rank votes yes and aborted if any rank votes no. Each
// rank votes once, so every process that collects the votes derives the same
// outcome. A rank prepares its engine before it sends a yes vote: a prepared
// engine does not enter the switch step until it receives the outcome.
//
// The agent of each rank runs a [Rank], any agent may run a [Proposer], and
// [Gate] models the engine behavior that the protocol requires. docs/decisions/expert-map.md
// explains the design and its bounds.
package expertmap
