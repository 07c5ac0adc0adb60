// Package storewatch decides when a process reads the platform's store, how long it
// waits for an answer, and what it does without one.
//
// A watch that is not answered has two possible causes: the store is away, or the
// connection has gone silent while new ones work. The next call tells them apart: a
// short watch over a new connection, from the same revision. If it is answered, the
// store has lost nothing and the process missed nothing. The call is made early enough
// that a store that was away throughout the silence can't yet have let a lease expire,
// and it is made only then, so that a calm day has no further calls.
package storewatch

import (
	"time"

	"github.com/mulberryfork/mulberryfork/decide/discovery"
)

const (
	// CallTimeout bounds a call without a wait and detects a hanging connection. The
	// store takes 4 ms for a call; the timeout is 200 times that.
	CallTimeout = 800 * time.Millisecond
	// maxWait bounds how long the store holds a watch open without changes. Each answer
	// proves that the view is current, so it bounds the age of the view.
	maxWait = 1200 * time.Millisecond
	// probeWait is the wait of the short watch after a silence.
	probeWait = time.Millisecond
	// changeDelay is the wait between received changes and the next watch. Changes come
	// in bursts and each call to the store costs money. The wait doubles with each
	// further watch that returns changes, up to half the wait of a watch.
	changeDelay = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Kind is the kind of a read.
type Kind uint8

// Kinds of a read.
const (
	// List reads all entries.
	List Kind = iota
	// Watch waits for changes after a revision.
	Watch
)

// Settings are the settings of a reader.
type Settings struct {
	discovery.Bounds
	// PollInterval is the time between lists of all entries, 0 to watch the store.
	PollInterval time.Duration
	// ListTimeout bounds a call for one page of a list, CallTimeout if it is 0.
	ListTimeout time.Duration
}

// Read is the next read.
type Read struct {
	Kind Kind
	// Delay is the time until the read.
	Delay time.Duration
	// NewConnection is set if the open connection must not be used again.
	NewConnection bool
	// After is the revision after which a watch begins, and Wait the time for which the
	// store holds it open without changes.
	After uint64
	Wait  time.Duration
	// Timeout bounds each call of the read.
	Timeout time.Duration
}

// Reader holds the state of one reader. It is owned by the goroutine that reads.
type Reader struct {
	settings Settings
	// revision is the last one whose changes were received, 0 before the first list.
	revision uint64
	// changeDelay is the wait before the next watch, 0 if the last one had no changes.
	changeDelay time.Duration
	// backoff is the wait before the next read, 0 unless the last one failed.
	backoff time.Duration
	// restartDelay is the wait after the last of several new eras of the store, 0 after a read
	// that succeeded.
	restartDelay time.Duration
	// silent is set if the last watch was not answered in time.
	silent bool
	// listed is set once a list succeeded.
	listed bool
	// settledAt is the time from which changes are collected for longer again.
	settledAt time.Duration
}

// New returns a reader that has read nothing yet.
func New(s Settings) *Reader {
	if s.ListTimeout == 0 {
		s.ListTimeout = CallTimeout
	}
	return &Reader{settings: s}
}

// wait is the time for which a watch is held open, no more than one heartbeat.
func (r *Reader) wait() time.Duration { return min(r.settings.HeartbeatInterval(), maxWait) }

// silenceTimeout is the time after the wait of a watch within which it must be answered.
// Together with the wait it leaves almost half a heartbeat for a call over a new
// connection before a lease can have expired.
func (r *Reader) silenceTimeout() time.Duration {
	return min(r.settings.HeartbeatInterval()/2, CallTimeout)
}

// Next returns the next read.
func (r *Reader) Next() Read {
	switch {
	case r.silent:
		return Read{Kind: Watch, NewConnection: true, After: r.revision, Wait: probeWait, Timeout: CallTimeout}
	case r.backoff > 0:
		return Read{Kind: List, Delay: r.backoff, NewConnection: true, Timeout: r.settings.ListTimeout}
	case r.settings.PollInterval > 0 && r.listed:
		return Read{Kind: List, Delay: r.settings.PollInterval, Timeout: r.settings.ListTimeout}
	case r.revision == 0 || r.settings.PollInterval > 0:
		return Read{Kind: List, Timeout: r.settings.ListTimeout}
	}
	// The delay counts toward the wait, so that the time without an answer stays the same.
	wait := r.wait() - r.changeDelay
	return Read{Kind: Watch, Delay: r.changeDelay, After: r.revision, Wait: wait, Timeout: wait + r.silenceTimeout()}
}

// Listed records a list of all entries. Its pages are no snapshot: revision is that of the
// store at the first page.
func (r *Reader) Listed(now time.Duration, revision uint64) {
	r.answered(now)
	r.revision, r.listed, r.changeDelay = revision, true, 0
}

// Watched records the answer to a watch. revision is the highest one of its changes, 0 if
// there are none.
func (r *Reader) Watched(now time.Duration, revision uint64) {
	r.answered(now)
	if revision == 0 {
		r.changeDelay = 0
		return
	}
	r.revision = max(r.revision, revision)
	r.changeDelay = min(max(2*r.changeDelay, changeDelay), r.wait()/2)
	if now < r.settledAt {
		// Removals are kept back in this time, so that they must be read soon.
		r.changeDelay = min(r.changeDelay, changeDelay)
	}
}

func (r *Reader) answered(now time.Duration) {
	if r.backoff > 0 || r.silent {
		r.settledAt = now + r.settings.SettleTime()
	}
	r.backoff, r.restartDelay, r.silent = 0, 0, false
}

// Failed records that a read failed. timedOut is set if the call was not answered in time.
// After a failure all entries are read again; after a silence the next call tells what it
// was.
func (r *Reader) Failed(read Read, timedOut bool) {
	if timedOut && read.Kind == Watch && !r.silent {
		r.silent = true
		return
	}
	r.silent, r.revision = false, 0
	r.backoff = nextBackoff(r.backoff)
}

// Restart records that a read ended because the store has begun a new era. All entries are
// read again, soon after the first such read: the store answers.
func (r *Reader) Restart() {
	r.restartDelay = nextBackoff(r.restartDelay)
	r.silent, r.revision, r.backoff = false, 0, r.restartDelay
}

func nextBackoff(last time.Duration) time.Duration {
	return min(max(2*last, minBackoff), maxBackoff)
}
