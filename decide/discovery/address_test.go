package discovery_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
)

// Guards against a successor that gets no requests although its predecessor is known to be
// gone from their address: the clock of the VM went back between their starts.
func TestSuccessorWithEarlierStartFollowsReassignment(t *testing.T) {
	s := discovery.New(discovery.Bounds{})
	var items []api.DiscoveryItem
	for i, id := range []string{"gone", "successor"} {
		item := upstreamItem(id, uint64(2+i))
		item.Instance.Service, item.Instance.Address, item.Instance.StartedAtMs = "web", "10.0.0.1:80", int64(9000-1000*i)
		items = append(items, item)
	}
	table := configItem(1, 1)
	table.Table.Services = map[string]api.ServiceProfile{"web": {Name: "web"}}
	s.Apply(time.Second, api.DiscoveryUpdate{Full: true, AsOf: time.Second, Items: append(items, table)})
	view := s.MarkAddressReassigned(0, "gone").View
	if _, listed := view.Instances["successor"]; !listed || len(view.Instances) != 1 {
		t.Errorf("listed %v, want the successor alone", view.Instances)
	}
}
