package wire

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// ProtocolVersion is incremented when the meaning of a field changes. A process
// responds to a lower version with messages of that version.
const ProtocolVersion = 1

const (
	// MaxMessageBytes is the maximum size of one message on a link.
	MaxMessageBytes = 16 << 20
	// HeartbeatInterval is the longest time between two messages of an agent on a
	// link.
	HeartbeatInterval = 2 * time.Second
	// HeartbeatTimeout is the time without a message after which a router closes a
	// link.
	HeartbeatTimeout = 3 * HeartbeatInterval
)

// FromOrder encodes an order.
func FromOrder(o api.Order) *Order {
	return &Order{
		Request:        o.AttemptID.RequestID,
		Attempt:        o.AttemptID.Number,
		Member:         o.Member,
		Key:            o.Key,
		BodyHash:       o.BodyHash,
		Idempotent:     o.Idempotent,
		Upstream:       o.Upstream,
		Incarnation:    uint64(o.Incarnation),
		Revision:       o.Revision,
		DeadlineLeftNs: nanos(o.DeadlineLeft),
		Priority:       o.Priority,
		CostTokens:     o.CostTokens,
		Fingerprint:    o.Fingerprint,
		Model:          o.Model,
		Method:         o.Method,
		Path:           o.Path,
		Headers:        fromHeaders(o.Headers),
		Body:           o.Body,
		ResumeFrom:     o.ResumeFrom,
		WindowBytes:    o.WindowBytes,
		Isolate:        o.Isolate,
		AgentElapsedNs: nanos(o.AgentElapsed),
		ShareFactor:    o.ShareFactor,
	}
}

// ToOrder decodes an order.
func ToOrder(m *Order) api.Order {
	return api.Order{
		AttemptID:    attemptID(m),
		Member:       m.GetMember(),
		Key:          m.GetKey(),
		BodyHash:     m.GetBodyHash(),
		Idempotent:   m.GetIdempotent(),
		Upstream:     m.GetUpstream(),
		Incarnation:  api.Incarnation(m.GetIncarnation()),
		Revision:     m.GetRevision(),
		DeadlineLeft: time.Duration(m.GetDeadlineLeftNs()),
		Priority:     m.GetPriority(),
		CostTokens:   m.GetCostTokens(),
		Fingerprint:  m.GetFingerprint(),
		Model:        m.GetModel(),
		Method:       m.GetMethod(),
		Path:         m.GetPath(),
		Headers:      toHeaders(m.GetHeaders()),
		Body:         m.GetBody(),
		ResumeFrom:   m.GetResumeFrom(),
		WindowBytes:  m.GetWindowBytes(),
		Isolate:      m.GetIsolate(),
		AgentElapsed: time.Duration(m.GetAgentElapsedNs()),
		ShareFactor:  m.GetShareFactor(),
	}
}

// FromHead encodes the head of a response.
func FromHead(h api.Head) *Head {
	return &Head{
		Request:  h.AttemptID.RequestID,
		Attempt:  h.AttemptID.Number,
		Status:   uint32(h.Status),
		Headers:  fromHeaders(h.Headers),
		Recorded: h.Recorded,
	}
}

// ToHead decodes the head of a response.
func ToHead(m *Head) api.Head {
	return api.Head{
		AttemptID: attemptID(m),
		Status:    int(m.GetStatus()),
		Headers:   toHeaders(m.GetHeaders()),
		Recorded:  m.GetRecorded(),
	}
}

// FromChunk encodes a chunk.
func FromChunk(c api.Chunk) *Chunk {
	return &Chunk{
		Request: c.AttemptID.RequestID,
		Attempt: c.AttemptID.Number,
		Kind:    uint32(c.Kind),
		Seq:     c.Seq,
		Payload: c.Payload,
		Tokens:  c.Tokens,
	}
}

// ToChunk decodes a chunk.
func ToChunk(m *Chunk) api.Chunk {
	return api.Chunk{
		AttemptID: attemptID(m),
		Kind:      api.ChunkKind(m.GetKind()),
		Seq:       m.GetSeq(),
		Payload:   m.GetPayload(),
		Tokens:    m.GetTokens(),
	}
}

// FromEnd encodes the end of a response.
func FromEnd(e api.End) *End {
	return &End{
		Request: e.AttemptID.RequestID,
		Attempt: e.AttemptID.Number,
		Chunks:  e.Chunks,
		Failure: FromFailure(e.Failure),
	}
}

// ToEnd decodes the end of a response.
func ToEnd(m *End) api.End {
	return api.End{
		AttemptID: attemptID(m),
		Chunks:    m.GetChunks(),
		Failure:   ToFailure(m.GetFailure()),
	}
}

// FromFailure encodes a failure. It returns nil for nil.
func FromFailure(f *api.Failure) *Failure {
	if f == nil {
		return nil
	}
	detail := f.Detail
	if detail == "" && f.Err != nil {
		detail = f.Err.Error()
	}
	return &Failure{
		Code:         string(f.Code),
		Run:          string(f.Run),
		Detail:       detail,
		RetryAfterNs: nanos(f.RetryAfter),
		BoundKey:     f.BoundKey,
		Revision:     f.Revision,
		Crash:        uint32(f.Crash),
	}
}

// ToFailure decodes a failure. It returns nil for nil. A run state that this build
// does not know decodes as unknown.
func ToFailure(m *Failure) *api.Failure {
	if m == nil {
		return nil
	}
	run := api.RunState(m.GetRun())
	if run != api.Ran && run != api.NotRun {
		run = api.RunUnknown
	}
	return &api.Failure{
		Code:       api.Code(m.GetCode()),
		Run:        run,
		Detail:     m.GetDetail(),
		RetryAfter: time.Duration(m.GetRetryAfterNs()),
		BoundKey:   m.GetBoundKey(),
		Revision:   m.GetRevision(),
		Crash:      api.CrashEvidence(m.GetCrash()),
	}
}

// FromOutcome encodes the reply to the query with the given ID.
func FromOutcome(id uint64, o api.Outcome) *Outcome {
	return &Outcome{
		Id:       id,
		Run:      string(o.Run),
		Done:     o.Done,
		Status:   uint32(o.Status),
		Headers:  fromHeaders(o.Headers),
		Body:     o.Body,
		BodyKept: o.BodyKept,
		Failure:  FromFailure(o.Failure),
	}
}

// ToOutcome decodes the reply to a query.
func ToOutcome(m *Outcome) api.Outcome {
	run := api.RunState(m.GetRun())
	if run != api.Ran && run != api.NotRun {
		run = api.RunUnknown
	}
	return api.Outcome{
		Run:      run,
		Done:     m.GetDone(),
		Status:   int(m.GetStatus()),
		Headers:  toHeaders(m.GetHeaders()),
		Body:     m.GetBody(),
		BodyKept: m.GetBodyKept(),
		Failure:  ToFailure(m.GetFailure()),
	}
}

// FromQuery encodes a query with an ID. The reply has the same ID.
func FromQuery(id uint64, q api.OutcomeQuery) *Query {
	m := &Query{
		Id:             id,
		Upstream:       q.Upstream,
		Member:         q.Member,
		Key:            q.Key,
		Incarnation:    uint64(q.Incarnation),
		AgentElapsedNs: nanos(q.AgentElapsed),
	}
	if q.AttemptID != nil {
		m.Request, m.Attempt = q.AttemptID.RequestID, q.AttemptID.Number
	}
	return m
}

// ToQuery decodes a query.
func ToQuery(m *Query) api.OutcomeQuery {
	q := api.OutcomeQuery{
		Upstream:     m.GetUpstream(),
		Member:       m.GetMember(),
		Key:          m.GetKey(),
		Incarnation:  api.Incarnation(m.GetIncarnation()),
		AgentElapsed: time.Duration(m.GetAgentElapsedNs()),
	}
	if m.GetRequest() != "" {
		id := attemptID(m)
		q.AttemptID = &id
	}
	return q
}

// FromLoad encodes a load report.
func FromLoad(l api.Load) *Load {
	return &Load{
		Upstream:      l.Upstream,
		Incarnation:   uint64(l.Incarnation),
		ElapsedNs:     nanos(l.Elapsed),
		Revision:      l.Revision,
		Running:       l.Running,
		Queued:        l.Queued,
		Tokens:        l.Tokens,
		LimitRequests: l.LimitRequests,
		LimitTokens:   l.LimitTokens,
		Cold:          l.Cold,
		Accepting:     l.Accepting,
		SeenOrders:    l.SeenOrders,
		StepTimeNs:    nanos(l.StepTime),
		FirstTokenNs:  nanos(l.FirstToken),
		Served:        l.Served,
		Waiting:       l.Waiting,
		ServedSeq:     l.ServedSeq,
		PrefixAdded:   l.PrefixAdded,
		PrefixDropped: l.PrefixDropped,
		CacheSeq:      l.CacheSeq,
		Suspicions:    FromSuspicions(l.Suspicions),
	}
}

// ToLoad decodes a load report.
func ToLoad(m *Load) api.Load {
	return api.Load{
		Upstream:      m.GetUpstream(),
		Incarnation:   api.Incarnation(m.GetIncarnation()),
		Elapsed:       time.Duration(m.GetElapsedNs()),
		Revision:      m.GetRevision(),
		Running:       m.GetRunning(),
		Queued:        m.GetQueued(),
		Tokens:        m.GetTokens(),
		LimitRequests: m.GetLimitRequests(),
		LimitTokens:   m.GetLimitTokens(),
		Cold:          m.GetCold(),
		Accepting:     m.GetAccepting(),
		SeenOrders:    m.GetSeenOrders(),
		StepTime:      time.Duration(m.GetStepTimeNs()),
		FirstToken:    time.Duration(m.GetFirstTokenNs()),
		Served:        m.GetServed(),
		Waiting:       m.GetWaiting(),
		ServedSeq:     m.GetServedSeq(),
		PrefixAdded:   m.GetPrefixAdded(),
		PrefixDropped: m.GetPrefixDropped(),
		CacheSeq:      m.GetCacheSeq(),
		Suspicions:    ToSuspicions(m.GetSuspicions()),
	}
}

// attemptMessage is implemented by the messages that belong to an attempt.
type attemptMessage interface {
	GetRequest() string
	GetAttempt() uint32
}

func attemptID(m attemptMessage) api.AttemptID {
	return api.AttemptID{RequestID: m.GetRequest(), Number: m.GetAttempt()}
}

// nanos encodes a duration in nanoseconds, and a negative one as 0.
func nanos(d time.Duration) uint64 { return uint64(max(d, 0)) }

func fromHeaders(headers []api.Header) []*Header {
	out := make([]*Header, len(headers))
	for i, h := range headers {
		out[i] = &Header{Name: h.Name, Value: h.Value}
	}
	return out
}

func toHeaders(headers []*Header) []api.Header {
	out := make([]api.Header, len(headers))
	for i, m := range headers {
		out[i] = api.Header{Name: m.GetName(), Value: m.GetValue()}
	}
	return out
}
