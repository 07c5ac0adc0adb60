package engine

import (
	"bufio"
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/kernel/httpclient"
)

const (
	bodyChunkBytes    = 32 << 10
	maxEventLineBytes = 1 << 20
	// maxEventBytes bounds the data of an event, which may have many lines.
	maxEventBytes   = 1 << 20
	readerBytes     = 4 << 10
	streamDone      = "[DONE]"
	eventDataPrefix = "data:"
)

var lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

// relay reads one response and writes it to the sink in chunks.
type relay struct {
	// held charges the data of the event that is being read, heldLine the line.
	held, heldLine httpclient.Hold
	// line holds a line that is longer than the reader's buffer.
	line      []byte
	clock     kernel.Clock
	startedAt time.Duration
	sink      api.Sink
	attemptID api.AttemptID
	seq       uint64 // of the last chunk, initially the order's ResumeFrom
	usage     api.Usage
}

// readEvents reads a stream of server-sent events and emits one chunk per event. It
// returns a failure unless the last event is [DONE], with which the engine ends a
// complete stream.
func (r *relay) readEvents(body io.Reader) *api.Failure {
	reader := lineReaders.Get().(*bufio.Reader)
	reader.Reset(body)
	defer lineReaders.Put(reader)
	defer r.held.Release()
	defer r.heldLine.Release()
	done := false
	var data []byte
	for {
		line, err := r.readLine(reader)
		if err != nil {
			return r.eventsFailure(err, done)
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
			r.held.Release()
			continue
		}
		value, isData := bytes.CutPrefix(line, []byte(eventDataPrefix))
		if !isData {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		if data, err = r.appendData(data, value); err != nil {
			return r.eventsFailure(err, done)
		}
	}
}

// eventsFailure returns the failure of a stream that ended with err, or nil if the final
// event was read before.
func (r *relay) eventsFailure(err error, done bool) *api.Failure {
	if done {
		return nil
	}
	if err == io.EOF {
		return api.NewFailure(api.CodeStreamBroken, api.Ran, "the upstream's stream ended without its final event")
	}
	f := &api.Failure{Code: api.CodeStreamBroken, Run: api.Ran, Detail: "reading the upstream's response failed", Err: err}
	if httpclient.IsNoRoom(err) {
		f.Code = api.CodeNoRoom
	}
	return f
}

// appendData appends one data line to the data of an event.
func (r *relay) appendData(data, value []byte) ([]byte, error) {
	if len(data)+len(value) > maxEventBytes {
		return nil, &EventTooLongError{}
	}
	if data == nil {
		data = make([]byte, 0, len(value))
	} else {
		var err error
		if data, err = r.held.Append(data, []byte{'\n'}); err != nil {
			return nil, err
		}
	}
	return r.held.Append(data, value)
}

// EventTooLongError reports an event longer than maxEventBytes, or one of its lines longer than
// maxEventLineBytes.
type EventTooLongError struct{}

func (*EventTooLongError) Error() string { return "event too long" }

// readLine returns the next line without its line break. The line is only valid until
// the next read.
func (r *relay) readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if err != bufio.ErrBufferFull {
		return nil, err
	}
	r.line = append(r.line[:0], line...)
	for err == bufio.ErrBufferFull {
		if len(r.line) > maxEventLineBytes {
			return nil, &EventTooLongError{}
		}
		line, err = reader.ReadSlice('\n')
		var noRoom error
		if r.line, noRoom = r.heldLine.Append(r.line, line); noRoom != nil {
			return nil, noRoom
		}
	}
	return bytes.TrimRight(r.line, "\r\n"), err
}

var bodyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, bodyChunkBytes)
	return &buffer
}}

// readBody reads a plain body, whose length net/http checks against Content-Length.
// Each chunk is copied out of a pooled buffer, since most bodies are much shorter than
// the buffer.
func (r *relay) readBody(body io.Reader) *api.Failure {
	buffer := bodyBuffers.Get().(*[]byte)
	defer bodyBuffers.Put(buffer)
	for {
		n, err := readNonEmpty(body, *buffer)
		if n > 0 {
			if failure := r.emit(bytes.Clone((*buffer)[:n]), false); failure != nil {
				return failure
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &api.Failure{Code: api.CodeStreamBroken, Run: api.Ran, Detail: "reading the upstream's response failed", Err: err}
		}
	}
}

// readNonEmpty reads until there is data or an error. If body returns io.EOF together
// with the last bytes, so does readNonEmpty, which saves a read.
func readNonEmpty(body io.Reader, buffer []byte) (int, error) {
	for {
		n, err := body.Read(buffer)
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// emit writes one chunk to the sink and counts it as a generated token if token is true.
func (r *relay) emit(payload []byte, token bool) *api.Failure {
	r.seq++
	if r.usage.FirstChunk == 0 {
		r.usage.FirstChunk = r.clock.Now() - r.startedAt
	}
	c := api.Chunk{AttemptID: r.attemptID, Seq: r.seq, Payload: payload}
	if token {
		c.Tokens = 1
		r.usage.GeneratedTokens++
	}
	if err := r.sink.Chunk(c); err != nil {
		return sinkFailure(err)
	}
	return nil
}
