package discovery_test

import (
	"context"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/discovery"
)

// Guards against requests to an upstream that is gone for as long as a list of many pages takes,
// because the grace period after an outage began with the last page: the store was back before
// the first. An upstream that registered after its page was read must not be dropped either.
func TestGracePeriodBeginsWithFirstAnswer(t *testing.T) {
	const second = time.Second
	for _, c := range []struct{ first, dropAt time.Duration }{
		{12 * second, 12*second + discovery.ReregistrationGrace},
		{11 * second, 11*second + discovery.ReregistrationGrace},
		{8 * second, 12*second + 200*time.Millisecond},
	} {
		s := discovery.New(discovery.Bounds{})
		s.Apply(second, list(0, second, configItem(1, 2), startedItem("a", 3, 10, false), startedItem("b", 4, 10, false)))
		u := list(0, c.first, configItem(1, 2), startedItem("a", 3, 10, false))
		u.FirstAnswerAt = c.first
		s.Apply(2*second, changes(0, 2*second))
		u.Err = context.DeadlineExceeded
		s.Apply(3*second, u)
		u.Err = nil
		change := s.Apply(12*second, u)
		if len(change.Dropped) > 0 || change.NextTick != c.dropAt {
			t.Errorf("first answer at %v: %v dropped, the next tick is at %v, want %v", c.first, change.Dropped, change.NextTick, c.dropAt)
		}
		if change = s.Tick(c.dropAt); len(change.Dropped) != 1 {
			t.Errorf("first answer at %v: %v dropped at %v", c.first, change.Dropped, c.dropAt)
		}
	}
}
