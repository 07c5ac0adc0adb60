package api

import (
	"context"
	"time"
)

// Crash is one crash of an upstream while a request was running.
type Crash struct {
	// ID identifies the crash. It is the same in all reports of it.
	ID       uint64
	Upstream string
	// Age is the time since the crash on the clock of the sender. Unlike a
	// timestamp it needs no synchronised clocks.
	Age time.Duration
	// Alone is true if the request is the likely cause: the upstream was running no
	// other request, or, where requests can't be isolated, had begun to respond to it.
	Alone bool
	// Cleared is true once the request has completed after the crash, in isolation where
	// that is possible.
	Cleared bool
}

// Suspicion lists the crashes that a request may have caused, because it was
// running when they happened. Merging suspicions is commutative and idempotent,
// so they may arrive in any order and more than once.
type Suspicion struct {
	Fingerprint uint64
	Crashes     []Crash
}

// SuspicionTracker is implemented by the service that tracks suspect requests.
type SuspicionTracker interface {
	// MergeSuspicions merges crash reports asynchronously.
	MergeSuspicions(suspicions []Suspicion)
	// KnownSuspicions returns up to n suspicions to send to a peer. Successive calls
	// cycle through all known suspicions.
	KnownSuspicions(ctx context.Context, n int) []Suspicion
}
