package guard

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// smallBodyBytes is the size up to which bodies are read without a charge of their own: it
	// is part of what each connection is charged.
	smallBodyBytes = 16 << 10
	// bodyStepBytes is the least number of bytes by which the charge of a body without a
	// stated length is extended as it arrives.
	bodyStepBytes = 128 << 10
)

// TooLargeError reports a body that exceeds its limit.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string {
	return "the body exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// StalledError reports a body that was ended because the account is short and it made the
// least progress.
type StalledError struct{}

func (*StalledError) Error() string {
	return "the body came too slowly while the process is short of memory or connections"
}

// Budget grants the bytes of a body.
type Budget interface {
	// Take takes n bytes, which Return must give back once they are not held any more.
	Take(n int64) error
	Return(n int64)
}

// Body reads a request body within a budget.
type Body struct {
	Budget Budget
	// taken is the number of bytes of the budget that are taken.
	taken int64
	// unread is set if the budget refused the body, the rest of which is to be discarded.
	unread bool
	// limit is the largest body.
	limit int64
}

// Release gives back the budget of the body.
func (b *Body) Release() {
	if b.taken > 0 {
		b.Budget.Return(b.taken)
		b.taken = 0
	}
}

// Read reads the body of a request of at most maxBytes, within a time. What is taken of the
// budget must be released, also after an error. It returns TooLargeError, StalledError, the
// error of the budget or that of the connection.
func (b *Body) Read(w http.ResponseWriter, r *http.Request, maxBytes int64, within time.Duration) ([]byte, error) {
	b.limit = maxBytes
	if r.ContentLength > maxBytes {
		return nil, &TooLargeError{Limit: maxBytes}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(within))
	c := FromContext(r.Context())
	if c != nil {
		c.bodyTimed = true
	}
	data, err := b.readWhileKept(c, r)
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
	case b.unread:
		// Lets the refusal be written before the rest of the body is read.
		_ = control.EnableFullDuplex()
	}
	return data, err
}

// readWhileKept reads the body unless the account ends the connection meanwhile.
func (b *Body) readWhileKept(c *Conn, r *http.Request) ([]byte, error) {
	if c == nil {
		return b.readSteps(r)
	}
	c.beginBody()
	data, err := b.readSteps(r)
	if !c.endBody() {
		return nil, &StalledError{}
	}
	c.bodyRead = err == nil
	return data, err
}

// Discard reads the rest of a refused body, as far as it may be large and its read deadline
// allows. A caller that is still sending it would otherwise lose the connection before it sees
// the refusal.
func (b *Body) Discard(w http.ResponseWriter, r *http.Request) {
	if !b.unread {
		return
	}
	control := http.NewResponseController(w)
	_ = control.Flush()
	if c := FromContext(r.Context()); c != nil {
		c.beginBody()
		defer c.endBody()
	}
	if _, err := io.CopyN(io.Discard, r.Body, b.limit+1); err == io.EOF {
		_ = control.SetReadDeadline(time.Time{})
	}
}

// readSteps reads the body step by step. A small one, or the first bytes of one without a
// length, need no budget.
func (b *Body) readSteps(r *http.Request) ([]byte, error) {
	expected := r.ContentLength
	var data []byte
	switch {
	case expected < 0:
		data = make([]byte, 0, smallBodyBytes+1)
	case expected <= smallBodyBytes:
		data = make([]byte, 0, expected+1)
	}
	for {
		if len(data) == cap(data) {
			grown, err := b.grow(data, expected)
			if err != nil {
				return nil, err
			}
			data = grown
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > b.limit:
			return nil, &TooLargeError{Limit: b.limit}
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns data with more room. The budget for a body of a stated length is taken at
// once: many bodies that each get a part of theirs would all be refused half way. Without a
// length the buffer grows by a half at least, so that copying takes no more time than reading.
func (b *Body) grow(data []byte, expected int64) ([]byte, error) {
	size := min(int64(len(data))+max(bodyStepBytes, int64(len(data))/2), b.limit+1)
	if expected >= 0 {
		size = expected + 1
	}
	if err := b.Budget.Take(size - b.taken); err != nil {
		b.unread = true
		return nil, err
	}
	b.taken = size
	return append(make([]byte, 0, size), data...), nil
}
