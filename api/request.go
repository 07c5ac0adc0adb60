package api

import "time"

// Incarnation identifies one run of a process, from start to end. It is a random
// number.
type Incarnation uint64

// AttemptID identifies one attempt of a request.
type AttemptID struct {
	// RequestID is the request ID, unique over all routers.
	RequestID string
	// Number is the sequence number of the attempt at its router, from 1.
	Number uint32
}

// Header is one header field of a request or a response.
type Header struct {
	Name  string
	Value string
}

// Order asks an agent to run a request on its upstream.
type Order struct {
	AttemptID AttemptID
	// Member is the guild member that the request is charged to.
	Member string
	// Key is the idempotency key, empty for idempotent requests.
	Key string
	// BodyHash distinguishes a retry under the same key from another request that
	// reuses the key.
	BodyHash   uint64
	Idempotent bool
	// Upstream and Incarnation identify the agent process that the order is for.
	// A zero incarnation matches any.
	Upstream    string
	Incarnation Incarnation
	// AgentElapsed is the agent's elapsed time in the last message that the router
	// received before this attempt. The attempt started no earlier than this on the
	// agent's clock.
	AgentElapsed time.Duration
	// ShareFactor multiplies the member's share at this agent; zero means 1.
	ShareFactor float64
	// Revision is the configuration revision that was active at the router.
	Revision uint64
	// DeadlineLeft is the time until the caller's deadline, when the order was sent.
	DeadlineLeft time.Duration
	// Priority is higher for more urgent requests, 0 by default.
	Priority int32
	// CostTokens is the estimated number of prompt and completion tokens.
	CostTokens uint32
	// Fingerprint is a hash that identifies the content across retries.
	Fingerprint uint64
	Model       string
	Method      string
	Path        string
	Headers     []Header
	Body        []byte
	// ResumeFrom is the number of chunks that the caller has already received.
	ResumeFrom uint64
	// WindowBytes is the initial flow-control credit in bytes.
	WindowBytes uint32
	// Isolate asks the agent to run no other request at the same time.
	Isolate bool
}

// Head is the start of a response: status and headers.
type Head struct {
	AttemptID AttemptID
	// Status is that of a final response, see CheckStatus.
	Status  int
	Headers []Header
	// Recorded is true for a response replayed from the ledger.
	Recorded bool
}

// ChunkKind states what a chunk is to a response that another attempt may resume.
type ChunkKind uint8

const (
	// ChunkNumbered is a piece with a position, after which the response can be resumed.
	ChunkNumbered ChunkKind = iota
	// ChunkUnnumbered is a piece without a position of its own, such as an event without an
	// ID. Right after it, the response can't be resumed: whatever position another attempt
	// began after, the piece could be missing or come twice.
	ChunkUnnumbered
	// ChunkFiller holds no piece of the response, such as a comment in an event stream that
	// keeps a connection alive. It may be lost or come twice.
	ChunkFiller
)

// Chunk is one piece of a response: an event of a stream or a part of a body.
type Chunk struct {
	AttemptID AttemptID
	Kind      ChunkKind
	// Seq numbers the chunks of kind ChunkNumbered of the complete response from 1. A
	// resumed response starts at Order.ResumeFrom+1. In a chunk of another kind it is the
	// number of the last one before it.
	Seq     uint64
	Payload []byte
	// Tokens is the number of tokens in the chunk.
	Tokens uint32
}

// End is the end of a response. Failure is nil if and only if the response is
// complete.
type End struct {
	AttemptID AttemptID
	// Chunks is the number of numbered chunks of the complete response, including those
	// before Order.ResumeFrom.
	Chunks  uint64
	Failure *Failure
	// Upstream is the upstream of the last attempt, set by the dispatcher.
	Upstream string
}

// Sink receives one response. All calls come from one goroutine, in this order:
// Head at most once, Chunk any number of times, End exactly once. Chunk may block
// to apply backpressure. An error from Head or Chunk means that the rest of the
// response is not wanted.
type Sink interface {
	Head(Head) error
	Chunk(Chunk) error
	End(End)
}

// Binder is implemented by sinks that cancel their exchange or grant it credit.
// Bind is called before any method of Sink.
type Binder interface {
	Bind(Exchange)
}

// Flusher is implemented by sinks that buffer. Flush is called when no further
// event of the response is pending.
type Flusher interface {
	Flush()
}

// Outcome is the state of an idempotency key or of an attempt in the ledger.
type Outcome struct {
	Run RunState
	// Done is false while the request is queued or running.
	Done    bool
	Status  int
	Headers []Header
	Body    []byte
	// BodyKept is false if the body was too large to record.
	BodyKept bool
	Failure  *Failure
}

// OutcomeQuery asks an agent for the outcome of an idempotency key or of one
// attempt.
type OutcomeQuery struct {
	Upstream string
	Member   string
	Key      string
	// AttemptID is set by a router that lost its link during the attempt. If the
	// agent has not received that attempt, it guarantees that the attempt never
	// starts.
	AttemptID *AttemptID
	// Incarnation and AgentElapsed are those of the order of the attempt.
	Incarnation  Incarnation
	AgentElapsed time.Duration
}

// Load is an agent's report of the load on its upstream.
type Load struct {
	Upstream    string
	Incarnation Incarnation
	// Elapsed is the agent's own elapsed time. Bound keys embed it.
	Elapsed  time.Duration
	Revision uint64
	// Running and Queued count the requests of all routers. Tokens is their
	// estimated cost.
	Running uint32
	Queued  uint32
	Tokens  uint64
	// LimitRequests and LimitTokens are the current concurrency limits.
	LimitRequests uint32
	LimitTokens   uint64
	// Cold is true during a cold start.
	Cold bool
	// Accepting is false while the agent refuses all new requests.
	Accepting bool
	// SeenOrders is the number of orders received on this link. With it the router
	// avoids counting its own requests twice.
	SeenOrders uint64
	// StepTime is the smoothed duration of an engine step.
	StepTime time.Duration
	// FirstToken is the smoothed time from the start of a request to its first chunk.
	FirstToken time.Duration
	// Served is the cost in tokens served for each member since the agent started.
	Served map[string]uint64
	// Waiting is the cost in tokens of each member's queued requests. It
	// distinguishes a member with a backlog from one with little demand.
	Waiting map[string]uint64
	// ServedSeq changes with the values of Served and Waiting. A report omits both
	// if they are the same as in the last report on the link.
	ServedSeq uint64
	// PrefixAdded and PrefixDropped are the hashes of prompt blocks added to and
	// evicted from the prefix cache since the last report.
	PrefixAdded   []uint64
	PrefixDropped []uint64
	// CacheSeq numbers the cache events since the agent started. It is the number of the
	// last one of this report. A gap means that events were lost, or that the engine
	// restarted.
	CacheSeq uint64
	// Suspicions are new crash reports, which the router forwards.
	Suspicions []Suspicion
}
