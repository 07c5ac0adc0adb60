// Package retrybudget implements the retry budget of one router: retries are
// limited to a fraction of the first attempts, for each guild member and in total.
// If every router stays within this ratio, so does the fleet.
package retrybudget

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// DefaultRatio is the default ratio of retries to first attempts.
	DefaultRatio = 0.1
	// processBurst and memberBurst are the sizes, in retries, of the token buckets
	// of the router and of each member. They allow retries at low request rates,
	// where the ratio alone would allow less than one.
	processBurst = 20
	memberBurst  = 5
)

const (
	// backoffBase is the maximum of the first backoff, before jitter. It doubles
	// with each attempt, up to backoffMax.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 5 * time.Second
	// maxBackoffDoublings prevents an overflow of the shift.
	maxBackoffDoublings = 16
)

// Counters holds totals since the state was created. Denied counts retries and
// hedges.
type Counters struct {
	FirstAttempts uint64
	Retries       uint64
	Hedges        uint64
	Denied        uint64
}

// State holds the budgets of one router.
type State struct {
	ratio          float64
	processBalance float64
	memberBalances map[string]float64
	counters       Counters
}

// New returns a state with full budgets. A ratio of zero disables retries.
func New(ratio float64, members []string) *State {
	s := &State{memberBalances: make(map[string]float64)}
	s.Configure(ratio, members)
	return s
}

// Configure sets the ratio and the list of members. Members in the previous list
// keep their balance, limited to the bucket size.
func (s *State) Configure(ratio float64, members []string) {
	if s.ratio == 0 {
		s.processBalance = processBurst
	}
	s.ratio = min(max(ratio, 0), 1)
	balances := make(map[string]float64, len(members))
	for _, name := range members {
		balance, ok := s.memberBalances[name]
		if !ok {
			balance = memberBurst
		}
		balances[name] = min(balance, s.bucketSize(memberBurst))
	}
	s.memberBalances = balances
	s.processBalance = min(s.processBalance, s.bucketSize(processBurst))
}

// bucketSize returns size, or zero if the ratio is zero, which disables retries.
func (s *State) bucketSize(size float64) float64 {
	if s.ratio == 0 {
		return 0
	}
	return size
}

// Counters returns the totals.
func (s *State) Counters() Counters { return s.counters }

// RecordFirstAttempt adds credit for the first attempt of a request to the budgets of the
// member and the process.
func (s *State) RecordFirstAttempt(member string) {
	s.counters.FirstAttempts++
	s.processBalance = min(s.processBalance+s.ratio, s.bucketSize(processBurst))
	if balance, ok := s.memberBalances[member]; ok {
		s.memberBalances[member] = min(balance+s.ratio, s.bucketSize(memberBurst))
	}
}

// AllowRetry reports whether a request may be retried. If so, it charges one retry
// to the budgets of the member and the process. An unknown member has no budget.
func (s *State) AllowRetry(member string) bool {
	if !s.spend(member) {
		return false
	}
	s.counters.Retries++
	return true
}

// AllowHedge reports whether a request may be hedged with a second concurrent
// attempt. If so, it charges the same budgets as a retry. Only idempotent requests
// that have waited for at least the threshold may be hedged; the threshold is
// usually the 95th percentile of the time to first chunk.
func (s *State) AllowHedge(member string, idempotent bool, waited, threshold time.Duration) bool {
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

// Backoff returns the time to wait before a retry: the full retryAfter of the
// refusal plus an exponential backoff with full jitter. The number of the failed
// attempt starts with 1, and random is in [0, 1).
func Backoff(attempt int, retryAfter time.Duration, random float64) time.Duration {
	doublings := min(max(attempt-1, 0), maxBackoffDoublings)
	ceiling := min(backoffBase<<doublings, backoffMax)
	return max(retryAfter, 0) + time.Duration(random*float64(ceiling))
}

// Retryable reports whether a failed request may be sent to another upstream.
// The failure must be transient, and a request that may have run must be
// idempotent.
func Retryable(f *api.Failure, idempotent bool) bool {
	if f == nil || (f.Run != api.NotRun && !idempotent) {
		return false
	}
	return Transient(f.Code)
}

// Transient reports whether another attempt may succeed after a failure with this
// code.
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
