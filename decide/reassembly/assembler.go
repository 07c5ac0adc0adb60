// Package reassembly delivers the chunks of one response in order. It drops
// messages that do not belong to the current attempt, buffers out-of-order chunks
// until the missing ones arrive, and decides from the end message whether the
// response is complete.
package reassembly

import (
	"bytes"

	"github.com/mulberryfork/mulberryfork/api"
)

// Status is the state of a response.
type Status int

const (
	// Open means that more chunks or the end message are expected.
	Open Status = iota
	// Complete means that the end message arrived and every chunk was delivered.
	Complete
	// Broken means that the current attempt cannot complete the response.
	Broken
)

// Drops counts dropped messages by kind.
type Drops struct {
	// OtherRequest counts messages of another request.
	OtherRequest uint64
	// EarlierAttempt counts messages of an earlier attempt.
	EarlierAttempt uint64
	// FutureAttempt counts messages of an attempt that was not made.
	FutureAttempt uint64
	// Duplicate counts repeated chunks, heads and end messages.
	Duplicate uint64
	// AfterClose counts messages that arrived after the response was complete or
	// broken.
	AfterClose uint64
}

// Assembler holds the state of one response.
type Assembler struct {
	attempt api.AttemptID
	// nextSeq is the sequence number of the next chunk to deliver, starting
	// with 1.
	nextSeq uint64
	// lastSeq is the number of chunks in the end message.
	lastSeq      uint64
	hasEnd       bool
	hasHead      bool
	held         map[uint64]api.Chunk
	heldBytes    int
	maxHeldBytes int
	status       Status
	failure      *api.Failure
	drops        Drops
}

// heldOverhead is added to the payload size of each held chunk, so that the
// number of empty chunks is limited as well.
const heldOverhead = 64

// New returns an assembler for the first attempt of a request. The caller has
// already received the given number of chunks. At most maxHeldBytes bytes of
// out-of-order chunks are held, including their overhead.
func New(attempt api.AttemptID, delivered uint64, maxHeldBytes int) *Assembler {
	return &Assembler{attempt: attempt, nextSeq: delivered + 1, maxHeldBytes: maxHeldBytes, held: make(map[uint64]api.Chunk)}
}

// Status returns the state of the response.
func (a *Assembler) Status() Status { return a.status }

// Failure returns the reason why the response is broken, or nil.
func (a *Assembler) Failure() *api.Failure { return a.failure }

// Delivered returns the number of numbered chunks delivered to the caller.
func (a *Assembler) Delivered() uint64 { return a.nextSeq - 1 }

// HeldBytes returns the size of the held out-of-order chunks, with their overhead.
func (a *Assembler) HeldBytes() int { return a.heldBytes }

// Drops returns the number of dropped messages by kind.
func (a *Assembler) Drops() Drops { return a.drops }

// Head reports whether to deliver a head to the caller. The head of a resumed
// attempt must not be delivered if there was one before.
func (a *Assembler) Head(h api.Head) bool {
	if !a.accept(h.AttemptID) {
		return false
	}
	if a.hasHead {
		a.drops.Duplicate++
		return false
	}
	a.hasHead = true
	return true
}

// Chunk accepts one chunk and returns the chunks that can now be delivered, in
// order.
func (a *Assembler) Chunk(c api.Chunk) []api.Chunk {
	if !a.accept(c.AttemptID) {
		return nil
	}
	if c.Kind != api.ChunkNumbered {
		return a.unnumbered(c)
	}
	if _, held := a.held[c.Seq]; held || c.Seq < a.nextSeq {
		a.drops.Duplicate++
		return nil
	}
	if a.hasEnd && c.Seq > a.lastSeq {
		a.fail("a chunk has a sequence number after the end")
		return nil
	}
	if c.Seq != a.nextSeq {
		a.hold(c)
		return nil
	}
	return a.advance(c)
}

// unnumbered returns a chunk without a position if it directly follows the delivered ones.
// Otherwise filler is dropped, and a piece that is out of order breaks the response, since
// its place can't be told later.
func (a *Assembler) unnumbered(c api.Chunk) []api.Chunk {
	switch {
	case c.Seq == a.Delivered():
		return []api.Chunk{c}
	case c.Kind == api.ChunkFiller:
		a.drops.Duplicate++
	default:
		a.fail("a chunk without a number is out of order")
	}
	return nil
}

func (a *Assembler) hold(c api.Chunk) {
	size := len(c.Payload) + heldOverhead
	if a.heldBytes+size > a.maxHeldBytes {
		a.fail("too many bytes of chunks are held because an earlier chunk is missing")
		return
	}
	// The sender may use the payload again once the chunk is accepted.
	c.Payload = bytes.Clone(c.Payload)
	a.held[c.Seq] = c
	a.heldBytes += size
}

// advance returns a chunk and the held chunks that directly follow it.
func (a *Assembler) advance(c api.Chunk) []api.Chunk {
	ready := []api.Chunk{c}
	a.nextSeq++
	for {
		c, ok := a.held[a.nextSeq]
		if !ok {
			break
		}
		delete(a.held, a.nextSeq)
		a.heldBytes -= len(c.Payload) + heldOverhead
		ready = append(ready, c)
		a.nextSeq++
	}
	a.completeIfAllDelivered()
	return ready
}

// End accepts the end message of an attempt.
func (a *Assembler) End(e api.End) {
	if !a.accept(e.AttemptID) {
		return
	}
	if a.hasEnd {
		a.drops.Duplicate++
		return
	}
	if e.Failure != nil {
		a.Break(e.Failure)
		return
	}
	a.hasEnd, a.lastSeq = true, e.Chunks
	for seq := range a.held {
		if seq > a.lastSeq {
			a.fail("a chunk has a sequence number after the end")
			return
		}
	}
	if a.lastSeq < a.Delivered() {
		a.fail("more chunks were delivered than the end message states")
		return
	}
	a.completeIfAllDelivered()
}

func (a *Assembler) completeIfAllDelivered() {
	if a.hasEnd && a.Delivered() == a.lastSeq {
		a.status = Complete
	}
}

// Break ends the current attempt, for instance because its link was lost or a
// missing chunk did not arrive in time. Held chunks are discarded, because
// another attempt may generate different text.
func (a *Assembler) Break(f *api.Failure) {
	if a.status != Open {
		return
	}
	a.status, a.failure = Broken, f
	clear(a.held)
	a.heldBytes = 0
}

func (a *Assembler) fail(detail string) {
	a.Break(api.NewFailure(api.CodeStreamBroken, api.RunUnknown, detail))
}

// Resume continues the response with a new attempt and returns the number of chunks
// that the attempt must skip. It returns false if the response is complete or the
// attempt is not newer than the current one.
func (a *Assembler) Resume(attempt uint32) (uint64, bool) {
	if a.status == Complete || attempt <= a.attempt.Number {
		return 0, false
	}
	a.attempt.Number = attempt
	a.status, a.failure = Open, nil
	a.hasEnd, a.lastSeq = false, 0
	clear(a.held)
	a.heldBytes = 0
	return a.Delivered(), true
}

// accept reports whether a message belongs to the current attempt of an open
// response. Otherwise it counts the message as dropped.
func (a *Assembler) accept(id api.AttemptID) bool {
	switch {
	case id.RequestID != a.attempt.RequestID:
		a.drops.OtherRequest++
	case id.Number < a.attempt.Number:
		a.drops.EarlierAttempt++
	case id.Number > a.attempt.Number:
		a.drops.FutureAttempt++
	case a.status != Open:
		a.drops.AfterClose++
	default:
		return true
	}
	return false
}
