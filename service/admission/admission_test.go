package admission

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

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
