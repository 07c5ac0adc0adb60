package frontend

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idempotency"
	"github.com/mulberryfork/mulberryfork/decide/prompt"
)

// Request headers of callers, and limits of requests.
const (
	headerKey         = "Idempotency-Key"
	headerIdempotent  = "X-Idempotent"
	headerTimeout     = "X-Request-Timeout"
	headerPriority    = "X-Priority"
	headerRequestID   = "X-Request-Id"
	headerLastEventID = "Last-Event-ID"

	maxPriority = 9
	// plainCostTokens is the cost of a call to a plain service.
	plainCostTokens = 1
)

func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// completionBody holds the fields of a completion request that the router uses.
type completionBody struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`

	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// promptText returns the prompt without the other options, so that requests that differ
// only in those share prefixes.
func (c completionBody) promptText() []byte {
	if c.Messages != nil {
		return c.Messages
	}
	return c.Prompt
}

// maxOutputTokens returns the request's limit of generated tokens, or the model's limit
// if the request sets none.
func (c completionBody) maxOutputTokens(m api.Model) int {
	for _, n := range []int{c.MaxCompletionTokens, c.MaxTokens} {
		if n > 0 {
			return n
		}
	}
	return m.MaxOutputTokens
}

func (s *service) serveCompletion(w http.ResponseWriter, r *http.Request, caller api.Caller) {
	s.decodeAndServe(w, r, caller, s.completionRequest)
}

// decodeAndServe reads the body of a request, decodes the request and serves it.
func (s *service) decodeAndServe(w http.ResponseWriter, r *http.Request, caller api.Caller,
	decode func(*http.Request, api.Caller, []byte) (api.Request, *api.Failure)) {
	s.withBody(w, r, caller, func(body []byte) {
		request, failure := decode(r, caller, body)
		if failure != nil {
			s.fail(w, failure)
			return
		}
		s.serve(w, r, request)
	})
}

// withBody reads the body of a request and calls use with it, which must not keep it.
func (s *service) withBody(w http.ResponseWriter, r *http.Request, caller api.Caller, use func(body []byte)) {
	body := s.connections.NewBody(r)
	defer body.Release()
	data, failure := body.ReadFor(caller.Member, w, r, s.settings.Limits.BodyBytes, time.Duration(s.settings.Limits.RequestTimeout))
	if failure != nil {
		body.Release()
		s.fail(w, failure)
		body.Discard(w, r)
		return
	}
	use(data)
}

func (s *service) completionRequest(r *http.Request, caller api.Caller, body []byte) (api.Request, *api.Failure) {
	request, failure := s.baseRequest(r, caller, body)
	if failure != nil {
		return request, failure
	}
	var c completionBody
	if err := json.Unmarshal(request.Body, &c); err != nil {
		return request, badRequest("the body is not a JSON object: " + err.Error())
	}
	if c.Model == "" {
		return request, badRequest("model is missing")
	}
	snap := s.store.Current()
	if snap == nil {
		return request, api.NewFailure(api.CodeNotReady, api.NotRun, "no configuration yet")
	}
	model, ok := snap.Config.Models[c.Model]
	if !ok {
		return request, api.NewFailure(api.CodeUnknownModel, api.NotRun, "no model "+c.Model)
	}
	request.Model, request.Stream = c.Model, c.Stream
	request.Idempotent = idempotency.ForModel(model, idempotencyMark(r))
	request.PrefixHashes = prompt.PrefixHashes(c.Model, c.promptText())
	request.CostTokens = prompt.EstimateTokens(len(request.Body), c.maxOutputTokens(model))
	return request, nil
}

func (s *service) servePlain(w http.ResponseWriter, r *http.Request, caller api.Caller) {
	s.decodeAndServe(w, r, caller, s.plainRequest)
}

func (s *service) plainRequest(r *http.Request, caller api.Caller, body []byte) (api.Request, *api.Failure) {
	request, failure := s.baseRequest(r, caller, body)
	if failure != nil {
		return request, failure
	}
	snap := s.store.Current()
	if snap == nil {
		return request, api.NewFailure(api.CodeNotReady, api.NotRun, "no configuration yet")
	}
	name := chi.URLParam(r, "service")
	plain, ok := snap.Config.Services[name]
	if !ok {
		return request, api.NewFailure(api.CodeUnknownService, api.NotRun, "no service "+name)
	}
	path := servicePath(r, name)
	request.Service = name
	request.Idempotent = idempotency.ForCall(plain, r.Method, path, idempotencyMark(r))
	request.Path = path
	if r.URL.RawQuery != "" {
		request.Path += "?" + r.URL.RawQuery
	}
	request.CostTokens = plainCostTokens
	if plain.Timeout > 0 {
		request.Timeout = min(request.Timeout, time.Duration(plain.Timeout))
	}
	return request, nil
}

// servicePath returns the part of the path after the service name, escaped as the
// caller sent it.
func servicePath(r *http.Request, service string) string {
	return strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+url.PathEscape(service))
}

// baseRequest decodes the parts that all kinds of requests have in common.
func (s *service) baseRequest(r *http.Request, caller api.Caller, body []byte) (api.Request, *api.Failure) {
	deadline, failure := parseTimeout(r.Header.Get(headerTimeout), time.Duration(s.settings.Limits.RequestTimeout))
	if failure != nil {
		return api.Request{}, failure
	}
	priority, failure := parsePriority(r.Header.Get(headerPriority))
	if failure != nil {
		return api.Request{}, failure
	}
	resume, failure := parseLastEventID(r.Header.Get(headerLastEventID))
	if failure != nil {
		return api.Request{}, failure
	}
	id, err := uuid.NewV7()
	if err != nil {
		return api.Request{}, &api.Failure{Code: api.CodeInternal, Run: api.NotRun, Err: err}
	}
	return api.Request{
		ID:          id.String(),
		Member:      caller.Member,
		Key:         r.Header.Get(headerKey),
		Method:      r.Method,
		Path:        r.URL.Path,
		Headers:     forwardedHeaders(r.Header),
		Body:        body,
		Priority:    priority,
		Timeout:     deadline,
		ResumeFrom:  resume,
		Fingerprint: prompt.Fingerprint(caller.Member, r.URL.Path, body),
	}, nil
}

func parsePriority(text string) (int32, *api.Failure) {
	if text == "" {
		return 0, nil
	}
	p, err := strconv.Atoi(text)
	if err != nil || p < -maxPriority || p > maxPriority {
		return 0, badRequest(headerPriority + " must be between -9 and 9")
	}
	return int32(p), nil
}

// parseLastEventID returns the sequence number in an event ID of the form
// "request:sequence". A reconnecting caller sends the ID of the last event that it
// received. The result is 0 if text is empty.
func parseLastEventID(text string) (uint64, *api.Failure) {
	if text == "" {
		return 0, nil
	}
	_, seq, ok := strings.Cut(text, ":")
	n, err := strconv.ParseUint(seq, 10, 64)
	if !ok || err != nil {
		return 0, badRequest(headerLastEventID + " is not an event id sent by this service")
	}
	return n, nil
}

func idempotencyMark(r *http.Request) idempotency.Mark {
	switch strings.ToLower(r.Header.Get(headerIdempotent)) {
	case "true":
		return idempotency.MarkedIdempotent
	case "false":
		return idempotency.MarkedNonIdempotent
	}
	return idempotency.Unmarked
}

// strippedHeaders are the headers that are not forwarded to upstreams: the
// connection-specific headers of RFC 9110 section 7.6.1, and the headers that the router
// handles itself.
var strippedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Authorization": true, "Accept-Encoding": true, "Expect": true,
	headerKey: true, headerIdempotent: true, headerTimeout: true, headerPriority: true,
	headerRequestID: true, "Last-Event-Id": true, "X-Resume-From": true,
}

func forwardedHeaders(h http.Header) []api.Header {
	var forwarded []api.Header
	for name, values := range h {
		if strippedHeaders[name] {
			continue
		}
		for _, v := range values {
			forwarded = append(forwarded, api.Header{Name: name, Value: v})
		}
	}
	return forwarded
}
