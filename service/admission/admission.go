// Package admission maps bearer tokens to guild members and enforces rate limits,
// the limit of concurrent requests and retry budgets.
package admission

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/connbudget"
	"github.com/mulberryfork/mulberryfork/decide/retrybudget"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	busyRetryAfter          = time.Second
	firstAttemptMailboxSize = 4096
	retryMailboxSize        = 1024
	hedgeMailboxSize        = 1024
)

type service struct {
	settings        *api.Settings
	store           api.ConfigStore
	refusedRequests api.Counter
	memberTable     atomic.Pointer[memberTable]
	inFlight        atomic.Int64
	firstAttempts   *kernel.Mailbox[string]
	retries         *kernel.Mailbox[kernel.Call[string, bool]]
	hedges          *kernel.Mailbox[kernel.Call[api.HedgeCandidate, bool]]
	// maxInFlight bounds the requests in flight.
	maxInFlight int64
	// The control loop owns budget.
	budget *retrybudget.State
}

// memberTable holds the tokens and rate limiters of the members in one snapshot. It is
// immutable.
type memberTable struct {
	// configured is false before the first snapshot.
	configured bool
	tokens     []token
	// limiters and rates hold the token buckets and their requests per second by
	// member. Members without a rate limit are missing.
	limiters map[string]*rate.Limiter
	rates    map[string]float64
}

type token struct {
	hash   [sha256.Size]byte
	member string
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	s.maxInFlight = int64(min(s.settings.Limits.Streams, connbudget.Derive(s.settings.MemoryLimitMB(), 0).Requests))
	if s.store, err = kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore); err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.refusedRequests = metrics.Counter("streams_refused", "")
	metrics.Gauge("streams", s.inFlight.Load)
	s.memberTable.Store(&memberTable{})
	s.budget = retrybudget.New(0, nil)
	// The mailbox may drop first attempts: that only makes the retry budget smaller.
	s.firstAttempts = kernel.NewMailbox(c.Loop(), "admission.first", firstAttemptMailboxSize, kernel.Drop,
		func(_ time.Duration, member string) { s.budget.RecordFirstAttempt(member) })
	s.retries = kernel.NewMailbox(c.Loop(), "admission.retry", retryMailboxSize, kernel.Wait,
		func(_ time.Duration, call kernel.Call[string, bool]) { call.Reply(s.budget.AllowRetry(call.Query)) })
	s.hedges = kernel.NewMailbox(c.Loop(), "admission.hedge", hedgeMailboxSize, kernel.Wait,
		func(_ time.Duration, call kernel.Call[api.HedgeCandidate, bool]) {
			h := call.Query
			call.Reply(s.budget.AllowHedge(h.Member, h.Idempotent, h.Waited, h.Threshold))
		})
	s.store.Subscribe(s.configure)
	return nil
}

// configure applies a new snapshot to the member table and the retry budgets. Limiters
// whose rate did not change are kept, so that a new configuration doesn't refill their
// token buckets.
func (s *service) configure(_ time.Duration, snap *api.Snapshot) {
	s.memberTable.Store(newMemberTable(s.memberTable.Load(), snap.Config))
	s.budget.Configure(snap.Config.Pool.RetryRatio, slices.Sorted(maps.Keys(snap.Config.Members)))
}

func newMemberTable(old *memberTable, c *api.Config) *memberTable {
	next := &memberTable{configured: true, limiters: make(map[string]*rate.Limiter), rates: make(map[string]float64)}
	for name, m := range c.Members {
		for _, text := range m.TokenHashes {
			raw, err := hex.DecodeString(text)
			if err != nil || len(raw) != sha256.Size {
				continue
			}
			next.tokens = append(next.tokens, token{hash: [sha256.Size]byte(raw), member: name})
		}
		if m.RequestsPerSecond <= 0 {
			continue
		}
		next.rates[name] = m.RequestsPerSecond
		if old.rates[name] == m.RequestsPerSecond {
			next.limiters[name] = old.limiters[name]
			continue
		}
		burst := max(int(m.RequestsPerSecond), 1)
		next.limiters[name] = rate.NewLimiter(rate.Limit(m.RequestsPerSecond), burst)
	}
	return next
}

// Authenticate returns the member of a bearer token. It compares the token's hash with
// all configured hashes in constant time, so that the timing reveals none of them.
func (s *service) Authenticate(bearer string) (api.Caller, *api.Failure) {
	sum := sha256.Sum256([]byte(bearer))
	t := s.memberTable.Load()
	if !t.configured {
		return api.Caller{}, api.NewFailure(api.CodeNotReady, api.NotRun, "no configuration yet")
	}
	found := -1
	for i := range t.tokens {
		same := subtle.ConstantTimeCompare(sum[:], t.tokens[i].hash[:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return api.Caller{}, api.NewFailure(api.CodeUnauthenticated, api.NotRun, "unknown bearer token")
	}
	return api.Caller{Member: t.tokens[found].member}, nil
}

// Admit admits a request within the member's rate limit and the process's limit of
// concurrent requests, and adds credit for it to the retry budgets. The returned function
// must be called when the request has ended.
func (s *service) Admit(ctx context.Context, member, _ string, _ uint32) (func(), *api.Failure) {
	if limiter := s.memberTable.Load().limiters[member]; limiter != nil && !limiter.Allow() {
		return nil, &api.Failure{
			Code:       api.CodeRateLimited,
			Run:        api.NotRun,
			Detail:     "guild member " + member + " exceeds its request rate",
			RetryAfter: nextToken(limiter),
		}
	}
	if s.inFlight.Add(1) > s.maxInFlight {
		s.inFlight.Add(-1)
		s.refusedRequests.Add(1)
		return nil, &api.Failure{
			Code:       api.CodeTooManyStreams,
			Run:        api.NotRun,
			Detail:     "this router has reached its limit of concurrent requests",
			RetryAfter: busyRetryAfter,
		}
	}
	_ = s.firstAttempts.Post(ctx, member)
	return func() { s.inFlight.Add(-1) }, nil
}

// nextToken returns the time until a limiter without a token has one.
func nextToken(limiter *rate.Limiter) time.Duration {
	missing := max(1-limiter.Tokens(), 0)
	return time.Duration(missing/float64(limiter.Limit())*float64(time.Second)) + time.Millisecond
}

// SpendRetry takes one retry from the retry budgets of the member and the process. It
// returns false if one of them is exhausted.
func (s *service) SpendRetry(ctx context.Context, member, _ string) bool {
	granted, err := kernel.Ask(ctx, s.retries, member)
	return err == nil && granted
}

// SpendHedge takes a hedge from the same budgets. It returns false if a budget is
// exhausted or the request must not be hedged.
func (s *service) SpendHedge(ctx context.Context, h api.HedgeCandidate) bool {
	granted, err := kernel.Ask(ctx, s.hedges, h)
	return err == nil && granted
}
