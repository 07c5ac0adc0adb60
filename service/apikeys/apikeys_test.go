package apikeys

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// replacedView publishes a new view, and then its age, after given numbers of reads.
type replacedView struct {
	api.Discovery
	reads, viewAt, asOfAt int
	before, after         *api.View
	asOfBefore, asOfAfter time.Duration
}

func (d *replacedView) View() *api.View {
	defer func() { d.reads++ }()
	if d.reads >= d.viewAt {
		return d.after
	}
	return d.before
}

func (d *replacedView) AsOf() time.Duration {
	defer func() { d.reads++ }()
	if d.reads >= d.asOfAt {
		return d.asOfAfter
	}
	return d.asOfBefore
}

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
				s := &service{clock: clock, settings: settings, discovery: &replacedView{
					viewAt: viewAt, asOfAt: asOfAt, asOfBefore: now - time.Minute, asOfAfter: now,
					before: &api.View{Table: &api.RouteTable{Version: 1}},
					after:  &api.View{Table: &api.RouteTable{Version: 2, Keys: map[string]string{"key": "member"}}},
				}}
				if _, failure := s.Authenticate("key"); failure != nil && failure.Code != api.CodeNotReady {
					t.Errorf("refused: %v", failure)
				}
			})
		}
	}
}
