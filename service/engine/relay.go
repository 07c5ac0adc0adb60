package engine

import (
	"bufio"
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	bodyChunkBytes  = 32 << 10
	eventLineBytes  = 1 << 20
	readerBytes     = 4 << 10
	streamDone      = "[DONE]"
	eventDataPrefix = "data:"
)

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

// relay turns one answer into chunks.
type relay struct {
	clock kernel.Clock
	begin time.Duration
	sink  api.Sink
	send  api.AttemptID
	seq   uint64
	usage api.Usage
}

// events reads a stream of server-sent events. The stream is whole only if the
// engine itself sent its closing event.
func (r *relay) events(body io.Reader) *api.Failure {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(body)
	defer readers.Put(reader)
	done := false
	var data []byte
	for {
		line, err := readLine(reader)
		if err != nil {
			return r.eventsEnd(err, done)
		}
		if len(line) == 0 {
			if data == nil {
				continue
			}
			done = string(data) == streamDone
			if failure := r.emit(data, !done); failure != nil {
				return failure
			}
			data = nil
			continue
		}
		if value, ok := bytes.CutPrefix(line, []byte(eventDataPrefix)); ok {
			data = appendData(data, bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

func (r *relay) eventsEnd(err error, done bool) *api.Failure {
	if done {
		return nil
	}
	if err == io.EOF {
		return api.NewFailure(api.CodeStreamBroken, api.Ran, "the upstream's stream ended without its closing event")
	}
	return &api.Failure{Code: api.CodeStreamBroken, Run: api.Ran, Detail: "the upstream's answer broke off", Err: err}
}

func appendData(data, value []byte) []byte {
	if data == nil {
		return append(make([]byte, 0, len(value)), value...)
	}
	return append(append(data, '\n'), value...)
}

// EventTooLongError reports an event line beyond the bound.
type EventTooLongError struct{}

func (*EventTooLongError) Error() string { return "an event line is too long" }

func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if err != bufio.ErrBufferFull {
		return nil, err
	}
	long := append([]byte(nil), line...)
	for err == bufio.ErrBufferFull {
		if len(long) > eventLineBytes {
			return nil, &EventTooLongError{}
		}
		line, err = r.ReadSlice('\n')
		long = append(long, line...)
	}
	return bytes.TrimRight(long, "\r\n"), err
}

var bodyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, bodyChunkBytes)
	return &buffer
}}

// bytes reads a plain body, whose end net/http checks against its length. Each
// chunk is copied out of a pooled buffer, since most bodies are far shorter.
func (r *relay) bytes(body io.Reader) *api.Failure {
	buffer := bodyBuffers.Get().(*[]byte)
	defer bodyBuffers.Put(buffer)
	for {
		n, err := fill(body, *buffer)
		if n > 0 {
			if failure := r.emit(bytes.Clone((*buffer)[:n]), false); failure != nil {
				return failure
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &api.Failure{Code: api.CodeStreamBroken, Run: api.Ran, Detail: "the upstream's answer broke off", Err: err}
		}
	}
}

// fill reads once. It reports the end together with the last bytes where the
// reader does so, which saves a chunk.
func fill(body io.Reader, buffer []byte) (int, error) {
	for {
		n, err := body.Read(buffer)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

func (r *relay) emit(payload []byte, token bool) *api.Failure {
	r.seq++
	if r.usage.FirstChunk == 0 {
		r.usage.FirstChunk = r.clock.Now() - r.begin
	}
	c := api.Chunk{AttemptID: r.send, Seq: r.seq, Payload: payload}
	if token {
		c.Tokens = 1
		r.usage.GeneratedTokens++
	}
	if err := r.sink.Chunk(c); err != nil {
		return abandoned(err)
	}
	return nil
}
