package api

import "time"

// EngineReport is the load reported by a model engine, received with a delay.
type EngineReport struct {
	// Incarnation changes when the engine restarts.
	Incarnation uint64
	// Running and Waiting count requests.
	Running int
	Waiting int
	// StepTime is the duration of the last step.
	StepTime time.Duration
	Cold     bool
}

// CacheChange is one change of an engine's prefix cache.
type CacheChange struct {
	// Seq numbers the changes of one incarnation of the engine; a gap means
	// that changes were lost.
	Seq uint64
	// Block is the hash of the cached block.
	Block uint64
	// Evicted is true if the block was evicted, false if it was added.
	Evicted bool
}

// EngineObserver is implemented by services that receive the engine's reports, on
// the control loop.
type EngineObserver interface {
	EngineReport(now time.Duration, r EngineReport)
	CacheChanges(now time.Duration, incarnation uint64, changes []CacheChange)
}

// EngineFeed distributes the engine's reports.
type EngineFeed interface {
	// SubscribeEngine adds a subscriber. It must be called while services are provisioned.
	SubscribeEngine(EngineObserver)
}
