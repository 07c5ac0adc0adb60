package dispatch

import (
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// attempt is the sink of one send. The mutex prevents a detached attempt from
// writing to the caller while its successor does.
type attempt struct {
	delivery   *delivery
	hedged     *hedgedSend
	send       api.AttemptID
	exchange   api.Exchange
	done       chan api.End
	firstChunk time.Duration
	// pendingCredit counts the bytes delivered to the caller but not yet returned
	// to the agent as flow-control credit.
	pendingCredit int

	mu       sync.Mutex
	detached bool
}

// Bind sets the exchange. It is called before the first Head, Chunk or End.
func (a *attempt) Bind(x api.Exchange) { a.exchange = x }

// DetachedError is returned to a sender whose attempt has been abandoned or lost
// to another send.
type DetachedError struct{}

func (*DetachedError) Error() string { return "attempt abandoned or superseded by another send" }

// Head forwards the response head if this attempt is the first to produce output.
func (a *attempt) Head(h api.Head) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.detached {
		return &DetachedError{}
	}
	if !a.hedged.claim(a) {
		return &DetachedError{}
	}
	d := a.delivery
	if !d.assembler.Head(h) {
		return nil
	}
	d.headSent, d.resumable = true, api.IsEventStream(h.Headers)
	if d.key != "" {
		h.Headers = append(h.Headers, api.Header{Name: keyHeader, Value: d.key})
	}
	return d.sink.Head(h)
}

// keyHeader is the response header with the request's idempotency key.
const keyHeader = "Idempotency-Key"

// Chunk forwards all chunks that are now in order.
func (a *attempt) Chunk(c api.Chunk) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.detached || !a.hedged.claim(a) {
		a.delivery.service.counts.late.Add(1)
		return &DetachedError{}
	}
	d := a.delivery
	if a.firstChunk == 0 {
		a.firstChunk = d.service.clock.Now() - d.begin
	}
	for _, next := range d.assembler.Chunk(c) {
		if err := d.sink.Chunk(next); err != nil {
			return err
		}
		a.grantCredit(len(next.Payload))
	}
	if f := d.assembler.Failure(); f != nil {
		return f
	}
	return nil
}

// grantCredit returns flow-control credit to the agent once half the window is
// consumed. One grant per token would double the frames on the link.
func (a *attempt) grantCredit(bytes int) {
	a.pendingCredit += bytes
	if a.pendingCredit >= windowBytes/2 {
		a.exchange.GrantCredit(uint32(a.pendingCredit))
		a.pendingCredit = 0
	}
}

// Flush flushes the caller's sink if it buffers.
func (a *attempt) Flush() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if f, ok := a.delivery.sink.(api.Flusher); ok && !a.detached {
		f.Flush()
	}
}

// End completes the attempt. Links deliver in order, so a chunk that is missing
// at the end is lost and the answer is incomplete.
func (a *attempt) End(e api.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.detached {
		return
	}
	if e.Failure != nil && !a.hedged.isWinner(a) {
		// Another send may still answer, so the assembler stays open.
		a.done <- api.End{Failure: e.Failure}
		return
	}
	if !a.hedged.claim(a) {
		return
	}
	assembler := a.delivery.assembler
	assembler.End(e)
	assembler.Break(api.NewFailure(api.CodeStreamBroken, api.RunUnknown, "the answer ended with chunks missing"))
	a.done <- api.End{Chunks: assembler.Delivered(), Failure: assembler.Failure()}
}

// detach discards everything that arrives for the attempt from now on.
func (a *attempt) detach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detached = true
}
