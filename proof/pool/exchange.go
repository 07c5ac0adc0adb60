package pool

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/mulberryfork/mulberryfork/api"
)

// result is the result of one attempt, as observed by its caller.
type result struct {
	complete bool
	answer   string
	code     api.Code
	run      api.RunState
}

type failure struct {
	Error struct {
		Code api.Code     `json:"code"`
		Run  api.RunState `json:"run"`
	} `json:"error"`
}

// exchange sends a request and reads the complete answer.
func (l *Load) exchange(router *Node, q request, attempt, key string) result {
	req := l.newRequest(router, q.member, q.method, q.path, q.body)
	req.Header.Set(headerAttempt, attempt)
	req.Header.Set(headerRequest, q.id)
	req.Header.Set(headerIdempotent, strconv.FormatBool(q.idempotent))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if q.idempotencyHeader != "" {
		req.Header.Set("X-Idempotent", q.idempotencyHeader)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return result{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var f failure
	if resp.StatusCode >= http.StatusBadRequest && json.Unmarshal(body, &f) == nil && f.Error.Code != "" {
		return result{code: f.Error.Code, run: f.Error.Run}
	}
	if q.stream && resp.StatusCode == http.StatusOK {
		return readStream(body, err)
	}
	if err != nil {
		return result{}
	}
	return result{complete: true, answer: q.decode(resp.StatusCode, body)}
}

// readStream reads the events of a stream. A stream whose HTTP body ended normally
// appears complete to the caller, even without the engine's final event.
func readStream(body []byte, err error) result {
	var e result
	var text strings.Builder
	kind, done := "", false
	for line := range bytes.Lines(body) {
		line = bytes.TrimRight(line, "\n")
		if name, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
			kind = string(name)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
		case kind == "error":
			var f failure
			_ = json.Unmarshal(data, &f)
			e.code, e.run = f.Error.Code, f.Error.Run
		case string(data) == "[DONE]":
			done = true
		default:
			text.WriteString(readCompletion(http.StatusOK, data))
		}
	}
	e.complete = e.code == "" && (err == nil || done)
	e.answer = text.String()
	if e.complete && !done {
		e.answer += "(the stream has no final event)"
	}
	return e
}

func (l *Load) newRequest(router *Node, member, method, path, body string) *http.Request {
	// The URL is always valid, so there is no error.
	req, _ := http.NewRequestWithContext(context.Background(), method, "http://"+router.inbound["http"].Address()+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer example-token-"+member)
	req.Header.Set("X-Request-Timeout", requestTimeout.String())
	return req
}

// doJSON sends a request about keys and decodes the answer. It reports whether that
// succeeded.
func (l *Load) doJSON(req *http.Request, into any) bool {
	resp, err := l.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(into) == nil
}

// issueKey requests a bound key. It returns an empty string on failure.
func (l *Load) issueKey(q request, random *rand.Rand) string {
	var answer struct {
		Key string `json:"key"`
	}
	if !l.doJSON(l.newRequest(l.pickRouter(random), q.member, http.MethodPost, "/v1/keys", `{"service":"`+q.service+`"}`), &answer) {
		return ""
	}
	return answer.Key
}

type outcome struct {
	Run  api.RunState `json:"run"`
	Done bool         `json:"done"`
}

func (l *Load) queryOutcome(router *Node, q request, key string) (outcome, bool) {
	var o outcome
	ok := l.doJSON(l.newRequest(router, q.member, http.MethodGet, "/v1/outcomes/"+key+"?service="+q.service, ""), &o)
	return o, ok
}
