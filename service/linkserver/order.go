package linkserver

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

const contentLength = "Content-Length"

// orderSink is the sink of the response to one order. It encodes the response as frames
// and blocks the engine while there is no flow-control credit.
type orderSink struct {
	link      *link
	attemptID api.AttemptID
	ctx       context.Context
	cancel    context.CancelFunc
	// creditBytes is the flow-control credit in bytes. The last chunk sent may have made it
	// negative.
	creditBytes atomic.Int64
	wake        chan struct{}
	// pending holds frames that will be sent together with the next one. The
	// goroutine that runs the order owns pending and holdFirstChunk.
	pending []*wire.AgentFrame
	// holdFirstChunk delays the first chunk of a body of known length.
	holdFirstChunk bool
}

// grantCredit adds flow-control credit and wakes a blocked Chunk.
func (o *orderSink) grantCredit(bytes int64) {
	o.creditBytes.Add(bytes)
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// CanceledError reports an order that its router canceled or whose link was lost.
type CanceledError struct{}

func (*CanceledError) Error() string { return "the order was canceled or its link was lost" }

// Head holds the head back until the next frame is sent. The caller can't use it
// alone, and a separate write costs as much as one together with the first chunk.
func (o *orderSink) Head(h api.Head) error {
	h.AttemptID = o.attemptID
	o.holdFirstChunk = slices.ContainsFunc(h.Headers, func(h api.Header) bool { return h.Name == contentLength })
	o.pending = append(o.pending, &wire.AgentFrame{Body: &wire.AgentFrame_Head{Head: wire.FromHead(h)}})
	return nil
}

// Chunk sends one chunk as soon as there is flow-control credit. It returns a
// CanceledError if the order is canceled before. The first chunk of a body of known
// length is held back until the next frame, so that a short response takes a single
// write.
func (o *orderSink) Chunk(c api.Chunk) error {
	for o.creditBytes.Load() <= 0 {
		if err := o.flushPending(); err != nil {
			return err
		}
		select {
		case <-o.wake:
		case <-o.ctx.Done():
			return &CanceledError{}
		}
	}
	o.creditBytes.Add(-int64(len(c.Payload)))
	c.AttemptID = o.attemptID
	frame := &wire.AgentFrame{Body: &wire.AgentFrame_Chunk{Chunk: wire.FromChunk(c)}}
	o.pending = append(o.pending, frame)
	if o.holdFirstChunk {
		o.holdFirstChunk = false
		return nil
	}
	return o.flushPending()
}

// End sends the end of the response and all pending frames.
func (o *orderSink) End(e api.End) {
	e.AttemptID = o.attemptID
	o.pending = append(o.pending, &wire.AgentFrame{Body: &wire.AgentFrame_End{End: wire.FromEnd(e)}})
	_ = o.flushPending()
}

// flushPending sends the pending frames. It returns a CanceledError if the link is
// closed.
func (o *orderSink) flushPending() error {
	if len(o.pending) == 0 {
		return nil
	}
	frames := o.pending
	o.pending = nil
	if !o.link.post(frames...) {
		return &CanceledError{}
	}
	return nil
}
