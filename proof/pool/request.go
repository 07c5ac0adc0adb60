package pool

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/standin/modelengine"
	"github.com/mulberryfork/mulberryfork/standin/plainservice"
)

const (
	minTokens = 2
	maxTokens = 40
	// One in longCompletionEvery completions has longTokens, so that some streams are
	// in flight while processes stop.
	longCompletionEvery = 6
	longTokens          = 250
)

// request is a caller's request and the expected response.
type request struct {
	id, member   string
	method, path string
	body         string
	stream       bool
	idempotent   bool
	// idempotencyHeader is the X-Idempotent header, which overrides the idempotency in
	// the configuration. Empty for none.
	idempotencyHeader string
	// usesKey makes the caller get a bound idempotency key and retry with it.
	usesKey  bool
	service  string
	expected string
	// priority is the X-Priority header. timeout is the X-Request-Timeout header,
	// requestTimeout if 0. competing is that of proof.Attempt.
	priority  int32
	timeout   time.Duration
	competing bool
	// decode returns the content of a response, to be compared with expected.
	decode func(status int, body []byte) string
}

// catalog lists the members, models and routes from which requests are drawn.
type catalog struct {
	members               []string
	models                []string
	idempotent            map[string]bool
	service               string
	readRoute, writeRoute string
}

func newCatalog(l *layout) catalog {
	c := l.config
	m := catalog{
		members:    slices.Sorted(maps.Keys(c.Members)),
		models:     slices.Sorted(maps.Keys(c.Models)),
		idempotent: make(map[string]bool),
		service:    slices.Sorted(maps.Keys(c.Services))[0],
	}
	for name, model := range c.Models {
		m.idempotent[name] = model.Idempotent
	}
	m.readRoute = c.Services[m.service].Idempotent[0]
	m.writeRoute = c.Services[m.service].NonIdempotent[0]
	return m
}

// draw returns a random request with the given ID. The same random source gives the
// same request.
func (c catalog) draw(r *rand.Rand, id string) request {
	q := request{id: id, member: c.members[r.IntN(len(c.members))]}
	switch kind := r.IntN(8); kind {
	case 0, 1, 2, 3:
		c.fillCompletion(r, &q, kind < 2)
	case 4:
		c.fillCompletion(r, &q, r.IntN(2) == 0)
		q.idempotencyHeader, q.idempotent = "false", false
	case 5:
		c.fillServiceCall(&q, c.readRoute, true)
	default:
		c.fillServiceCall(&q, c.writeRoute, false)
		q.usesKey = kind == 7
	}
	return q
}

// fillCompletion fills in a completion request. The stand-in's response is determined
// by the request.
func (c catalog) fillCompletion(r *rand.Rand, q *request, stream bool) {
	model := c.models[r.IntN(len(c.models))]
	tokens := minTokens + r.IntN(maxTokens-minTokens)
	if r.IntN(longCompletionEvery) == 0 {
		tokens = longTokens
	}
	c.fillCompletionOf(q, model, tokens, stream)
}

// fillCompletionOf fills in a completion request to a model.
func (c catalog) fillCompletionOf(q *request, model string, tokens int, stream bool) {
	q.method, q.path, q.stream, q.idempotent = http.MethodPost, "/v1/chat/completions", stream, c.idempotent[model]
	q.body = fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, stream, tokens, q.id)
	q.expected = strings.Join(modelengine.GenerateTokens(model, modelengine.ChatPrompt("user", q.id), tokens), "")
	q.decode = readCompletion
}

type completionResponse struct {
	Choices []struct {
		Message struct{ Content string } `json:"message"`
		Delta   struct{ Content string } `json:"delta"`
	} `json:"choices"`
}

func readCompletion(status int, body []byte) string {
	var c completionResponse
	if status != http.StatusOK || json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
		return describeResponse(status, body)
	}
	return c.Choices[0].Message.Content + c.Choices[0].Delta.Content
}

func describeResponse(status int, body []byte) string {
	return fmt.Sprintf("status %d: %s", status, body)
}

// fillServiceCall fills in a request to the plain service, which echoes it.
func (c catalog) fillServiceCall(q *request, route string, idempotent bool) {
	method, path, _ := strings.Cut(route, " ")
	path = strings.TrimSuffix(path, "*")
	q.method, q.path, q.service, q.idempotent = method, "/services/"+c.service+path, c.service, idempotent
	if method != http.MethodGet {
		q.body = q.id
	}
	q.expected = method + " " + path + " " + q.body
	q.decode = func(status int, body []byte) string {
		var a plainservice.Response
		if status != http.StatusOK || json.Unmarshal(body, &a) != nil {
			return describeResponse(status, body)
		}
		return a.Method + " " + a.Path + " " + a.Body
	}
}
