package api

import (
	"context"
	"time"
)

// ConfigStore holds the active configuration of the process.
type ConfigStore interface {
	// Current returns the active snapshot, nil before the first.
	Current() *Snapshot
	// Subscribe adds a function that runs on the control loop after each
	// change. It must be called while services are provisioned.
	Subscribe(func(now time.Duration, s *Snapshot))
	// Ready returns a channel that is closed once a first snapshot is active.
	Ready() <-chan struct{}
	// WaitRevision waits until the revision or a newer one is active. It returns
	// false if ctx ends first.
	WaitRevision(ctx context.Context, revision uint64) bool
}

// ConfigSource reads the configuration that the platform publishes.
type ConfigSource interface {
	// Watch calls deliver with each new revision until ctx ends. It calls health
	// with the error of a failed read, and with nil after a successful one.
	Watch(ctx context.Context, deliver func(RawConfig), health func(error))
}

// RawConfig is one published revision, not yet parsed: files by name.
type RawConfig struct {
	Revision uint64
	Files    map[string][]byte
}

// VMState is the state of a VM on the membership list.
type VMState string

// States of a VM on the membership list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the membership list.
type VM struct {
	Name    string
	Address string
	Zone    string
	// Role is "router" or "agent".
	Role  string
	State VMState
}

// Membership combines the platform's membership list with the observations of
// this process and its peers.
type Membership interface {
	// Members returns the last known list. The slice must not be modified.
	Members() []VM
	// Subscribe adds a function that runs on the control loop after each change.
	// It must be called while services are provisioned.
	Subscribe(func(now time.Duration, members []VM))
	// Leaving reports whether the list or a peer announced that a VM is leaving.
	Leaving(vm string) bool
	// Down reports whether an upstream is considered down: by the state of this
	// process's link or, without a link, by the observations of several peers.
	Down(upstream string) bool
}

// LinkState is the state of a router's link to an agent.
type LinkState struct {
	Up          bool
	Incarnation Incarnation
	// AgentElapsed is the agent's elapsed time in its last message.
	AgentElapsed time.Duration
	// Revision is the agent's configuration revision in its last message.
	Revision uint64
}

// Exchange is a request in flight on a link.
type Exchange interface {
	// Cancel cancels the request at the agent: the response is no longer wanted.
	Cancel()
	// GrantCredit returns flow-control credit to the agent for consumed bytes.
	GrantCredit(bytes uint32)
}

// Links holds the connections to agents and sends orders over them.
type Links interface {
	// Send sends an order. The response goes to the sink. An error means that the
	// order did not leave this process.
	Send(ctx context.Context, o Order, s Sink) (Exchange, error)
	// Query asks an agent for an outcome.
	Query(ctx context.Context, q OutcomeQuery) (Outcome, error)
	// State returns the state of the link to an upstream's agent.
	State(upstream string) LinkState
	// BroadcastSuspicions sends crash reports to all agents without waiting for
	// delivery.
	BroadcastSuspicions(suspicions []Suspicion)
	// EnsureLink opens a link to an upstream outside the subset of this process and
	// waits for a limited time until it is up. If a link exists already, up or
	// down, it returns immediately.
	EnsureLink(ctx context.Context, upstream string)
	// WaitUp waits until the link to an upstream's agent is up and returns its
	// state, or false if ctx ends first.
	WaitUp(ctx context.Context, upstream string) (LinkState, bool)
}

// LinkSubsetter is implemented by links to a subset of the agents, chosen from the
// routers on the membership list.
type LinkSubsetter interface {
	// UpdateRouters chooses the subset again from a new membership list. It must be
	// called on the control loop.
	UpdateRouters(members []VM)
}

// LinkObserver is implemented by services that receive link events. Its methods are
// called on the control loop.
type LinkObserver interface {
	LinkUp(now time.Duration, upstream string, s LinkState)
	LinkDown(now time.Duration, upstream string)
	LoadReport(now time.Duration, l Load)
}

// LinkFeed distributes link events.
type LinkFeed interface {
	// SubscribeLinks adds a subscriber. It must be called while services are provisioned.
	SubscribeLinks(LinkObserver)
}

// Caller is an authenticated caller.
type Caller struct {
	Member string
}

// Admission authenticates callers and admits their requests.
type Admission interface {
	// Authenticate maps a bearer token to a guild member.
	Authenticate(token string) (Caller, *Failure)
	// Admit admits a request of a member to a plain service, or to a model if the
	// service is empty. If the failure is nil, release must be called once when
	// the request has ended.
	Admit(ctx context.Context, member, service string, costTokens uint32) (release func(), failure *Failure)
	// SpendRetry takes one retry from the retry budgets of the member and the
	// service. It returns false if a budget is exhausted.
	SpendRetry(ctx context.Context, member, service string) bool
	// SpendHedge takes a hedged attempt from the same budgets.
	SpendHedge(ctx context.Context, h HedgeCandidate) bool
}

// HedgeCandidate describes a request whose first attempt has not received a response
// head yet and that may get a second concurrent attempt.
type HedgeCandidate struct {
	Member     string
	Idempotent bool
	// Waited is the time since the start of the first attempt.
	Waited time.Duration
	// Threshold is the shortest wait before a hedged attempt.
	Threshold time.Duration
}

// Dispatcher routes, sends and retries a request until there is a complete
// response or a typed failure. Front ends only encode and decode.
type Dispatcher interface {
	Dispatch(ctx context.Context, r Request, s Sink)
	// IssueKey returns a new idempotency key that is bound to an upstream.
	IssueKey(ctx context.Context, member, model, service string) (string, *Failure)
	// Outcome returns the outcome of the request under an idempotency key.
	Outcome(ctx context.Context, member, service, key string) (Outcome, *Failure)
}

// Request is a caller's request, independent of the transport.
type Request struct {
	ID     string
	Member string
	// Key is the caller's idempotency key, empty if there is none.
	Key        string
	Idempotent bool
	Model      string
	Service    string
	Method     string
	Path       string
	Headers    []Header
	Body       []byte
	// PrefixHashes holds the same hashes as in a RouteQuery.
	PrefixHashes []uint64
	// CostTokens is the estimated number of prompt and completion tokens.
	CostTokens uint32
	// Priority is higher for more urgent requests, 0 by default.
	Priority int32
	// FirstEventTarget is the time from the call of Dispatch within which the first event of
	// the response is in time, 0 if none is given.
	FirstEventTarget time.Duration
	// Timeout is the time from the call of Dispatch to the caller's deadline.
	Timeout time.Duration
	// Stream is true if the caller requested a stream of tokens.
	Stream bool
	// ResumeFrom is the number of chunks that the caller has already received.
	ResumeFrom uint64
	// Fingerprint is a hash that identifies the content across retries.
	Fingerprint uint64
	// PromptParts identify the parts of the prompt that other requests may share, in
	// their order: all but the last.
	PromptParts []uint64
	// MaxAttempts bounds the attempts, 0 for the default of the dispatcher.
	MaxAttempts int
	// Unbound requests are identified by their ID alone: no idempotency key is
	// bound to an upstream for them.
	Unbound bool
}

// Executor is the agent's only entry point to its upstream.
type Executor interface {
	// Execute runs or refuses an order and always ends the sink with End. If ctx
	// ends, the router canceled the request or its link was lost.
	Execute(ctx context.Context, o Order, s Sink)
	// Outcome returns the outcome of a query from the ledger.
	Outcome(ctx context.Context, q OutcomeQuery) Outcome
	// Load returns the current report and a channel that is closed once a newer
	// one is published.
	Load() (Load, <-chan struct{})
	// MergeSuspicions merges crash reports from a router.
	MergeSuspicions(suspicions []Suspicion)
	// CacheChanges returns the most recent changes of the engine's prefix cache.
	// The slice must not be modified.
	CacheChanges() []CacheChange
	// Incarnation returns the incarnation of this process.
	Incarnation() Incarnation
	// Elapsed returns the agent's own elapsed time, as bound keys embed it.
	Elapsed() time.Duration
}

// Engine is the adapter for one upstream.
type Engine interface {
	// Run sends the order to the upstream and streams the head and chunks of the
	// response to the sink. The caller of Run ends the sink. The failure states
	// whether the request ran.
	Run(ctx context.Context, o Order, s Sink) (Usage, *Failure)
}

// Usage holds the measurements of one run of a request.
type Usage struct {
	Chunks          uint64
	PromptTokens    uint32
	GeneratedTokens uint32
	// FirstChunk and Total are the times from the start to the first chunk and to
	// the end of the response.
	FirstChunk time.Duration
	Total      time.Duration
	// EngineIncarnation is the incarnation of the upstream that responded, 0 if
	// it reports none.
	EngineIncarnation uint64
}

// Counter counts events since the start of the process.
type Counter interface {
	Add(delta int64)
}

// Metrics provides the metrics listed in MetricTable.
type Metrics interface {
	// Counter returns the counter with the name and label. The label may be empty.
	Counter(name, label string) Counter
	// Gauge publishes a value that is read at each scrape.
	Gauge(name string, read func() int64)
	// Observe records a duration in the histogram with the name and label.
	Observe(name, label string, d time.Duration)
}

// DecisionKind is the priority of a decision line when the log is overloaded.
type DecisionKind uint8

// Kinds of decision. Routine ones are dropped first.
const (
	DecisionRoutine DecisionKind = iota
	DecisionFailed
)

// Logger writes structured lines. It never blocks on the reader of its output.
type Logger interface {
	// Change logs a state change.
	Change(event string, fields Fields)
	// Decision logs a decision on a request.
	Decision(event string, kind DecisionKind, fields Fields)
}

// Fields holds the structured fields of a log line by name.
type Fields map[string]any

// Readiness is implemented by services that /readyz checks.
type Readiness interface {
	// Ready returns nil, or the reason why the process must not receive traffic.
	Ready() error
}
