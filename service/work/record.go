package work

import (
	"bytes"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
)

const (
	eventDataPrefix  = "data: "
	replayChunkBytes = 32 << 10
)

// recorder forwards an answer and keeps a copy for the ledger. It continues if the
// router disconnects, so that the outcome is not lost.
type recorder struct {
	sink        api.Sink
	maxBytes    int
	answer      ledger.Response
	eventStream bool
	// routerLost is set once the router no longer accepts the answer.
	routerLost bool
	// truncated is set once the answer exceeds maxBytes.
	truncated bool
}

// Head records and forwards status and headers.
func (r *recorder) Head(h api.Head) error {
	r.answer.Status, r.answer.Headers = h.Status, h.Headers
	r.eventStream = api.IsEventStream(h.Headers)
	r.routerLost = r.sink.Head(h) != nil
	return nil
}

// Chunk records and forwards the payload. Event streams are recorded in their text
// format.
func (r *recorder) Chunk(c api.Chunk) error {
	r.appendPayload(c.Payload)
	if !r.routerLost {
		r.routerLost = r.sink.Chunk(c) != nil
	}
	return nil
}

func (r *recorder) appendPayload(payload []byte) {
	if r.truncated {
		return
	}
	if r.eventStream {
		r.answer.Body = appendEvent(r.answer.Body, payload)
	} else {
		r.answer.Body = append(r.answer.Body, payload...)
	}
	// One byte beyond the limit is kept, so that the ledger detects that the answer
	// is too large.
	if len(r.answer.Body) > r.maxBytes {
		r.answer.Body, r.truncated = r.answer.Body[:r.maxBytes+1], true
	}
}

func appendEvent(body, payload []byte) []byte {
	for line := range bytes.SplitSeq(payload, []byte("\n")) {
		body = append(body, eventDataPrefix...)
		body = append(body, line...)
		body = append(body, '\n')
	}
	return append(body, '\n')
}

// End does nothing: the service ends the sink once the ledger has the answer.
func (r *recorder) End(api.End) {}

// replay sends a recorded outcome, without the chunks that the caller already has.
func replay(o api.Order, outcome api.Outcome, sink api.Sink) api.End {
	if outcome.Failure != nil {
		return api.End{Failure: outcome.Failure}
	}
	if !outcome.BodyKept {
		return api.End{Failure: api.NewFailure(api.CodeAnswerNotKept, api.Ran, "the request ran, but its answer was too large to record")}
	}
	if err := sink.Head(api.Head{Status: outcome.Status, Headers: outcome.Headers, Recorded: true}); err != nil {
		return api.End{Failure: &api.Failure{Code: api.CodeCanceled, Run: api.Ran, Err: err}}
	}
	var seq uint64
	for _, payload := range splitBody(outcome) {
		seq++
		if seq <= o.ResumeFrom {
			continue
		}
		if err := sink.Chunk(api.Chunk{Seq: seq, Payload: payload}); err != nil {
			return api.End{Failure: &api.Failure{Code: api.CodeCanceled, Run: api.Ran, Err: err}}
		}
	}
	return api.End{Chunks: seq}
}

// splitBody splits a recorded body into chunks. Event streams are split at the
// original events, so that they can be resumed after any of them.
func splitBody(o api.Outcome) [][]byte {
	var chunks [][]byte
	if !api.IsEventStream(o.Headers) {
		for body := o.Body; len(body) > 0; {
			n := min(len(body), replayChunkBytes)
			chunks = append(chunks, body[:n])
			body = body[n:]
		}
		return chunks
	}
	for event := range bytes.SplitSeq(o.Body, []byte("\n\n")) {
		if len(event) == 0 {
			continue
		}
		lines := bytes.Split(event, []byte("\n"))
		for i := range lines {
			lines[i] = bytes.TrimPrefix(lines[i], []byte(eventDataPrefix))
		}
		chunks = append(chunks, bytes.Join(lines, []byte("\n")))
	}
	return chunks
}
