package api

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// ConfigStore owns the accepted configuration of the process.
type ConfigStore interface {
	// Current returns the snapshot in force, nil before the first.
	Current() *Snapshot
	// Subscribe adds a function that runs on the control loop after each
	// change. It must be called while services are provisioned.
	Subscribe(func(now time.Duration, s *Snapshot))
	// Ready is closed once a first snapshot is in force.
	Ready() <-chan struct{}
	// WaitRevision waits until a revision or a newer one is in force and
	// returns false if ctx ends first.
	WaitRevision(ctx context.Context, revision uint64) bool
}

// ConfigSource delivers raw configuration as the platform publishes it.
type ConfigSource interface {
	// Watch calls deliver for each revision seen, until ctx ends. It reports
	// the health of the source through health.
	Watch(ctx context.Context, deliver func(RawConfig), health func(error))
}

// RawConfig is one published revision: files by name.
type RawConfig struct {
	Revision uint64
	Files    map[string][]byte
}

// VMState is what the membership list says of a VM.
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

// Membership combines the platform's list with what the process saw itself.
type Membership interface {
	// Members returns the last known list. The slice must not be changed.
	Members() []VM
	// Subscribe adds a function that runs on the control loop after a change.
	Subscribe(func(now time.Duration, members []VM))
	// Leaving says whether a VM is leaving, as far as this process knows from
	// the list or from peers.
	Leaving(vm string) bool
	// Down says whether an upstream counts as down: by the own link, or
	// without one by the word of several other processes.
	Down(upstream string) bool
}

// LinkState is what a router knows of its link to an agent.
type LinkState struct {
	Up          bool
	Incarnation Incarnation
	// Elapsed is the agent's elapsed time when it was last heard.
	Elapsed  time.Duration
	Revision uint64
}

// Exchange is a request under way on a link.
type Exchange interface {
	// Cancel tells the agent that nobody wants the answer any more.
	Cancel()
	// Consumed grants the agent flow-control credit.
	Consumed(bytes uint32)
}

// Links sends orders to agents.
type Links interface {
	// Send hands over an order. Answers reach the sink. An error means that
	// the order did not leave this process.
	Send(ctx context.Context, o Order, s Sink) (Exchange, error)
	// Query asks an agent for an outcome.
	Query(ctx context.Context, q OutcomeQuery) (Outcome, error)
	// State returns what is known of the link to an upstream's agent.
	State(upstream string) LinkState
	// BroadcastSuspicions passes crash reports to all agents; it does not wait for them.
	BroadcastSuspicions(suspicions []Suspicion)
	// Reach makes sure that there is a link to an upstream that the process does
	// not hold links to otherwise. It waits for a link that it opens, and
	// returns at once if there is one already, up or down.
	Reach(ctx context.Context, upstream string)
	// WaitUp returns the state of a link once it is up, or false if ctx ends first.
	WaitUp(ctx context.Context, upstream string) (LinkState, bool)
}

// LinkRouters is implemented by links that choose their agents by the routers
// on the membership list.
type LinkRouters interface {
	// Routers takes the list. It must be called on the control loop.
	Routers(members []VM)
}

// LinkEvents is implemented by services that follow links on the control loop.
type LinkEvents interface {
	LinkUp(now time.Duration, upstream string, s LinkState)
	LinkDown(now time.Duration, upstream string)
	LoadReport(now time.Duration, l Load)
}

// LinkFeed lets services subscribe to link events while they are provisioned.
type LinkFeed interface {
	Follow(LinkEvents)
}

// Caller is an authenticated caller.
type Caller struct {
	Member string
}

// Admission decides whether a caller's request may enter.
type Admission interface {
	// Authenticate maps a bearer token to a guild member.
	Authenticate(token string) (Caller, *Failure)
	// Enter admits a request of a member to a plain service, or to a model if
	// the service is empty. The release function must be called once when the
	// request has ended.
	Enter(ctx context.Context, member, service string, costTokens uint32) (release func(), failure *Failure)
	// SpendRetry takes one retry from the budgets that apply.
	SpendRetry(ctx context.Context, member, service string) bool
	// SpendHedge takes a second concurrent send from the same budgets.
	SpendHedge(ctx context.Context, h Hedge) bool
}

// Hedge is a request that waits for its head and may be sent a second time.
type Hedge struct {
	Member     string
	Idempotent bool
	// Waited is the time since the send, Threshold the one to exceed.
	Waited    time.Duration
	Threshold time.Duration
}

// RouteQuery asks for an upstream.
type RouteQuery struct {
	// RequestID is that of the request, for logs.
	RequestID string
	Member    string
	Model     string
	Service   string
	// Prefix holds hashes of the prompt's blocks, longest prefix last.
	Prefix     []uint64
	CostTokens uint32
	Priority   int32
	// Exclude names upstreams that were tried already.
	Exclude []string
	// Only restricts the choice to one upstream, for bound keys.
	Only string
	// Fingerprint identifies the content across resends.
	Fingerprint uint64
	// Leaving allows an upstream that takes no new work, to reach a recorded answer.
	Leaving bool
}

// RouteChoice is the upstream chosen, and the facts the order must carry.
type RouteChoice struct {
	Upstream    string
	Incarnation Incarnation
	Elapsed     time.Duration
	Revision    uint64
	// Ticket names this choice in the RouteResult that closes it.
	Ticket uint64
	// Isolate asks for a run with nothing beside it.
	Isolate bool
	// ShareFactor corrects the member's share at the agent.
	ShareFactor float64
	// Uncached is the part of the prompt, in tokens, that the upstream's cache
	// is not expected to hold.
	Uncached uint32
	// Lost is what another upstream's cache holds beyond that.
	Lost uint32
	// Reason says what decided the choice.
	Reason RouteReason
}

// RouteReason says what decided a choice of upstream.
type RouteReason string

const (
	// RouteOnly is a choice without an alternative.
	RouteOnly RouteReason = "only"
	// RouteAffinity is a choice that would have been another one but for the
	// prefix that the upstream's cache holds.
	RouteAffinity RouteReason = "affinity"
	// RouteWork is a choice by work and zone.
	RouteWork RouteReason = "work"
)

// RouteReasons are all of them.
var RouteReasons = []RouteReason{RouteAffinity, RouteWork, RouteOnly}

// CacheUse says whether an engine served a prompt from its prefix cache.
type CacheUse uint8

// Kinds of cache use. CacheUnknown is for engines that do not tell.
const (
	CacheUnknown CacheUse = iota
	CacheHit
	CacheMiss
)

// RouteResult tells the routing service how a send ended.
type RouteResult struct {
	Upstream string
	// Ticket is the one of the RouteChoice.
	Ticket uint64
	// Unsent is true if the order never left the router, so that the agent
	// will not count it in Load.SeenOrders.
	Unsent     bool
	Cache      CacheUse
	CostTokens uint32
	Failure    *Failure
	FirstChunk time.Duration
	Total      time.Duration
}

// Routing chooses upstreams. Every Route that succeeds must be followed by
// one Done.
type Routing interface {
	Route(ctx context.Context, q RouteQuery) (RouteChoice, *Failure)
	Done(r RouteResult)
}

// Dispatcher carries one request through routing, sends and retries to a
// whole answer or a typed failure. Front ends encode and decode only.
type Dispatcher interface {
	Dispatch(ctx context.Context, r Request, s Sink)
	// IssueKey binds a new idempotency key to an upstream.
	IssueKey(ctx context.Context, member, model, service string) (string, *Failure)
	// Outcome answers what became of a key.
	Outcome(ctx context.Context, member, service, key string) (Outcome, *Failure)
}

// Request is a caller's request, free of its transport.
type Request struct {
	ID     string
	Member string
	// Key is the caller's idempotency key, or empty.
	Key        string
	Idempotent bool
	Model      string
	Service    string
	Method     string
	Path       string
	Headers    []Header
	Body       []byte
	Prefix     []uint64
	CostTokens uint32
	Priority   int32
	Deadline   time.Duration
	Stream     bool
	ResumeFrom uint64
	// Fingerprint identifies the content across resends.
	Fingerprint uint64
	// MaxSends bounds the sends of the request, 0 for the dispatcher's own bound.
	MaxSends int
	// Unbound requests are told apart by their ID alone, so that no idempotency
	// key is bound to an upstream for them.
	Unbound bool
}

// Work is the agent's sole entry point to its upstream.
type Work interface {
	// Execute runs an order, or refuses it, and closes the sink with End.
	// Ending ctx means that the router lost interest or its link.
	Execute(ctx context.Context, o Order, s Sink)
	// Outcome answers a query from the ledger.
	Outcome(ctx context.Context, q OutcomeQuery) Outcome
	// Load returns the present report and a channel that is closed once a newer
	// one is published.
	Load() (Load, <-chan struct{})
	// MergeSuspicions takes crash reports from a router.
	MergeSuspicions(suspicions []Suspicion)
	// CacheChanges returns the last changes of the engine's prefix cache. The
	// slice must not be changed.
	CacheChanges() []CacheChange
	// Incarnation returns the incarnation of this process.
	Incarnation() Incarnation
	// Elapsed returns the agent's own elapsed time, as bound keys embed it.
	Elapsed() time.Duration
}

// Engine is the adapter of one upstream.
type Engine interface {
	// Run sends the order to the upstream and streams its answer into the
	// sink, except for End, which the caller writes. An error of type
	// *Failure says whether the request ran.
	Run(ctx context.Context, o Order, s Sink) (Usage, *Failure)
}

// Usage is what a run consumed.
type Usage struct {
	Chunks          uint64
	PromptTokens    uint32
	GeneratedTokens uint32
	FirstChunk      time.Duration
	Total           time.Duration
	// EngineIncarnation is that of the upstream that answered, 0 if it does
	// not say.
	EngineIncarnation uint64
}

// Counter counts events since the start of the process.
type Counter interface {
	Add(delta int64)
}

// Metrics hands out the counters and gauges listed in the table of metrics.
type Metrics interface {
	// Counter returns the counter of that name; label may be empty.
	Counter(name, label string) Counter
	// Gauge publishes a value read at each scrape.
	Gauge(name string, read func() int64)
	// Observe records a duration in the histogram of that name and label.
	Observe(name, label string, d time.Duration)
}

// DecisionKind says which lines are given up first where there are too many.
type DecisionKind uint8

// Kinds of decision. Routine ones are given up first.
const (
	DecisionRoutine DecisionKind = iota
	DecisionFailed
)

// Logger writes structured lines. It never waits for whoever reads them.
type Logger interface {
	// Change writes a line for a change of state.
	Change(event string, fields Fields)
	// Decision writes a line for a decision that touches a request.
	Decision(event string, kind DecisionKind, fields Fields)
}

// Fields are the typed details of a log line.
type Fields map[string]any

// Trust holds the keys between processes.
type Trust interface {
	// Client returns the configuration for a link to a process of a role, nil
	// where the settings allow plain links.
	Client(role string) *tls.Config
	// Server returns the configuration for accepting links, nil as above.
	Server() *tls.Config
	// Peer returns the role and name in the certificate of a connection.
	Peer(net.Conn) (PeerIdentity, *TrustError)
}

// PeerIdentity is what a certificate says of a process.
type PeerIdentity struct {
	// Role is RoleRouter or RoleAgent.
	Role string
	Name string
}

// Roles of processes, as in the organizational unit of a certificate.
const (
	RoleRouter = "router"
	RoleAgent  = "agent"
)

// TrustError reports a connection whose certificate does not allow its use.
type TrustError struct{ Reason string }

func (e *TrustError) Error() string { return "connection refused: " + e.Reason }

// Readiness is implemented by services that can hold back /readyz.
type Readiness interface {
	// Ready returns nil, or why the process must not get traffic.
	Ready() error
}
