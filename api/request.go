package api

import "time"

// Incarnation tells one start of a process from the next. It is random.
type Incarnation uint64

// SendID names one send of a request: the request and the attempt.
type SendID struct {
	// Request is unique over all routers.
	Request string
	// Attempt counts the sends of one router for this request, from 1.
	Attempt uint32
}

// Header is one header line of a request or an answer.
type Header struct {
	Name  string
	Value string
}

// Order asks an agent to run a request on its upstream.
type Order struct {
	Send SendID
	// Member is the guild member that pays for the request.
	Member string
	// Key is the idempotency key, empty for idempotent requests.
	Key string
	// BodyHash tells a repeated key from a reused one.
	BodyHash   uint64
	Idempotent bool
	// Upstream and Incarnation say which agent process the order is for. A
	// zero incarnation accepts any.
	Upstream    string
	Incarnation Incarnation
	// AgentElapsed is the agent's elapsed time as the router last heard it
	// before this send. It dates the send on the agent's own clock.
	AgentElapsed time.Duration
	// ShareFactor multiplies the member's share at this agent, zero for 1.
	ShareFactor float64
	// Revision is the configuration revision the router acted on.
	Revision uint64
	// DeadlineLeft is the time the caller still waits, from the moment of sending.
	DeadlineLeft time.Duration
	// Priority is higher for more urgent work, 0 by default.
	Priority int32
	// CostTokens estimates prompt tokens plus tokens to generate.
	CostTokens uint32
	// Fingerprint identifies the content across resends.
	Fingerprint uint64
	Model       string
	Method      string
	Path        string
	Headers     []Header
	Body        []byte
	// ResumeFrom is the number of chunks the caller already has.
	ResumeFrom uint64
	// WindowBytes is the first flow-control credit.
	WindowBytes uint32
	// Isolate asks the agent to run nothing else beside the request.
	Isolate bool
}

// Head starts an answer.
type Head struct {
	Send    SendID
	Status  int
	Headers []Header
	// Recorded is true for an answer repeated from the ledger.
	Recorded bool
}

// Chunk is one piece of an answer: an event of a stream or a piece of a body.
type Chunk struct {
	Send SendID
	// Seq counts the chunks of this answer from 1.
	Seq     uint64
	Payload []byte
	// Tokens is the number of tokens the chunk carries.
	Tokens uint32
}

// End closes an answer. Failure is nil if and only if the answer is whole.
type End struct {
	Send SendID
	// Chunks is the number of chunks of the whole answer.
	Chunks  uint64
	Failure *Failure
	// Upstream is the one that the last send went to, set by the dispatcher.
	Upstream string
}

// Sink receives one answer. The calls come from one goroutine, in order:
// Head at most once, then Chunk, then End exactly once. Chunk may block to
// hold the sender back; its error means that nobody wants the rest.
type Sink interface {
	Head(Head) error
	Chunk(Chunk) error
	End(End)
}

// Binder is a sink that wants to control the exchange it belongs to. Bind is
// called before anything else.
type Binder interface {
	Bind(Exchange)
}

// Flusher is a sink that buffers. Flush is called when no further event of the
// answer is at hand.
type Flusher interface {
	Flush()
}

// Outcome is what a ledger knows about a key or a send.
type Outcome struct {
	Run RunState
	// Done is false while the request is queued or running.
	Done    bool
	Status  int
	Headers []Header
	Body    []byte
	// BodyKept is false if the answer was too large to keep.
	BodyKept bool
	Failure  *Failure
}

// OutcomeQuery asks an agent what became of a key or of one send.
type OutcomeQuery struct {
	Upstream string
	Member   string
	Key      string
	// Send is set by a router that lost its link. The agent then makes sure
	// that a send it has not seen will never start.
	Send *SendID
	// Incarnation and AgentElapsed repeat what the order of that send carried.
	Incarnation  Incarnation
	AgentElapsed time.Duration
}

// Load is what an agent says about its upstream.
type Load struct {
	Upstream    string
	Incarnation Incarnation
	// Elapsed is the agent's own elapsed time, echoed in bound keys.
	Elapsed  time.Duration
	Revision uint64
	// Running and Queued count requests of all routers; Tokens is their
	// estimated cost.
	Running uint32
	Queued  uint32
	Tokens  uint64
	// LimitRequests and LimitTokens are the present bounds.
	LimitRequests uint32
	LimitTokens   uint64
	Cold          bool
	Accepting     bool
	// SeenOrders is the number of orders received on this link, so that the
	// router does not count its own sends twice.
	SeenOrders uint64
	// StepTime is the smoothed time of an engine step.
	StepTime time.Duration
	// FirstToken is the smoothed time from start to first chunk.
	FirstToken time.Duration
	// Served lists the cost served for each member since the agent started.
	Served map[string]uint64
	// Waiting lists the cost of each member's queued requests, so that a
	// member that wants more is told from one that asks for little.
	Waiting map[string]uint64
	// ServedSeq numbers the values of Served and Waiting, which a report
	// leaves out if the last one on the same link had them.
	ServedSeq uint64
	// PrefixAdded and PrefixDropped are cache events since the last report.
	PrefixAdded   []uint64
	PrefixDropped []uint64
	// CacheSeq is the number of cache events of the engine so far, including
	// those of this report, so that a gap shows.
	CacheSeq uint64
	// Suspicions are news of crashes, to be passed on.
	Suspicions []Suspicion
}
