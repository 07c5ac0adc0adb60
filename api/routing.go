package api

import (
	"context"
	"time"
)

// RouteQuery asks for an upstream.
type RouteQuery struct {
	// RequestID identifies the request in logs.
	RequestID string
	Member    string
	Model     string
	Service   string
	// PrefixHashes holds one hash for each number of leading prompt blocks: the first
	// block, the first two, and so on.
	PrefixHashes []uint64
	CostTokens   uint32
	// Priority is that of the Request.
	Priority int32
	// MayWait allows the request to wait for room until one of the times below: at an edge
	// before it is sent, otherwise in the queue of the upstream's agent. Without it, a request
	// that finds no room is refused at once.
	MayWait bool
	// FirstEventBy is the elapsed time until which the first event of the response is in
	// time, 0 if there is no such time.
	FirstEventBy time.Duration
	// QuietSince is the elapsed time of the last event that the caller received, or of its
	// arrival if there was none.
	QuietSince time.Duration
	// Deadline is the elapsed time of the caller's deadline.
	Deadline time.Duration
	// Exclude lists upstreams that were tried already.
	Exclude []string
	// OnlyUpstream is the only upstream that may be chosen, for bound keys. Empty means no
	// restriction.
	OnlyUpstream string
	// Fingerprint is a hash that identifies the content across retries.
	Fingerprint uint64
	// PromptParts are those of the Request.
	PromptParts []uint64
	// AllowLeaving allows an upstream that accepts no new requests, because it may hold a
	// recorded response.
	AllowLeaving bool
}

// RouteChoice is the chosen upstream and the values that the order must contain.
type RouteChoice struct {
	Upstream    string
	Incarnation Incarnation
	// AgentElapsed is the agent's elapsed time in its last message.
	AgentElapsed time.Duration
	// Revision is the router's configuration revision.
	Revision uint64
	// Ticket identifies this choice in the RouteResult of the attempt.
	Ticket uint64
	// Isolate requires that no other request runs at the same time.
	Isolate bool
	// ShareFactor multiplies the member's share at the agent.
	ShareFactor float64
	// UncachedTokens is the estimated number of prompt tokens that are not in the
	// upstream's prefix cache.
	UncachedTokens uint32
	// CachedElsewhere is the number of these tokens that another upstream's cache holds.
	CachedElsewhere uint32
	// Reason is the deciding factor of the choice.
	Reason RouteReason
}

// RouteReason is the deciding factor of a choice of upstream.
type RouteReason string

const (
	// RouteSoleCandidate is a choice without an alternative.
	RouteSoleCandidate RouteReason = "only"
	// RouteAffinity is a choice by a prefix in the upstream's cache: without it
	// another upstream would have been chosen.
	RouteAffinity RouteReason = "affinity"
	// RouteLeastWork is a choice by outstanding work and zone.
	RouteLeastWork RouteReason = "work"
)

// RouteReasons lists all reasons.
var RouteReasons = []RouteReason{RouteAffinity, RouteLeastWork, RouteSoleCandidate}

// CacheUse states whether an engine served a prompt from its prefix cache.
type CacheUse uint8

// Kinds of cache use. CacheUnknown is for engines that do not report it.
const (
	CacheUnknown CacheUse = iota
	CacheHit
	CacheMiss
)

// RouteResult reports the end of an attempt to the routing service.
type RouteResult struct {
	// RequestID, Fingerprint and PromptParts are those of the RouteQuery.
	RequestID   string
	Fingerprint uint64
	PromptParts []uint64
	Upstream    string
	// Incarnation is that of the RouteChoice.
	Incarnation Incarnation
	// Ticket is that of the RouteChoice.
	Ticket uint64
	// Unsent is true if the order never left the router. The agent then does not
	// count it in Load.SeenOrders.
	Unsent     bool
	Cache      CacheUse
	CostTokens uint32
	Failure    *Failure
	// FirstChunk and Total are the times from the start of the attempt to the first
	// chunk and to the end of the response.
	FirstChunk time.Duration
	Total      time.Duration
	// SentBytes and ReceivedBytes are the sizes of the request and of the part of its
	// response that was received, without the response header.
	SentBytes, ReceivedBytes int64
}

// ExchangeEnd is what the end of an exchange with an upstream shows of its request.
type ExchangeEnd struct {
	// RequestID, Fingerprint and PromptParts are those of the RouteQuery.
	RequestID   string
	Fingerprint uint64
	PromptParts []uint64
	Upstream    string
	// Incarnation is that of the RouteChoice.
	Incarnation Incarnation
	// Whole is true if the whole response came, and Crash is set if the upstream crashed.
	Whole bool
	Crash CrashEvidence
}

// Routing chooses upstreams. Each successful Route must be followed by exactly
// one Done.
type Routing interface {
	Route(ctx context.Context, q RouteQuery) (RouteChoice, *Failure)
	Done(r RouteResult)
	// ObserveEnd reports the end of an exchange that went on after its Done, because its
	// caller had left, its deadline had passed or another attempt had responded.
	ObserveEnd(e ExchangeEnd)
}
