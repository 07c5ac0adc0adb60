package api

import "time"

// EngineReport is what a model engine says of its load. It lags.
type EngineReport struct {
	// Incarnation changes when the engine restarts.
	Incarnation uint64
	Running     int
	Waiting     int
	// Step is the time of the last step.
	Step time.Duration
	Cold bool
}

// CacheChange is one change of an engine's prefix cache.
type CacheChange struct {
	// Seq numbers the changes of one incarnation of the engine; a gap means
	// that changes were lost.
	Seq   uint64
	Block uint64
	// Dropped is true if the block left the cache.
	Dropped bool
}

// EngineEvents is implemented by services that follow the engine on the
// control loop.
type EngineEvents interface {
	EngineReport(now time.Duration, r EngineReport)
	CacheChanges(now time.Duration, incarnation uint64, changes []CacheChange)
}

// EngineFeed lets services follow the engine. Follow must be called while
// services are provisioned.
type EngineFeed interface {
	Follow(EngineEvents)
}
