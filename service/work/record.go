package work

import (
	"bytes"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
)

const (
	eventField      = "data: "
	replayedPayload = 32 << 10
)

// recorder passes an answer on and keeps a copy for the ledger. A router that
// no longer listens does not stop it, since the request must not be lost.
type recorder struct {
	next   api.Sink
	bound  int
	answer ledger.Answer
	events bool
	lost   bool
	beyond bool
}

// Head keeps status and headers.
func (r *recorder) Head(h api.Head) error {
	r.answer.Status, r.answer.Headers = h.Status, h.Headers
	r.events = api.IsEventStream(h.Headers)
	r.lost = r.next.Head(h) != nil
	return nil
}

// Chunk keeps the payload, event streams in their own text form.
func (r *recorder) Chunk(c api.Chunk) error {
	r.keep(c.Payload)
	if !r.lost {
		r.lost = r.next.Chunk(c) != nil
	}
	return nil
}

func (r *recorder) keep(payload []byte) {
	if r.beyond {
		return
	}
	if r.events {
		r.answer.Body = appendEvent(r.answer.Body, payload)
	} else {
		r.answer.Body = append(r.answer.Body, payload...)
	}
	// One byte more than the bound is kept, so that the ledger sees that the
	// answer is too large.
	if len(r.answer.Body) > r.bound {
		r.answer.Body, r.beyond = r.answer.Body[:r.bound+1], true
	}
}

func appendEvent(body, payload []byte) []byte {
	for line := range bytes.SplitSeq(payload, []byte("\n")) {
		body = append(body, eventField...)
		body = append(body, line...)
		body = append(body, '\n')
	}
	return append(body, '\n')
}

// End is written by the work service, after the ledger has the answer.
func (r *recorder) End(api.End) {}

// replay sends a recorded outcome. Chunks that the caller has are left out.
func replay(o api.Order, outcome api.Outcome, sink api.Sink) api.End {
	if outcome.Failure != nil {
		return api.End{Failure: outcome.Failure}
	}
	if !outcome.BodyKept {
		return api.End{Failure: api.NewFailure(api.CodeAnswerNotKept, api.Ran, "the request ran; its answer was too large to keep")}
	}
	if err := sink.Head(api.Head{Status: outcome.Status, Headers: outcome.Headers, Recorded: true}); err != nil {
		return api.End{Failure: &api.Failure{Code: api.CodeCanceled, Run: api.Ran, Err: err}}
	}
	var seq uint64
	for _, payload := range payloads(outcome) {
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

// payloads splits a recorded body into chunks. Events keep the boundaries that
// they had, so that a stream can go on after any of them.
func payloads(o api.Outcome) [][]byte {
	var out [][]byte
	if !api.IsEventStream(o.Headers) {
		for body := o.Body; len(body) > 0; {
			n := min(len(body), replayedPayload)
			out = append(out, body[:n])
			body = body[n:]
		}
		return out
	}
	for event := range bytes.SplitSeq(o.Body, []byte("\n\n")) {
		if len(event) == 0 {
			continue
		}
		lines := bytes.Split(event, []byte("\n"))
		for i := range lines {
			lines[i] = bytes.TrimPrefix(lines[i], []byte(eventField))
		}
		out = append(out, bytes.Join(lines, []byte("\n")))
	}
	return out
}
