package dispatch

import (
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// attempt is the sink of one send. The mutex keeps a sink that was given up
// from writing to the caller while the next one does.
type attempt struct {
	delivery   *delivery
	race       *race
	send       api.AttemptID
	exchange   api.Exchange
	done       chan api.End
	firstChunk time.Duration
	// consumed bytes were not granted again yet.
	consumed int

	mu       sync.Mutex
	detached bool
}

// Bind receives the exchange before any answer.
func (a *attempt) Bind(x api.Exchange) { a.exchange = x }

// DetachedError reports an answer to an attempt that was given up.
type DetachedError struct{}

func (*DetachedError) Error() string { return "the attempt was given up" }

// Head passes the head of the first attempt that gets one.
func (a *attempt) Head(h api.Head) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.detached {
		return &DetachedError{}
	}
	if !a.race.claim(a) {
		return &DetachedError{}
	}
	d := a.delivery
	if !d.assembly.Head(h) {
		return nil
	}
	d.headSent, d.resumable = true, api.IsEventStream(h.Headers)
	if d.key != "" {
		h.Headers = append(h.Headers, api.Header{Name: keyHeader, Value: d.key})
	}
	return d.sink.Head(h)
}

// keyHeader tells a caller the key of its request.
const keyHeader = "Idempotency-Key"

// Chunk passes on the chunks that are next in order.
func (a *attempt) Chunk(c api.Chunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.detached || !a.race.claim(a) {
		a.delivery.service.counts.late.Add(1)
		return &DetachedError{}
	}
	d := a.delivery
	if a.firstChunk == 0 {
		a.firstChunk = d.service.clock.Now() - d.begin
	}
	for _, next := range d.assembly.Chunk(c) {
		if err := d.sink.Chunk(next); err != nil {
			return err
		}
		a.credit(len(next.Payload))
	}
	if f := d.assembly.Failure(); f != nil {
		return f
	}
	return nil
}

// credit grants the agent what the caller has taken, once it is worth a frame:
// a grant for every token would double the frames on the link.
func (a *attempt) credit(bytes int) {
	a.consumed += bytes
	if a.consumed >= windowBytes/2 {
		a.exchange.GrantCredit(uint32(a.consumed))
		a.consumed = 0
	}
}

// Flush passes on that nothing more is at hand.
func (a *attempt) Flush() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if f, ok := a.delivery.sink.(api.Flusher); ok && !a.detached {
		f.Flush()
	}
}

// End closes the attempt. A whole answer must have all its chunks, and a link
// delivers in order, so a chunk that is missing now will not come.
func (a *attempt) End(e api.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.detached {
		return
	}
	if e.Failure != nil && !a.race.claimed(a) {
		// Another send of the race may still answer, so the answer stays open.
		a.done <- api.End{Failure: e.Failure}
		return
	}
	if !a.race.claim(a) {
		return
	}
	assembly := a.delivery.assembly
	assembly.End(e)
	assembly.Break(api.NewFailure(api.CodeStreamBroken, api.RunUnknown, "chunks of the answer are missing"))
	a.done <- api.End{Chunks: assembly.Delivered(), Failure: assembly.Failure()}
}

// detach keeps whatever still arrives for the attempt from the caller.
func (a *attempt) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detached = true
}
