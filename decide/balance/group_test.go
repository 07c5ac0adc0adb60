package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
)

const (
	groupRanks = 8
	rankSlots  = 12
)

// newGroupState returns a state with one group whose ranks have no requests.
func newGroupState() *balance.State {
	var instances []api.Instance
	for rank := range groupRanks {
		instances = append(instances, api.Instance{ID: fmt.Sprint("r", rank), Zone: "z", Address: fmt.Sprintf("10.0.0.%d:80", rank)})
	}
	v := newView(instances...)
	v.Table.Services["s"] = api.ServiceProfile{Name: "s", Engine: &api.EngineProfile{
		StepTime: 4550 * time.Microsecond, RequestTime: 1990 * time.Microsecond, StepsPerPass: 4, ExpertShare: 0.85, FormTime: 600 * time.Millisecond,
	}}
	v.Table.Routes = []api.Route{{Splits: []api.Split{{Service: "s", Weight: 1}}, MaxPause: 200 * time.Millisecond}}
	return newState(v)
}

// newGroupLoad returns a load with the same number of requests on each rank.
func newGroupLoad(readAt time.Duration, requests int) api.GroupLoad {
	l := api.GroupLoad{Group: "g", Formed: true, ReadAt: readAt}
	for rank := range groupRanks {
		l.Ranks = append(l.Ranks, api.RankLoad{AddressHash: xxhash.Sum64String(fmt.Sprintf("10.0.0.%d:80", rank)), Requests: requests})
	}
	return l
}

// Guards against requests to a group that is broken: they wait until the platform gives
// up on them, although it is known that they can't be served.
func TestBrokenGroupIsRefusedAtOnce(t *testing.T) {
	s := newGroupState()
	l := newGroupLoad(time.Second, 0)
	l.Formed = false
	s.ObserveGroupLoad(l)
	_, failure := s.Choose(1100*time.Millisecond, "s", nil)
	if failure == nil || failure.Run != api.NotRun || failure.RetryAfter < 600*time.Millisecond {
		t.Fatalf("failure %+v, want a refusal with a Retry-After of at least the time to form", failure)
	}
	s.ObserveGroupLoad(newGroupLoad(2*time.Second, 0))
	if _, failure := s.Choose(2100*time.Millisecond, "s", nil); failure != nil {
		t.Errorf("refused after the group was formed: %v", failure)
	}
}

// Guards against a group whose knowledge is stale for a while: its upstreams must stay
// in use, by their own reports.
func TestOldGroupLoadIsNotUsed(t *testing.T) {
	s := newGroupState()
	l := newGroupLoad(time.Second, 0)
	l.Formed = false
	s.ObserveGroupLoad(l)
	if _, failure := s.Choose(10*time.Second, "s", nil); failure != nil {
		t.Errorf("refused by a load that is 9 s old: %v", failure)
	}
}

// Guards against requests that wait behind full batches until they are late.
func TestFullGroupIsRefused(t *testing.T) {
	s := newGroupState()
	s.ObserveGroupLoad(newGroupLoad(time.Second, 2*rankSlots))
	if _, failure := s.Choose(1050*time.Millisecond, "s", nil); failure == nil || failure.Code != api.CodeOverloaded || failure.Run != api.NotRun {
		t.Errorf("failure %v, want a refusal", failure)
	}
}

// Guards against full batches on a group whose passes take too long: all callers then
// break off or are late.
func TestSlowGroupGetsSmallerBatches(t *testing.T) {
	accepted := func(passTime time.Duration) int {
		s := newGroupState()
		l := newGroupLoad(time.Second, 1)
		l.PassTime = passTime
		s.ObserveGroupLoad(l)
		n := 0
		for ; n < 1000; n++ {
			if _, failure := s.Choose(1001*time.Millisecond, "s", nil); failure != nil {
				break
			}
		}
		return n
	}
	usual, slow := accepted(27*time.Millisecond), accepted(80*time.Millisecond)
	if usual < groupRanks*(rankSlots-1) || slow >= usual*2/3 || slow < groupRanks {
		t.Errorf("accepted %d requests at the usual pass time and %d at three times that, want about %d and fewer than two thirds of it",
			usual, slow, groupRanks*rankSlots)
	}
}

// Guards against requests that concentrate on the one group whose load is known, while
// the load of another group of the service can't be read.
func TestUpstreamsOfUnknownGroupStayInUse(t *testing.T) {
	s := newGroupState()
	l := newGroupLoad(time.Second, 1)
	l.Ranks = l.Ranks[:groupRanks/2]
	s.ObserveGroupLoad(l)
	known := make(map[string]bool)
	for rank := range groupRanks / 2 {
		known[fmt.Sprint("r", rank)] = true
	}
	toKnown, toUnknown := 0, 0
	for range 4 * groupRanks {
		c, failure := s.Choose(1050*time.Millisecond, "s", nil)
		switch {
		case failure != nil:
			t.Fatal(failure)
		case known[c.Upstream]:
			toKnown++
		default:
			toUnknown++
		}
	}
	if toUnknown < toKnown {
		t.Errorf("%d requests to the group with one request a rank, %d to the one without known load", toKnown, toUnknown)
	}
}

// Guards against an old load that arrives late, through another process, and replaces a
// newer one.
func TestOlderGroupLoadIsIgnored(t *testing.T) {
	s := newGroupState()
	s.ObserveGroupLoad(newGroupLoad(2*time.Second, 2*rankSlots))
	s.ObserveGroupLoad(newGroupLoad(1500*time.Millisecond, 0))
	if _, failure := s.Choose(2050*time.Millisecond, "s", nil); failure == nil {
		t.Error("the older load is used")
	}
}
