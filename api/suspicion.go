package api

import (
	"context"
	"time"
)

// Crash is one crash of an upstream while it ran a request.
type Crash struct {
	// ID is equal in all reports of one crash.
	ID       uint64
	Upstream string
	// Age is the time since the crash, as the sender knows it. Ages need no
	// synchronised clocks.
	Age time.Duration
	// Alone is true if nothing else ran.
	Alone bool
	// Cleared is true once the request has completed in isolation since.
	Cleared bool
}

// Suspicion is what a process knows of a request that was running during
// crashes. Processes merge what they hear, in any order and any number of times.
type Suspicion struct {
	Fingerprint uint64
	Crashes     []Crash
}

// Suspicions is implemented by the service of a process that knows suspects.
type Suspicions interface {
	// MergeSuspicions takes crash reports and does not wait for its effect.
	MergeSuspicions(suspicions []Suspicion)
	// KnownSuspicions returns up to n of those known, a different part each
	// time, for the digests between processes.
	KnownSuspicions(ctx context.Context, n int) []Suspicion
}
