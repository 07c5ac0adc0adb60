// Package expertmap implements the protocol by which all ranks of an
// expert-parallel group switch to a new expert map in the same step.
//
// The protocol resembles two-phase commit without a coordinator. A proposal is
// committed if every rank votes yes and aborted if any rank votes no. Each
// rank votes once, so every process that collects the votes derives the same
// outcome. A rank prepares its engine before it sends a yes vote: a prepared
// engine does not enter the switch step until it receives the outcome.
//
// The agent of each rank runs the state machine of a participant, and any agent
// may run a [Proposer]. A model of the engine specifies the behavior that the
// protocol requires of engines. docs/decisions/expert-map.md
// explains the design and its bounds.
package expertmap
