// Package reassembly puts the chunks of one answer in order. It drops what
// does not belong to the present attempt, holds chunks back behind a gap, and
// decides from the end message whether the answer is whole.
package reassembly

import "github.com/mulberryfork/mulberryfork/api"

// Status is the state of an answer.
type Status int

const (
	// Open means that more chunks or the end are awaited.
	Open Status = iota
	// Complete means that every chunk was delivered and the sender said so.
	Complete
	// Broken means that the present attempt will not complete the answer.
	Broken
)

// Drops counts dropped messages by kind.
type Drops struct {
	// Foreign belong to another request.
	Foreign uint64
	// Late belong to an earlier attempt, Unsent to one that was never made.
	Late   uint64
	Unsent uint64
	// Duplicate repeat a chunk, a head or an end that is known.
	Duplicate uint64
	// Closed came after the answer was complete or broken.
	Closed uint64
}

// Assembler is the state of one answer.
type Assembler struct {
	send api.SendID
	// nextSeq is the sequence of the next chunk to deliver, from 1.
	nextSeq uint64
	// lastSeq is the number of chunks that the end message stated.
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

// heldOverhead is charged for each held chunk beside its payload, so that
// empty chunks are bounded too.
const heldOverhead = 64

// New returns the state for the first send of a request whose caller already
// has a number of chunks. At most limit bytes are held behind a gap.
func New(send api.SendID, delivered uint64, limit int) *Assembler {
	return &Assembler{send: send, nextSeq: delivered + 1, maxHeldBytes: limit, held: make(map[uint64]api.Chunk)}
}

// Status returns the state of the answer.
func (a *Assembler) Status() Status { return a.status }

// Failure says why the answer is broken.
func (a *Assembler) Failure() *api.Failure { return a.failure }

// Delivered returns the number of chunks that the caller has.
func (a *Assembler) Delivered() uint64 { return a.nextSeq - 1 }

// HeldBytes returns the bytes that wait behind a gap.
func (a *Assembler) HeldBytes() int { return a.heldBytes }

// Drops returns the counts of dropped messages.
func (a *Assembler) Drops() Drops { return a.drops }

// Head reports whether to deliver a head. A resumed attempt brings another,
// which the caller must not see.
func (a *Assembler) Head(h api.Head) bool {
	if !a.accept(h.Send) {
		return false
	}
	if a.hasHead {
		a.drops.Duplicate++
		return false
	}
	a.hasHead = true
	return true
}

// Chunk takes one chunk and returns those that can now be delivered, in order.
func (a *Assembler) Chunk(c api.Chunk) []api.Chunk {
	if !a.accept(c.Send) {
		return nil
	}
	if _, held := a.held[c.Seq]; held || c.Seq < a.nextSeq {
		a.drops.Duplicate++
		return nil
	}
	if a.hasEnd && c.Seq > a.lastSeq {
		a.fail("a chunk is numbered after the end")
		return nil
	}
	if c.Seq != a.nextSeq {
		a.hold(c)
		return nil
	}
	return a.advance(c)
}

func (a *Assembler) hold(c api.Chunk) {
	size := len(c.Payload) + heldOverhead
	if a.heldBytes+size > a.maxHeldBytes {
		a.fail("too many bytes wait for a missing chunk")
		return
	}
	a.held[c.Seq] = c
	a.heldBytes += size
}

// advance returns a chunk and those held that follow it without a gap.
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
	a.completeIfWhole()
	return ready
}

// End takes the end message of an attempt.
func (a *Assembler) End(e api.End) {
	if !a.accept(e.Send) {
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
			a.fail("a chunk is numbered after the end")
			return
		}
	}
	if a.lastSeq < a.Delivered() {
		a.fail("the answer ended before chunks that were delivered")
		return
	}
	a.completeIfWhole()
}

func (a *Assembler) completeIfWhole() {
	if a.hasEnd && a.Delivered() == a.lastSeq {
		a.status = Complete
	}
}

// Break ends the present attempt, as when its link was lost or a missing chunk
// did not come in time. Chunks behind a gap are discarded: another attempt may
// generate other text.
func (a *Assembler) Break(f *api.Failure) {
	if a.status != Open {
		return
	}
	a.status, a.failure = Broken, f
	clear(a.held)
	a.heldBytes = 0
}

func (a *Assembler) fail(detail string) {
	a.Break(api.Fail(api.CodeStreamBroken, api.Unknown, detail))
}

// Resume continues the answer with a further attempt and returns the number of
// chunks to resume from. It is false for a whole answer and for an attempt
// that is not newer than the present one.
func (a *Assembler) Resume(attempt uint32) (uint64, bool) {
	if a.status == Complete || attempt <= a.send.Attempt {
		return 0, false
	}
	a.send.Attempt = attempt
	a.status, a.failure = Open, nil
	a.hasEnd, a.lastSeq = false, 0
	clear(a.held)
	a.heldBytes = 0
	return a.Delivered(), true
}

// accept counts and refuses messages that are not of the present attempt.
func (a *Assembler) accept(s api.SendID) bool {
	switch {
	case s.Request != a.send.Request:
		a.drops.Foreign++
	case s.Attempt < a.send.Attempt:
		a.drops.Late++
	case s.Attempt > a.send.Attempt:
		a.drops.Unsent++
	case a.status != Open:
		a.drops.Closed++
	default:
		return true
	}
	return false
}
