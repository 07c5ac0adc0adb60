package admission

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against rejecting valid tokens as unauthenticated while the router has no
// configuration yet. Callers don't retry after that failure.
func TestRouterWithoutConfigurationIsNotReady(t *testing.T) {
	s := &service{}
	s.memberTable.Store(&memberTable{})
	if _, f := s.Authenticate("token"); f == nil || f.Code != api.CodeNotReady {
		t.Errorf("before a configuration: %v, want %s", f, api.CodeNotReady)
	}
}

// Guards against accepting a token that no member has.
func TestAuthenticateAcceptsOnlyConfiguredTokens(t *testing.T) {
	hash := sha256.Sum256([]byte("token"))
	next := newMemberTable(&memberTable{}, &api.Config{Members: map[string]api.Member{"desk": {TokenHashes: []string{hex.EncodeToString(hash[:])}}}})
	s := &service{}
	s.memberTable.Store(next)
	if c, f := s.Authenticate("token"); f != nil || c.Member != "desk" {
		t.Errorf("got %q, %v", c.Member, f)
	}
	if _, f := s.Authenticate("other"); f == nil || f.Code != api.CodeUnauthenticated {
		t.Errorf("unknown token: %v", f)
	}
}

// Guards against a Retry-After at which a member with a low rate is refused again.
func TestRateLimitNamesTimeOfNextToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 0.2
		s := &service{maxInFlight: 10}
		s.memberTable.Store(newMemberTable(&memberTable{}, &api.Config{Members: map[string]api.Member{"desk": {RequestsPerSecond: perSecond}}}))
		limiter := s.memberTable.Load().limiters["desk"]
		if !limiter.Allow() {
			t.Fatal("no first token")
		}
		time.Sleep(time.Second)
		_, f := s.Admit(t.Context(), "desk", "", 0)
		if f == nil || f.Code != api.CodeRateLimited || f.RetryAfter < 4*time.Second || f.RetryAfter > 4100*time.Millisecond {
			t.Fatalf("got %v, want %s with about 4 s", f, api.CodeRateLimited)
		}
		time.Sleep(f.RetryAfter)
		if !limiter.Allow() {
			t.Error("refused again after the Retry-After")
		}
	})
}
