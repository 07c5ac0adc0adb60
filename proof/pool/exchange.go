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
	response string
	code     api.Code
	run      api.RunState
}

type errorResponse struct {
	Error struct {
		Code api.Code     `json:"code"`
		Run  api.RunState `json:"run"`
	} `json:"error"`
}

// exchange sends one attempt and reads the response to its end.
func (l *Load) exchange(router *Node, q request, attempt, key string) result {
	req := l.newRequest(router, q.member, q.method, q.path, q.body)
	req.Header.Set(headerAttempt, attempt)
	req.Header.Set(headerRequest, q.id)
	req.Header.Set(headerIdempotent, strconv.FormatBool(q.idempotent))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if q.priority != 0 {
		req.Header.Set("X-Priority", strconv.Itoa(int(q.priority)))
	}
	if q.timeout > 0 {
		req.Header.Set("X-Request-Timeout", q.timeout.String())
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
	var f errorResponse
	if resp.StatusCode >= http.StatusBadRequest && json.Unmarshal(body, &f) == nil && f.Error.Code != "" {
		return result{code: f.Error.Code, run: f.Error.Run}
	}
	if q.stream && resp.StatusCode == http.StatusOK {
		return readStream(body, err)
	}
	if err != nil {
		return result{}
	}
	return result{complete: true, response: q.decode(resp.StatusCode, body)}
}

// readStream parses the events of a stream, given the error from reading its body. A
// stream whose body ended normally appears complete to the caller, even without the
// engine's final event.
func readStream(body []byte, err error) result {
	var r result
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
			var f errorResponse
			_ = json.Unmarshal(data, &f)
			r.code, r.run = f.Error.Code, f.Error.Run
		case string(data) == "[DONE]":
			done = true
		default:
			text.WriteString(readCompletion(http.StatusOK, data))
		}
	}
	r.complete = r.code == "" && (err == nil || done)
	r.response = text.String()
	if r.complete && !done {
		r.response += "(the stream has no final event)"
	}
	return r
}

// tokenPrefix and the name of a member are the member's token in the examples.
const tokenPrefix = "example-token-"

func (l *Load) newRequest(router *Node, member, method, path, body string) *http.Request {
	// The method and the URL are always valid, so there is no error.
	req, _ := http.NewRequestWithContext(context.Background(), method, "http://"+router.inbound["http"].Address()+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+tokenPrefix+member)
	req.Header.Set("X-Request-Timeout", requestTimeout.String())
	return req
}

// doJSON sends a request and decodes the JSON response. It reports whether the status
// was 200 and the response could be decoded.
func (l *Load) doJSON(req *http.Request, into any) bool {
	resp, err := l.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(into) == nil
}

// issueKey requests a bound idempotency key. It returns an empty string on failure.
func (l *Load) issueKey(q request, random *rand.Rand) string {
	var issued struct {
		Key string `json:"key"`
	}
	if !l.doJSON(l.newRequest(l.pickRouter(random), q.member, http.MethodPost, "/v1/keys", `{"service":"`+q.service+`"}`), &issued) {
		return ""
	}
	return issued.Key
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
