package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
	"github.com/mulberryfork/mulberryfork/decide/zoneshare"
)

// plainZones plays 10 requests a second of one process to a service with one upstream in
// each of two zones. homeLoad is the number of requests of other processes at home. It
// returns the number of requests that left.
func plainZones(t *testing.T, s *balance.State, homeLoad int, exclude []string) (left, sent int) {
	t.Helper()
	const responseTime = 180 * time.Millisecond
	for i := range 200 {
		now := time.Second + time.Duration(i)*100*time.Millisecond
		c, failure := s.Choose(now, "s", exclude)
		if failure != nil {
			t.Fatal(failure)
		}
		sent++
		load := homeLoad
		if c.Upstream == "away" {
			left++
			load = 1
		}
		ended := now + responseTime/2
		s.ObserveLoad(ended, api.UpstreamLoad{Upstream: c.Upstream, Running: load, Slots: 12})
		s.ObserveDuration(c.Upstream, responseTime)
		s.Done(ended, c.Upstream, nil)
	}
	return left, sent
}

func newPlainZones(away api.Instance) *balance.State {
	away.ID = "away"
	return newState(newView(api.Instance{ID: "home", Zone: "z"}, away))
}

// Guards against requests that leave a zone with room, against ones that wait at a full home
// while another zone is idle, and against a retry that goes nowhere else.
func TestRequestsLeaveAFullZoneOnly(t *testing.T) {
	for _, c := range []struct {
		name     string
		homeLoad int
		exclude  []string
		min, max int
		reason   zoneshare.Reason
	}{
		{"room", 5, nil, 0, 2, zoneshare.ReasonRoom},
		{"full", 18, nil, 100, 200, zoneshare.ReasonWait},
		{"home tried", 5, []string{"home"}, 200, 200, zoneshare.ReasonRoom},
	} {
		s := newPlainZones(api.Instance{Zone: "y"})
		left, sent := plainZones(t, s, c.homeLoad, c.exclude)
		if share := s.ZoneShare("s", "y"); left < c.min || left > c.max || share.Reason != c.reason {
			t.Errorf("%s: %d of %d requests left, want %d to %d; share %+v, want %s", c.name, left, sent, c.min, c.max, share, c.reason)
		}
	}
}

// Guards against a share that overrides the evacuation of a zone or a cold quota.
func TestSharesYieldToEvacuationAndColdQuotas(t *testing.T) {
	v := newView(api.Instance{ID: "home", Zone: "z"}, api.Instance{ID: "away", Zone: "y"})
	v.ZonesOut["y"] = true
	out := newState(v)
	if left, _ := plainZones(t, out, 18, nil); left > 0 || len(out.ZoneShares()) > 0 {
		t.Errorf("%d requests to a zone that is out, shares %+v", left, out.ZoneShares())
	}
	cold := newPlainZones(api.Instance{Zone: "y", ColdUntil: time.Hour})
	const seconds, rate = 20, (36*1.5 + 5) / 24
	if left, _ := plainZones(t, cold, 18, nil); float64(left) > seconds*rate {
		t.Errorf("%d requests in %d s to a cold upstream, quota %.1f a second", left, seconds, rate)
	}
	if share := cold.ZoneShare("s", "y"); share.Reason != zoneshare.ReasonUnusable {
		t.Errorf("share %+v of a zone whose upstream is cold", share)
	}
}

// Guards against a zone whose only upstream is leaving or cold, and whose requests stay there
// because its slots look free.
func TestRequestsLeaveAZoneWithoutUsableUpstreams(t *testing.T) {
	for name, home := range map[string]api.Instance{"leaving": {Leaving: true}, "cold": {ColdUntil: time.Hour}} {
		home.ID, home.Zone = "home", "z"
		s := newState(newView(home, api.Instance{ID: "away", Zone: "y"}))
		left, sent := plainZones(t, s, 0, nil)
		if share := s.ZoneShare("s", "y"); left < sent/2 || share.Reason != zoneshare.ReasonNoHome {
			t.Errorf("%s: %d of %d requests left, share %+v", name, left, sent, share)
		}
	}
}

// Guards against a zone whose missing reports count as one to which nothing was sent, also
// if requests take long.
func TestZoneThatDoesNotAnswer(t *testing.T) {
	s := newPlainZones(api.Instance{Zone: "y"})
	s.ObserveDuration("home", time.Second)
	if _, failure := s.Choose(time.Second, "s", []string{"home"}); failure != nil {
		t.Fatal(failure)
	}
	reasons := make(map[zoneshare.Reason]bool)
	for now := time.Second; now < 7*time.Second; now += 100 * time.Millisecond {
		s.ObserveLoad(now, api.UpstreamLoad{Upstream: "home", Running: 20, Slots: 12})
		if c, failure := s.Choose(now, "s", nil); failure == nil && c.Upstream == "home" {
			s.Done(now, "home", nil)
		}
		reasons[s.ZoneShare("s", "y").Reason] = true
	}
	last := s.ZoneShare("s", "y").Reason
	if !reasons[zoneshare.ReasonKept] || last != zoneshare.ReasonNoReport {
		t.Errorf("reasons %v, the last one %s; want the share kept, then %s", reasons, last, zoneshare.ReasonNoReport)
	}
}

// newZonedGroup returns a state of one process in zone z, with a group in which every other
// rank is in zone y. loads are the requests on each rank in z and in y.
func newZonedGroup(price float64, loadZ, loadY int) (*balance.State, *api.View) {
	var instances []api.Instance
	l := newGroupLoad(time.Second, 0)
	for rank := range groupRanks {
		instances = append(instances, api.Instance{
			ID: fmt.Sprint("r", rank), Zone: [...]string{"z", "y"}[rank%2], Address: fmt.Sprintf("10.0.0.%d:80", rank),
		})
		l.Ranks[rank].Requests = [...]int{loadZ, loadY}[rank%2]
	}
	v := newView(instances...)
	v.Table.Services["s"] = api.ServiceProfile{Name: "s", Engine: &api.EngineProfile{
		Experts: 96, RequestTime: 500 * time.Microsecond, AnswerTokens: 160, StepTime: 5 * time.Millisecond, StepsPerPass: 6,
	}}
	s := balance.New(balance.Options{Zone: "z", Seed: 1, ZoneBytePrice: price})
	s.Configure(0, v)
	s.ObserveBytes("r0", 50_000)
	s.ObserveGroupLoad(l)
	return s, v
}

// Guards against a group across zones that is loaded unevenly without a price, and against a
// price without effect.
func TestGroupAcrossZones(t *testing.T) {
	left := func(price float64) int {
		s, v := newZonedGroup(price, 2, 2)
		n := 0
		for id, k := range countChoices(t, s, 1010*time.Millisecond, 16) {
			if v.Instances[id].Zone == "y" {
				n += k
			}
		}
		return n
	}
	if free, dear := left(0), left(1e4); free < 4 || dear > 0 {
		t.Errorf("%d of 16 requests left without a price, %d at 10 ms/KB; want a part and none", free, dear)
	}
	s, _ := newZonedGroup(1e6, 4*rankSlots, 2)
	if _, failure := s.Choose(1010*time.Millisecond, "s", nil); failure != nil {
		t.Errorf("refused at a high price although ranks of the other zone have room: %v", failure)
	}
	if share := s.ZoneShare("s", "y"); share.Reason != zoneshare.ReasonGroup {
		t.Errorf("share %+v of a group", share)
	}
}
