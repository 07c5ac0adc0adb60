package admission

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
)

// A router that has just started knows no guild member. It once told its
// callers that their tokens were wrong, which no caller sends again.
func TestRouterWithoutConfigurationIsNotReady(t *testing.T) {
	s := &service{}
	s.members.Store(&table{})
	if _, f := s.Authenticate("token"); f == nil || f.Code != api.CodeNotReady {
		t.Errorf("before a configuration: %v, want %s", f, api.CodeNotReady)
	}
}

func TestAuthenticateKnowsConfiguredTokensOnly(t *testing.T) {
	hash := sha256.Sum256([]byte("token"))
	next := newTable(&table{}, &api.Config{Members: map[string]api.Member{"desk": {TokenHashes: []string{hex.EncodeToString(hash[:])}}}})
	s := &service{}
	s.members.Store(next)
	if c, f := s.Authenticate("token"); f != nil || c.Member != "desk" {
		t.Errorf("got %q, %v", c.Member, f)
	}
	if _, f := s.Authenticate("other"); f == nil || f.Code != api.CodeUnauthenticated {
		t.Errorf("another token: %v", f)
	}
}
