package modelengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Headers of requests and responses.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderRequestID  = "X-Request-Id"
	HeaderPriority   = "X-Priority"
	HeaderResumeFrom = "X-Resume-From"
	// HeaderIncarnation is set on every response.
	HeaderIncarnation = "X-Incarnation"
)

// Request limits and defaults.
const (
	maxBodyBytes        = 8 << 20
	maxCompletionTokens = 16_384
	defaultMaxTokens    = 16
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// ChatPrompt joins messages into the prompt that the engine generates from. The
// arguments are pairs of role and content.
func ChatPrompt(pairs ...string) string {
	var b strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, "%s: %s\n", pairs[i], pairs[i+1])
	}
	return b.String()
}

// promptText returns the prompt as text and as the raw JSON of the request. Both
// are empty if the request has no valid prompt.
func (r *completionRequest) promptText(chat bool) (prompt string, raw []byte) {
	if !chat {
		if json.Unmarshal(r.Prompt, &prompt) != nil {
			return "", nil
		}
		return prompt, r.Prompt
	}
	var messages []message
	if json.Unmarshal(r.Messages, &messages) != nil {
		return "", nil
	}
	var pairs []string
	for _, m := range messages {
		pairs = append(pairs, m.Role, m.Content)
	}
	return ChatPrompt(pairs...), r.Messages
}

func (e *Engine) completionHandler(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q completionRequest
		if !decode(w, r, &q) {
			return
		}
		j, ok := e.newJob(w, r, &q, chat)
		if !ok {
			return
		}
		if !e.submit(j) {
			panic(http.ErrAbortHandler)
		}
		defer e.cancel(j)
		out := completionWriter{w: w, r: r, job: j, chat: chat}
		if q.Stream {
			out.writeStream()
			return
		}
		out.writeComplete()
	}
}

// newJob returns the job for a request. If the request is invalid, it writes an error
// response and returns false.
func (e *Engine) newJob(w http.ResponseWriter, r *http.Request, q *completionRequest, chat bool) (*job, bool) {
	tokens := orDefault(q.MaxTokens, defaultMaxTokens)
	prompt, raw := q.promptText(chat)
	resumeFrom, err := headerNumber(r, HeaderResumeFrom)
	if err != nil || tokens < 0 || tokens > maxCompletionTokens || resumeFrom < 0 || prompt == "" {
		writeError(w, http.StatusBadRequest, "invalid_request")
		return nil, false
	}
	priority, err := headerNumber(r, HeaderPriority)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request")
		return nil, false
	}
	e.mu.Lock()
	loaded := e.volatile.managed.isLoaded(q.Model, e.options.Clock.Now())
	e.mu.Unlock()
	if !loaded {
		writeError(w, http.StatusNotFound, "model_not_found")
		return nil, false
	}
	return &job{
		model: q.Model, prompt: prompt, priority: priority,
		key: r.Header.Get(HeaderKey), requestID: r.Header.Get(HeaderRequestID),
		tokens: GenerateTokens(q.Model, prompt, tokens), resumeFrom: min(resumeFrom, tokens), next: min(resumeFrom, tokens),
		blocks: BlockHashes(q.Model, raw), output: make(chan string, tokens),
	}, true
}

func headerNumber(r *http.Request, header string) (int, error) {
	text := r.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// completionWriter writes the response for one job.
type completionWriter struct {
	w    http.ResponseWriter
	r    *http.Request
	job  *job
	chat bool
}

// nextToken waits for the next token; it returns false after the last one. It
// aborts the connection if the engine crashes or the client disconnects.
func (cw *completionWriter) nextToken() (string, bool) {
	select {
	case t, ok := <-cw.job.output:
		return t, ok
	case <-cw.r.Context().Done():
	case <-cw.job.crashed:
	}
	panic(http.ErrAbortHandler)
}

func (cw *completionWriter) writeStream() {
	cw.w.Header().Set("Content-Type", "text/event-stream")
	cw.w.Header().Set("Cache-Control", "no-cache")
	last := len(cw.job.tokens)
	for n := cw.job.resumeFrom + 1; ; n++ {
		t, ok := cw.nextToken()
		if !ok {
			break
		}
		cw.writeEvent(cw.chunk(t, n == last))
	}
	cw.writeEvent("[DONE]")
}

func (cw *completionWriter) writeEvent(data string) {
	if _, err := fmt.Fprintf(cw.w, "data: %s\n\n", data); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(cw.w).Flush()
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (cw *completionWriter) completion(object string, c choice) completion {
	id := cw.job.requestID
	if id == "" {
		id = fmt.Sprintf("cmpl-%d", cw.job.arrival)
	}
	return completion{ID: id, Object: object, Model: cw.job.model, Choices: []choice{c}}
}

func (cw *completionWriter) chunk(token string, last bool) string {
	c, object := choice{Text: &token}, "text_completion"
	if cw.chat {
		c, object = choice{Delta: &message{Role: "assistant", Content: token}}, "chat.completion.chunk"
	}
	if last {
		c.FinishReason = finishReason()
	}
	data, _ := json.Marshal(cw.completion(object, c))
	return string(data)
}

func finishReason() *string {
	reason := "length"
	return &reason
}

func (cw *completionWriter) writeComplete() {
	var b strings.Builder
	generated := 0
	for {
		t, ok := cw.nextToken()
		if !ok {
			break
		}
		b.WriteString(t)
		generated++
	}
	text := b.String()
	c, object := choice{Text: &text, FinishReason: finishReason()}, "text_completion"
	if cw.chat {
		c.Text, c.Message, object = nil, &message{Role: "assistant", Content: text}, "chat.completion"
	}
	response := cw.completion(object, c)
	promptTokens := len(strings.Fields(cw.job.prompt))
	response.Usage = &usage{PromptTokens: promptTokens, CompletionTokens: generated, TotalTokens: promptTokens + generated}
	writeJSON(cw.w, http.StatusOK, response)
}
