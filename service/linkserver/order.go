package linkserver

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

const contentLength = "Content-Length"

// order is the sink of one order: it turns the answer into frames and holds
// the engine back while the router has granted no credit.
type order struct {
	link   *link
	send   api.AttemptID
	ctx    context.Context
	cancel context.CancelFunc
	credit atomic.Int64
	wake   chan struct{}
	// held are frames that go out with the next one. The goroutine that runs
	// the order owns this field and those below.
	held []*wire.AgentFrame
	// bounded is set before the first chunk of a body of known length.
	bounded bool
}

func (o *order) grant(bytes int64) {
	o.credit.Add(bytes)
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// LostError reports an answer that nobody waits for.
type LostError struct{}

func (*LostError) Error() string { return "the router no longer waits for this answer" }

// Head keeps the head for the frames that follow: alone it is of no use to the
// caller, and a write of its own costs as much as one with the first chunk.
func (o *order) Head(h api.Head) error {
	h.AttemptID = o.send
	o.bounded = slices.ContainsFunc(h.Headers, func(h api.Header) bool { return h.Name == contentLength })
	o.held = append(o.held, &wire.AgentFrame{Body: &wire.AgentFrame_Head{Head: wire.FromHead(h)}})
	return nil
}

// Chunk sends one chunk once there is credit for it. The first chunk of a body
// of known length waits for what follows, so that a short answer is one write.
func (o *order) Chunk(c api.Chunk) error {
	for o.credit.Load() <= 0 {
		if err := o.release(); err != nil {
			return err
		}
		select {
		case <-o.wake:
		case <-o.ctx.Done():
			return &LostError{}
		}
	}
	o.credit.Add(-int64(len(c.Payload)))
	c.AttemptID = o.send
	frame := &wire.AgentFrame{Body: &wire.AgentFrame_Chunk{Chunk: wire.FromChunk(c)}}
	o.held = append(o.held, frame)
	if o.bounded {
		o.bounded = false
		return nil
	}
	return o.release()
}

// End closes the answer.
func (o *order) End(e api.End) {
	e.AttemptID = o.send
	o.held = append(o.held, &wire.AgentFrame{Body: &wire.AgentFrame_End{End: wire.FromEnd(e)}})
	_ = o.release()
}

// release sends the frames that were held back.
func (o *order) release() error {
	if len(o.held) == 0 {
		return nil
	}
	frames := o.held
	o.held = nil
	if !o.link.post(frames...) {
		return &LostError{}
	}
	return nil
}
