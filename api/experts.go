package api

import (
	"context"
	"time"
)

// RankReport is the state reported by one rank of an expert-parallel group.
type RankReport struct {
	// Address is the IP address and port of the rank's engine.
	Address string
	Group   string
	// Epoch counts how often the group was formed.
	Epoch uint64
	Rank  int
	// Size is the number of ranks in the group.
	Size int
	// Formed is false while the group is broken, until it is formed again.
	Formed bool
	// Step is the number of the last forward pass begun.
	Step uint64
	// MapVersion is the version of the expert map in use.
	MapVersion uint64
	// PreparedMapVersion is the map version whose experts are all copied, ArmedMapVersion the map
	// version that takes effect at a later pass, and HeldStep the number of the pass
	// before which the rank waits for a release order. Each is nil if there is none.
	PreparedMapVersion, ArmedMapVersion, HeldStep *uint64
	// Running and Waiting count requests.
	Running, Waiting int
	// Pace is the time that the rank takes for its work relative to a rank that is not
	// slow, at least 1.
	Pace float64
}

// RankState is a report with further values that are cheap to read only on the VM
// of the rank.
type RankState struct {
	Report RankReport
	// Counts is how often each expert was chosen since the rank started, layer
	// after layer. It is nil if it was not requested.
	Counts []uint64
	// Experts lists the experts of the map in use by layer. It is nil if it was
	// not requested.
	Experts [][]int
	// Token is the highest fencing token in the orders to the rank that passed
	// through the reporting process.
	Token uint64
	// MaxAge is how old the report may have been when the rank sent it. A rank reports its
	// present state on its own VM only.
	MaxAge time.Duration
}

// RankOp is the operation of an order to a rank.
type RankOp string

// Operations of a rank.
const (
	// RankPrepare copies the experts of a map version.
	RankPrepare RankOp = "prepare"
	// RankArm schedules a prepared version for a later pass.
	RankArm RankOp = "arm"
	// RankDisarm cancels an armed version.
	RankDisarm RankOp = "disarm"
	// RankHold stops the rank before a pass until RankRelease.
	RankHold RankOp = "hold"
	// RankRelease ends a hold.
	RankRelease RankOp = "release"
)

// RankOrder asks a rank to change its expert map.
type RankOrder struct {
	Op RankOp
	// Token is the fencing token of the leader.
	Token      uint64
	Epoch      uint64
	MapVersion uint64
	// Step is the pass that the order refers to.
	Step uint64
	// Map lists the experts by layer and rank, in a prepare order.
	Map [][][]int
}

// MapCell is the change of an expert map on one rank in one layer.
type MapCell struct {
	Layer, Rank int
	// Removed and Added are the experts that the rank no longer holds and those that
	// it holds in addition.
	Removed, Added []int
}

// RankResult is the result of an order to a rank.
type RankResult uint8

// Results of an order. After RankNoResult the rank may or may not have executed
// the order.
const (
	RankNoResult RankResult = iota
	RankDone
	RankRefused
	// RankFenced means that the order was refused because of a stale fencing token.
	RankFenced
	// RankBaseUnknown means that the process of the rank did not give the order,
	// because it does not have the map on which the ordered map is based.
	RankBaseUnknown
)

// RankEngine reads and changes the ranks of a group through their engines. The
// address is the IP address and port of a rank's engine.
type RankEngine interface {
	ReadRank(ctx context.Context, address string) (RankReport, error)
	// ReadCounts returns how often each expert was chosen, as in RankState. It
	// slows the group down unless the engine is on the same VM.
	ReadCounts(ctx context.Context, address string) ([]uint64, error)
	// ReadExperts returns the experts of the map in use by layer.
	ReadExperts(ctx context.Context, address string) ([][]int, error)
	OrderRank(ctx context.Context, address string, o RankOrder) (RankResult, error)
}

// RankLoad is the number of requests on one rank, running and waiting.
type RankLoad struct {
	// AddressHash is the hash of the address of the rank's engine.
	AddressHash uint64
	Requests    int
	// Pace is that of the rank's report.
	Pace float64
}

// GroupLoad is the load of a group as its leader read it from the ranks. Ranks that did
// not respond are missing.
type GroupLoad struct {
	Group string
	Epoch uint64
	// Formed is false while the group is broken, until it is formed again, and from the time
	// at which its leader finds that it makes no passes.
	Formed bool
	// PassTime is the time of a forward pass, 0 if it is unknown.
	PassTime time.Duration
	// ShiftImbalance is the load of the fullest rank, as a multiple of the mean, that the
	// leader expects right after the next shift of demand for experts, 0 if no shift is
	// expected.
	ShiftImbalance float64
	Ranks          []RankLoad
	// ReadAt is when the load was read, in elapsed time of the receiving process.
	ReadAt time.Duration
}

// GroupLoads publishes the loads of groups.
type GroupLoads interface {
	// Subscribe adds a function that runs on the control loop for each load. It must be
	// called while services are provisioned.
	Subscribe(func(now time.Duration, l GroupLoad))
}
