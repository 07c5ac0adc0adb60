package modelengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Headers that the engine reads.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderRequestID  = "X-Request-Id"
	HeaderPriority   = "X-Priority"
	HeaderResumeFrom = "X-Resume-From"
	// HeaderIncarnation is on every answer.
	HeaderIncarnation = "X-Incarnation"
)

// Bounds of a request.
const (
	maxBodyBytes     = 8 << 20
	maxAnswerTokens  = 16_384
	defaultMaxTokens = 16
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

// ChatPrompt joins messages in the way that Answer expects. The arguments are
// pairs of role and content.
func ChatPrompt(pairs ...string) string {
	var b strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, "%s: %s\n", pairs[i], pairs[i+1])
	}
	return b.String()
}

// text returns the prompt as the engine reads it and as the request has it. It
// is empty if the request has none.
func (r *completionRequest) text(chat bool) (prompt string, raw []byte) {
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

func (e *Engine) complete(chat bool) http.HandlerFunc {
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
		a := answer{w: w, r: r, job: j, chat: chat}
		if q.Stream {
			a.stream()
			return
		}
		a.whole()
	}
}

func (e *Engine) newJob(w http.ResponseWriter, r *http.Request, q *completionRequest, chat bool) (*job, bool) {
	tokens := orDefault(q.MaxTokens, defaultMaxTokens)
	prompt, raw := q.text(chat)
	from, err := number(r, HeaderResumeFrom)
	if err != nil || tokens < 0 || tokens > maxAnswerTokens || from < 0 || prompt == "" {
		fail(w, http.StatusBadRequest, "invalid_request")
		return nil, false
	}
	priority, err := number(r, HeaderPriority)
	if err != nil {
		fail(w, http.StatusBadRequest, "invalid_request")
		return nil, false
	}
	e.mu.Lock()
	served := e.life.orders.serves(q.Model, e.options.Clock.Now())
	e.mu.Unlock()
	if !served {
		fail(w, http.StatusNotFound, "model_not_found")
		return nil, false
	}
	return &job{
		model: q.Model, prompt: prompt, priority: priority,
		key: r.Header.Get(HeaderKey), requestID: r.Header.Get(HeaderRequestID),
		tokens: Answer(q.Model, prompt, tokens), first: min(from, tokens), next: min(from, tokens),
		blocks: BlockHashes(q.Model, raw), out: make(chan string, tokens),
	}, true
}

func number(r *http.Request, header string) (int, error) {
	text := r.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

// answer writes the tokens of one job.
type answer struct {
	w    http.ResponseWriter
	r    *http.Request
	job  *job
	chat bool
}

// token waits for the next token. It aborts the connection if the engine
// crashed or the client is gone.
func (a *answer) token() (string, bool) {
	select {
	case t, ok := <-a.job.out:
		return t, ok
	case <-a.r.Context().Done():
	case <-a.job.ended:
	}
	panic(http.ErrAbortHandler)
}

func (a *answer) stream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-cache")
	last := len(a.job.tokens)
	for n := a.job.first + 1; ; n++ {
		t, ok := a.token()
		if !ok {
			break
		}
		a.event(a.chunk(t, n == last))
	}
	a.event("[DONE]")
}

func (a *answer) event(data string) {
	if _, err := fmt.Fprintf(a.w, "data: %s\n\n", data); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(a.w).Flush()
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

func (a *answer) completion(object string, c choice) completion {
	id := a.job.requestID
	if id == "" {
		id = fmt.Sprintf("cmpl-%d", a.job.arrival)
	}
	return completion{ID: id, Object: object, Model: a.job.model, Choices: []choice{c}}
}

func (a *answer) chunk(token string, last bool) string {
	c, object := choice{Text: &token}, "text_completion"
	if a.chat {
		c, object = choice{Delta: &message{Role: "assistant", Content: token}}, "chat.completion.chunk"
	}
	if last {
		c.FinishReason = finishReason()
	}
	data, _ := json.Marshal(a.completion(object, c))
	return string(data)
}

func finishReason() *string {
	reason := "length"
	return &reason
}

func (a *answer) whole() {
	var b strings.Builder
	generated := 0
	for {
		t, ok := a.token()
		if !ok {
			break
		}
		b.WriteString(t)
		generated++
	}
	text := b.String()
	c, object := choice{Text: &text, FinishReason: finishReason()}, "text_completion"
	if a.chat {
		c.Text, c.Message, object = nil, &message{Role: "assistant", Content: text}, "chat.completion"
	}
	whole := a.completion(object, c)
	prompt := len(strings.Fields(a.job.prompt))
	whole.Usage = &usage{PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated}
	reply(a.w, http.StatusOK, whole)
}
