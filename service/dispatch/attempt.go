package dispatch

import (
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel/httpclient"
)

// attemptSink receives the response to one attempt. Its mutex prevents a detached
// attempt from writing to the caller at the same time as a later one.
type attemptSink struct {
	delivery *delivery
	parent   *hedgedAttempt
	id       api.AttemptID
	choice   api.RouteChoice
	exchange api.Exchange
	done     chan api.End
	// timeToFirstChunk is the time from the start of the request, not of the attempt, to
	// the attempt's first chunk. It is 0 before that chunk.
	timeToFirstChunk time.Duration
	// receivedBytes is the number of bytes of the response's chunks.
	receivedBytes int64
	// pendingCredit is the number of bytes delivered to the caller for which the
	// agent has not been granted new flow-control credit.
	pendingCredit int

	mu       sync.Mutex
	detached bool
	// callerError is the error of the caller's sink, after which the rest of the response is
	// read to its end.
	callerError error
	// rejected is set if the head is not that of a response, or the response can't continue
	// the one that the caller has in part. The attempt ends with it.
	rejected *api.Failure
}

// Bind sets the exchange. It is called before the first Head, Chunk or End.
func (a *attemptSink) Bind(x api.Exchange) { a.exchange = x }

// DetachedError is returned to the sender of a response whose attempt was
// abandoned or superseded by another attempt.
type DetachedError struct{}

func (*DetachedError) Error() string { return "attempt abandoned or superseded by another attempt" }

// Head forwards the response head to the caller, unless the caller already has the
// head of an earlier attempt. It returns a DetachedError if the attempt was
// abandoned or another attempt produced output first, and a failure if the head has an
// invalid status or field or the response can't continue the earlier one.
func (a *attemptSink) Head(h api.Head) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.detached {
		return a.discard()
	}
	if err := checkHead(h); err != nil {
		a.rejected = &api.Failure{Code: api.CodeUpstreamFailed, Run: api.RunUnknown, Err: err}
		return a.rejected
	}
	if !a.parent.claim(a) {
		return &DetachedError{}
	}
	d := a.delivery
	if !d.assembler.Head(h) {
		if d.headSent && !continuesStream(h) {
			a.rejected = api.NewFailure(api.CodeStreamBroken, api.Ran, "the response that resumes the stream is no stream")
			return a.rejected
		}
		return nil
	}
	d.headSent, d.resumable = true, api.IsEventStream(h.Headers)
	if d.key != "" {
		h.Headers = append(h.Headers, api.Header{Name: keyHeader, Value: d.key})
	}
	return a.handleCallerError(d.sink.Head(h))
}

// discard discards a part of the response to a caller who has left. The exchange goes on if
// the upstream runs the request to its end in any case, so that this end is seen. Otherwise
// it ends with a DetachedError.
func (a *attemptSink) discard() error {
	if a.runsToEnd() {
		return nil
	}
	return &DetachedError{}
}

// runsToEnd reports whether the upstream runs the request to its end without a caller, and
// no agent watches it. An idempotent request is canceled, and a stream ends with its caller.
func (a *attemptSink) runsToEnd() bool {
	r := a.delivery.request
	return r.Unbound && !r.Idempotent && !r.Stream
}

// handleCallerError returns an error of the caller's sink, which ends the exchange. If the
// upstream runs the request to its end, the exchange goes on and handleCallerError returns nil.
func (a *attemptSink) handleCallerError(err error) error {
	if err != nil && a.runsToEnd() {
		a.callerError = err
		return nil
	}
	return err
}

// checkHead returns an error for a head that no response can have.
func checkHead(h api.Head) error {
	if err := api.CheckStatus(h.Status); err != nil {
		return err
	}
	for _, field := range h.Headers {
		if err := httpclient.CheckField(field.Name, field.Value); err != nil {
			return err
		}
	}
	return nil
}

// continuesStream reports whether a response can follow the first part of a stream. The
// body of an error can't.
func continuesStream(h api.Head) bool {
	return h.Status/100 == 2 && api.IsEventStream(h.Headers)
}

// keyHeader is the response header with the request's idempotency key.
const keyHeader = "Idempotency-Key"

// Chunk adds a chunk and forwards all chunks that are now in order. It returns a
// DetachedError if the attempt was abandoned or superseded.
func (a *attemptSink) Chunk(c api.Chunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rejected != nil {
		return a.rejected
	}
	if a.callerError != nil {
		return nil
	}
	if a.detached {
		a.delivery.service.counts.lateChunks.Add(1)
		return a.discard()
	}
	if !a.parent.claim(a) {
		a.delivery.service.counts.lateChunks.Add(1)
		return &DetachedError{}
	}
	a.receivedBytes += int64(len(c.Payload))
	d := a.delivery
	if c.Kind != api.ChunkFiller {
		d.lastEventAt = d.service.clock.Now()
		if a.timeToFirstChunk == 0 {
			a.timeToFirstChunk = d.lastEventAt - d.startedAt
		}
	}
	for _, next := range d.assembler.Chunk(c) {
		if next.Kind != api.ChunkFiller {
			d.unnumbered = next.Kind == api.ChunkUnnumbered
		}
		if err := a.handleCallerError(d.sink.Chunk(next)); err != nil || a.callerError != nil {
			return err
		}
		a.grantCredit(len(next.Payload))
	}
	if f := d.assembler.Failure(); f != nil {
		return f
	}
	return nil
}

// grantCredit grants the agent new flow-control credit once half the window is
// consumed. A grant for each token would double the frames on the link.
func (a *attemptSink) grantCredit(bytes int) {
	a.pendingCredit += bytes
	if a.pendingCredit >= windowBytes/2 {
		a.exchange.GrantCredit(uint32(a.pendingCredit))
		a.pendingCredit = 0
	}
}

// Flush flushes the caller's sink if it buffers.
func (a *attemptSink) Flush() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if f, ok := a.delivery.sink.(api.Flusher); ok && !a.detached {
		f.Flush()
	}
}

// End completes the attempt. Links deliver in order, so a chunk that is missing
// at the end is lost and the response is incomplete. The end of an exchange is evidence also
// if nobody waits for it.
func (a *attemptSink) End(e api.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.detached {
		a.observeEnd(e)
		return
	}
	if a.callerError != nil {
		a.observeEnd(e)
		e = api.End{AttemptID: e.AttemptID, Failure: &api.Failure{Code: api.CodeCanceled, Run: api.Ran, Err: a.callerError}}
	}
	if a.rejected != nil {
		e = api.End{AttemptID: e.AttemptID, Failure: a.rejected}
	}
	if e.Failure != nil && !a.parent.isWinner(a) {
		// Another attempt may still respond, so the assembler stays open.
		a.done <- api.End{Failure: e.Failure}
		return
	}
	if !a.parent.claim(a) {
		return
	}
	assembler := a.delivery.assembler
	assembler.End(e)
	assembler.Break(api.NewFailure(api.CodeStreamBroken, api.RunUnknown, "the response ended with chunks missing"))
	a.done <- api.End{Chunks: assembler.Delivered(), Failure: assembler.Failure()}
}

// observeEnd reports what the end of the exchange shows to routing.
func (a *attemptSink) observeEnd(e api.End) {
	r := a.delivery.request
	end := api.ExchangeEnd{
		RequestID:   r.ID,
		Fingerprint: r.Fingerprint,
		PromptParts: r.PromptParts,
		Upstream:    a.choice.Upstream,
		Incarnation: a.choice.Incarnation,
		Whole:       e.Failure == nil,
	}
	if e.Failure != nil {
		end.Crash = e.Failure.Crash
	}
	if end.Whole || end.Crash != api.NoCrash {
		a.delivery.service.routing.ObserveEnd(end)
	}
}

// detach discards all later output of the attempt. It observes an end that came before and
// that nobody has read.
func (a *attemptSink) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detached = true
	select {
	case e := <-a.done:
		a.observeEnd(e)
	default:
	}
}
