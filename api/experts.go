package api

import "context"

// RankReport is what one rank of an expert-parallel group says of itself.
type RankReport struct {
	// Address is that of the rank's engine, IP and port.
	Address string
	Group   string
	// Epoch counts the times that the group was formed.
	Epoch uint64
	Rank  int
	Size  int
	// Open is false while the group is broken.
	Open bool
	// Step is the last pass that was begun.
	Step uint64
	// Map is the version of the expert map in use.
	Map uint64
	// Prepared is a version whose experts are all copied, Armed one that comes
	// into use with a later pass, and Held a pass that waits for a release.
	Prepared, Armed, Held *uint64
	// Running and Waiting count requests.
	Running, Waiting int
}

// RankState is a report with what only the rank's own VM reads for free.
type RankState struct {
	Report RankReport
	// Counts are the choices of each expert since the rank started, layer after
	// layer. They are absent where they were not asked for.
	Counts []uint64
	// Experts are those of the map in use, by layer. They are absent likewise.
	Experts [][]int
	// Token is the highest fencing token that orders through this process had.
	Token uint64
}

// RankOp is what an order asks of a rank.
type RankOp string

// Operations of a rank.
const (
	RankPrepare RankOp = "prepare"
	RankArm     RankOp = "arm"
	RankDisarm  RankOp = "disarm"
	RankHold    RankOp = "hold"
	RankRelease RankOp = "release"
)

// RankOrder asks a rank to change its expert map.
type RankOrder struct {
	Op      RankOp
	Token   uint64
	Epoch   uint64
	Version uint64
	Step    uint64
	// Map is the whole map of a prepare order, by layer and rank.
	Map [][][]int
}

// RankAnswer says what became of an order.
type RankAnswer uint8

// Answers to an order. An order without an answer may still be carried out.
const (
	RankNoAnswer RankAnswer = iota
	RankDone
	RankRefused
	// RankFenced refuses an order for its fencing token.
	RankFenced
)

// RankEngine reads and orders the ranks of a group at their engines.
type RankEngine interface {
	ReadRank(ctx context.Context, address string) (RankReport, error)
	// ReadCounts returns the choices of each expert. It costs the group time
	// unless the engine is on the same VM.
	ReadCounts(ctx context.Context, address string) ([]uint64, error)
	ReadExperts(ctx context.Context, address string) ([][]int, error)
	OrderRank(ctx context.Context, address string, o RankOrder) (RankAnswer, error)
}
