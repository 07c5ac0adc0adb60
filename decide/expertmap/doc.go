// Package expertmap decides when the ranks of an expert-parallel group switch
// to another expert map, so that no step runs on two maps.
//
// The outcome of a proposal is a function of the ranks' votes: it is committed
// if every rank voted yes, and aborted if one rank voted no. Each rank votes
// once, so any process that collects the votes finds the same outcome, and no
// coordinator has to be elected or remembered. A yes vote is recorded in the
// engine before it is sent: the engine then does not enter the switch step
// until it is told the outcome.
//
// Each rank's agent runs a [Rank], any agent may run a [Proposer], and [Gate]
// states what the protocol requires of an engine. docs/decisions/expert-map.md
// gives the reasons and the bounds.
package expertmap
