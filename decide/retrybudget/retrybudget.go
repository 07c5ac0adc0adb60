// Package retrybudget bounds the retries of one router as a part of its first
// sends, for each guild member and in total. If every router keeps to the
// part, the fleet does.
package retrybudget

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// DefaultRatio is the part of first sends that may be retried.
	DefaultRatio = 0.1
	// processBurst and memberBurst are the retries that a bucket holds. They
	// allow retries at low rates, where the part is less than one.
	processBurst = 20
	memberBurst  = 5
)

const (
	// backoffBase and backoffMax bound the exponential backoff.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 5 * time.Second
	// maxBackoffDoublings keeps the shift within range.
	maxBackoffDoublings = 16
)

// Counters are totals since the state was made.
type Counters struct {
	FirstSends uint64
	Retries    uint64
	Hedges     uint64
	Denied     uint64
}

// State holds the budgets of one router.
type State struct {
	ratio          float64
	processBalance float64
	memberBalances map[string]float64
	counters       Counters
}

// New returns a state with full budgets. A ratio of 0 allows no retry.
func New(ratio float64, members []string) *State {
	s := &State{memberBalances: make(map[string]float64)}
	s.Configure(ratio, members)
	return s
}

// Configure takes a new ratio and list of members. Members that stay keep
// their balance.
func (s *State) Configure(ratio float64, members []string) {
	if s.ratio == 0 {
		s.processBalance = processBurst
	}
	s.ratio = min(max(ratio, 0), 1)
	kept := make(map[string]float64, len(members))
	for _, name := range members {
		balance, ok := s.memberBalances[name]
		if !ok {
			balance = memberBurst
		}
		kept[name] = min(balance, s.bucketSize(memberBurst))
	}
	s.memberBalances = kept
	s.processBalance = min(s.processBalance, s.bucketSize(processBurst))
}

// bucketSize is the size of a bucket; without a ratio no retry is allowed at all.
func (s *State) bucketSize(size float64) float64 {
	if s.ratio == 0 {
		return 0
	}
	return size
}

// Counters returns the totals.
func (s *State) Counters() Counters { return s.counters }

// FirstSend credits the budgets for the first send of a request.
func (s *State) FirstSend(member string) {
	s.counters.FirstSends++
	s.processBalance = min(s.processBalance+s.ratio, s.bucketSize(processBurst))
	if balance, ok := s.memberBalances[member]; ok {
		s.memberBalances[member] = min(balance+s.ratio, s.bucketSize(memberBurst))
	}
}

// Retry takes one retry from the budgets of the member and the process, or
// nothing if either is short.
func (s *State) Retry(member string) bool {
	if !s.spend(member) {
		return false
	}
	s.counters.Retries++
	return true
}

// Hedge takes a second concurrent send from the same budgets. Only an
// idempotent request that has waited longer than the threshold, usually the
// 95th percentile, may be hedged.
func (s *State) Hedge(member string, idempotent bool, waited, threshold time.Duration) bool {
	if !idempotent || waited < threshold || !s.spend(member) {
		return false
	}
	s.counters.Hedges++
	return true
}

func (s *State) spend(member string) bool {
	if s.processBalance < 1 || s.memberBalances[member] < 1 {
		s.counters.Denied++
		return false
	}
	s.processBalance--
	s.memberBalances[member]--
	return true
}

// Backoff returns the wait before a retry; attempt counts from 1. The random
// number in [0, 1) is supplied by the caller. Advice of the refusing side is
// waited for in full.
func Backoff(attempt int, retryAfter time.Duration, random float64) time.Duration {
	doublings := min(max(attempt-1, 0), maxBackoffDoublings)
	ceiling := min(backoffBase<<doublings, backoffMax)
	return max(retryAfter, 0) + time.Duration(random*float64(ceiling))
}

// Retryable says whether a failed request may be sent again to another
// upstream: a request that may have run only if it is idempotent, and none
// whose failure would repeat.
func Retryable(f *api.Failure, idempotent bool) bool {
	if f == nil || (f.Run != api.NotRun && !idempotent) {
		return false
	}
	return Transient(f.Code)
}

// Transient says whether another send may succeed where one failed with a code.
func Transient(code api.Code) bool {
	switch code {
	case api.CodeOverloaded, api.CodeQueueFull, api.CodeColdUpstream,
		api.CodeZoneOut, api.CodeLeaving, api.CodeStaleRevision,
		api.CodeWrongIncarnation, api.CodeWrongUpstream, api.CodeNotReady, api.CodeShuttingDown,
		api.CodeLinkLost, api.CodeStreamBroken, api.CodeUpstreamFailed,
		api.CodeUpstreamUnreached, api.CodeLedgerFull, api.CodeStaleFencingToken:
		return true
	}
	return false
}
