package pool

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"github.com/mulberryfork/mulberryfork/standin/modelengine"
	"github.com/mulberryfork/mulberryfork/standin/plainservice"
)

const (
	minTokens = 2
	maxTokens = 40
	// One in longEvery completions has longTokens, so that some streams are in flight
	// while processes stop.
	longEvery  = 6
	longTokens = 250
)

// request is a caller's request and its correct answer.
type request struct {
	id, member   string
	method, path string
	body         string
	stream       bool
	idempotent   bool
	// idempotencyHeader overrides the idempotency in the configuration.
	idempotencyHeader string
	// usesKey makes the caller get a bound key and retry with it.
	usesKey  bool
	service  string
	expected string
	decode   func(status int, body []byte) string
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

// draw returns a random request with the given ID.
func (m catalog) draw(r *rand.Rand, id string) request {
	q := request{id: id, member: m.members[r.IntN(len(m.members))]}
	switch kind := r.IntN(8); kind {
	case 0, 1, 2, 3:
		m.completion(r, &q, kind < 2)
	case 4:
		m.completion(r, &q, r.IntN(2) == 0)
		q.idempotencyHeader, q.idempotent = "false", false
	case 5:
		m.call(&q, m.readRoute, true)
	default:
		m.call(&q, m.writeRoute, false)
		q.usesKey = kind == 7
	}
	return q
}

// completion fills in a completion request. The stand-in's answer is determined by
// the request.
func (m catalog) completion(r *rand.Rand, q *request, stream bool) {
	model := m.models[r.IntN(len(m.models))]
	tokens := minTokens + r.IntN(maxTokens-minTokens)
	if r.IntN(longEvery) == 0 {
		tokens = longTokens
	}
	q.method, q.path, q.stream, q.idempotent = http.MethodPost, "/v1/chat/completions", stream, m.idempotent[model]
	q.body = fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, stream, tokens, q.id)
	q.expected = strings.Join(modelengine.GenerateTokens(model, modelengine.ChatPrompt("user", q.id), tokens), "")
	q.decode = readCompletion
}

type completion struct {
	Choices []struct {
		Message struct{ Content string } `json:"message"`
		Delta   struct{ Content string } `json:"delta"`
	} `json:"choices"`
}

func readCompletion(status int, body []byte) string {
	var c completion
	if status != http.StatusOK || json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
		return describeAnswer(status, body)
	}
	return c.Choices[0].Message.Content + c.Choices[0].Delta.Content
}

func describeAnswer(status int, body []byte) string {
	return fmt.Sprintf("status %d: %s", status, body)
}

// call fills in a request to the plain service, which echoes the request.
func (m catalog) call(q *request, route string, idempotent bool) {
	method, path, _ := strings.Cut(route, " ")
	path = strings.TrimSuffix(path, "*")
	q.method, q.path, q.service, q.idempotent = method, "/services/"+m.service+path, m.service, idempotent
	if method != http.MethodGet {
		q.body = q.id
	}
	q.expected = method + " " + path + " " + q.body
	q.decode = func(status int, body []byte) string {
		var a plainservice.Response
		if status != http.StatusOK || json.Unmarshal(body, &a) != nil {
			return describeAnswer(status, body)
		}
		return a.Method + " " + a.Path + " " + a.Body
	}
}
