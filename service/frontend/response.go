package frontend

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel/guard"
)

// serve admits and dispatches a request and writes the response.
func (s *service) serve(w http.ResponseWriter, r *http.Request, request api.Request) {
	s.metrics.Counter("requests", request.Member).Add(1)
	if failure := s.admitWhileStopping(request); failure != nil {
		s.recordSLO(request, api.RequestSummary{Failure: failure})
		s.fail(w, failure)
		return
	}
	release, failure := s.admission.Admit(r.Context(), request.Member, request.Service, request.CostTokens)
	if failure != nil {
		if failure.Code == api.CodeTooManyStreams {
			s.connections.ReportShortage()
		}
		s.recordSLO(request, api.RequestSummary{Failure: failure})
		s.fail(w, failure)
		return
	}
	defer release()
	w.Header().Set(headerRequestID, request.ID)
	ctx, cancel := context.WithTimeoutCause(r.Context(), request.Timeout,
		api.NewFailure(api.CodeDeadlineExceeded, api.RunUnknown, "the deadline passed before the response was complete"))
	defer cancel()
	out := &responseWriter{service: s, writer: w, incoming: r, request: request, startedAt: s.clock.Now()}
	out.lastChunkAt = out.startedAt
	s.dispatcher.Dispatch(ctx, request, out)
}

// responseWriter is the sink that writes a response to the caller.
type responseWriter struct {
	service          *service
	writer           http.ResponseWriter
	incoming         *http.Request
	request          api.Request
	startedAt        time.Duration
	lastChunkAt      time.Duration // startedAt before the first chunk
	headWritten      bool
	eventStream      bool
	chunks           uint64
	buffer           []byte
	status           int
	timeToFirstChunk time.Duration
	gaps             *api.GapHistogram
}

// Head writes the status and the headers.
func (w *responseWriter) Head(h api.Head) error {
	for _, header := range h.Headers {
		w.writer.Header().Add(header.Name, header.Value)
	}
	w.eventStream = api.IsEventStream(h.Headers)
	w.writer.WriteHeader(h.Status)
	w.headWritten, w.status = true, h.Status
	return nil
}

// Chunk writes a server-sent event or a part of a plain body. The ID of an event lets
// the caller resume the stream after it.
func (w *responseWriter) Chunk(c api.Chunk) error {
	w.observeChunk()
	if !w.eventStream {
		_, err := w.writer.Write(c.Payload)
		return err
	}
	w.buffer = w.buffer[:0]
	w.buffer = append(w.buffer, "id: "...)
	w.buffer = append(w.buffer, w.request.ID...)
	w.buffer = append(w.buffer, ':')
	w.buffer = strconv.AppendUint(w.buffer, c.Seq, 10)
	w.buffer = append(w.buffer, '\n')
	w.buffer = appendEvent(w.buffer, c.Payload)
	_, err := w.writer.Write(w.buffer)
	return err
}

// appendEvent appends one server-sent event, with a data field for each line of data.
func appendEvent(buffer, data []byte) []byte {
	for line := range strings.SplitSeq(string(data), "\n") {
		buffer = append(buffer, "data: "...)
		buffer = append(buffer, line...)
		buffer = append(buffer, '\n')
	}
	return append(buffer, '\n')
}

// observeChunk records the time to the first chunk or the gap since the last one.
func (w *responseWriter) observeChunk() {
	now := w.service.clock.Now()
	metric, elapsed := "chunk_gap", now-w.lastChunkAt
	if w.chunks == 0 {
		metric, w.timeToFirstChunk = "first_chunk", elapsed
	} else if w.request.Stream {
		w.countGap(elapsed)
	}
	w.service.metrics.Observe(metric, w.request.Member, elapsed)
	w.lastChunkAt = now
	w.chunks++
}

func (w *responseWriter) countGap(d time.Duration) {
	if w.gaps == nil {
		w.gaps = new(api.GapHistogram)
	}
	w.gaps.Add(d)
}

// recordSLO records the end of a request for the report on service-level objectives.
func (s *service) recordSLO(r api.Request, e api.RequestSummary) {
	if s.sloRecorder == nil {
		return
	}
	e.Member, e.Model, e.Service, e.Streamed = r.Member, r.Model, r.Service, r.Stream
	if snap := s.store.Current(); snap != nil && e.Upstream != "" {
		e.Zone = snap.Config.Upstreams[e.Upstream].Zone
	}
	s.sloRecorder.RecordRequest(e)
}

// Flush sends buffered events to the caller.
func (w *responseWriter) Flush() {
	if w.eventStream {
		_ = http.NewResponseController(w.writer).Flush()
	}
}

// End completes the response. If the request fails after the head was written, the
// response is aborted, so that the caller can't mistake a truncated response for a complete
// one. An event stream gets an error event before that.
func (w *responseWriter) End(e api.End) {
	w.service.metrics.Observe("request_time", w.request.Member, w.service.clock.Now()-w.startedAt)
	w.service.recordSLO(w.request, api.RequestSummary{
		Upstream:   e.Upstream,
		FirstToken: w.timeToFirstChunk,
		Gaps:       w.gaps,
		Status:     w.status,
		Failure:    e.Failure,
	})
	if e.Failure == nil {
		w.service.metrics.Counter("answers_whole", w.request.Member).Add(1)
		return
	}
	w.service.countFailure(e.Failure)
	if !w.headWritten {
		writeFailure(w.writer, e.Failure)
		return
	}
	if w.eventStream {
		_, _ = w.writer.Write(appendEvent([]byte("event: error\n"), encodeFailure(e.Failure)))
		_ = http.NewResponseController(w.writer).Flush()
	}
	guard.Abort(w.incoming)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *service) listModels(w http.ResponseWriter, _ *http.Request, _ api.Caller) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	if snap := s.store.Current(); snap != nil {
		for name := range snap.Config.Models {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "guild"})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, list)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// keyRequest is the body of a request for an idempotency key, which names either a
// service or a model.
type keyRequest struct {
	Service string `json:"service"`
	Model   string `json:"model"`
}

type keyResponse struct {
	Key string `json:"key"`
}

func (s *service) issueKey(w http.ResponseWriter, r *http.Request, caller api.Caller) {
	s.withBody(w, r, caller, func(body []byte) { s.issueKeyFor(w, r, caller, body) })
}

func (s *service) issueKeyFor(w http.ResponseWriter, r *http.Request, caller api.Caller, body []byte) {
	var request keyRequest
	if err := json.Unmarshal(body, &request); err != nil || (request.Service == "") == (request.Model == "") {
		s.fail(w, badRequest("the body must name either a service or a model"))
		return
	}
	key, failure := s.dispatcher.IssueKey(r.Context(), caller.Member, request.Model, request.Service)
	if failure != nil {
		s.fail(w, failure)
		return
	}
	writeJSON(w, keyResponse{Key: key})
}

// outcomeResponse is the JSON body of a response with an outcome.
type outcomeResponse struct {
	Key      string         `json:"key"`
	Run      api.RunState   `json:"run"`
	Done     bool           `json:"done"`
	Status   int            `json:"status,omitempty"`
	BodyKept bool           `json:"body_kept"`
	Body     string         `json:"body,omitempty"`
	Failure  *failureDetail `json:"failure,omitempty"`
}

func (s *service) getOutcome(w http.ResponseWriter, r *http.Request, caller api.Caller) {
	key := chi.URLParam(r, "key")
	o, failure := s.dispatcher.Outcome(r.Context(), caller.Member, r.URL.Query().Get("service"), key)
	if failure != nil && failure.Code == api.CodeKeyMalformed {
		s.fail(w, failure)
		return
	}
	out := outcomeResponse{Key: key, Run: o.Run, Done: o.Done, Status: o.Status, BodyKept: o.BodyKept, Body: string(o.Body)}
	if failure == nil {
		failure = o.Failure
	}
	if failure != nil {
		out.Failure = &failureDetail{Code: failure.Code, Run: failure.Run, Message: failure.Detail}
	}
	writeJSON(w, out)
}
