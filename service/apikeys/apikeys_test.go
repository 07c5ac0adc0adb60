package apikeys

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/internal/replacedview"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Guards against a key that is refused by a view older than the age that was checked: the view
// is replaced, after an absence of the store, while the key is looked up.
func TestKeyIsNotRefusedByViewThatIsReplaced(t *testing.T) {
	clock := kernel.BootClock{}
	settings := &api.Settings{}
	settings.Edge.RevocationDeadline = api.Duration(5 * time.Second)
	for viewAt := range 4 {
		for asOfAt := viewAt; asOfAt < 4; asOfAt++ {
			t.Run(fmt.Sprint(viewAt, asOfAt), func(t *testing.T) {
				now := clock.Now()
				s := &service{clock: clock, settings: settings, discovery: &replacedview.Discovery{
					ViewAt: viewAt, AsOfAt: asOfAt, AsOfBefore: now - time.Minute, AsOfAfter: now,
					Before: &api.View{Table: &api.RouteTable{Version: 1}},
					After:  &api.View{Table: &api.RouteTable{Version: 2, Keys: map[string]string{"key": "member"}}},
				}}
				if _, failure := s.Authenticate("key"); failure != nil && failure.Code != api.CodeNotReady {
					t.Errorf("refused: %v", failure)
				}
			})
		}
	}
}
