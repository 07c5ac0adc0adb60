package memberlist_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/memberlist"
)

// Guards against a list that, unlike the platform's list, shows changes before the
// lag has passed.
func TestListLags(t *testing.T) {
	clock := &kernel.ManualClock{}
	l := memberlist.New(clock, 5*time.Second)
	read := func() string {
		w := httptest.NewRecorder()
		l.ServeHTTP(w, httptest.NewRequest("GET", "/v1/members", nil))
		return strings.TrimSpace(w.Body.String())
	}
	const empty = `{"members":[]}`
	const live = `{"members":[{"name":"a","address":"127.0.0.1:1","zone":"z","role":"agent","state":"live"}]}`
	l.Set(memberlist.VM{Name: "a", Address: "127.0.0.1:1", Zone: "z", Role: "agent", State: "live"})
	clock.Advance(5*time.Second - 1)
	if got := read(); got != empty {
		t.Errorf("before the lag has passed: %s", got)
	}
	clock.Advance(1)
	l.Remove("a")
	if got := read(); got != live {
		t.Errorf("after the lag: %s", got)
	}
	clock.Advance(5 * time.Second)
	if got := read(); got != empty || l.Reads() != 3 {
		t.Errorf("after the removal: %s, %d reads", got, l.Reads())
	}
}
