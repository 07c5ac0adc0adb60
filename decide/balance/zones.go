package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/outlier"
	"github.com/mulberryfork/mulberryfork/decide/waterfill"
	"github.com/mulberryfork/mulberryfork/decide/zoneshare"
)

// bytesWeight is the weight of one request in the mean number of bytes.
const bytesWeight = 0.1

// ZoneShare is the share of this process's work on a service that goes to another zone.
type ZoneShare struct {
	Service, Zone string
	zoneshare.Share
}

// configureZones sets the delays between zones to those of the view, and removes the shares
// of services without upstreams.
func (s *State) configureZones() {
	delays := map[api.ZonePair]time.Duration{}
	if s.view.Table != nil && s.view.Table.ZoneDelays != nil {
		delays = s.view.Table.ZoneDelays
	}
	s.zones.SetDelays(func(from, to string) (time.Duration, bool) {
		d, ok := delays[api.ZonePair{From: from, To: to}]
		return d, ok
	})
	s.zones.Retain(func(service string) bool { return len(s.services[service]) > 0 })
}

// ObserveBytes records the bytes of a request and its response.
func (s *State) ObserveBytes(upstream string, n int64) {
	u := s.upstreams[upstream]
	if u == nil || n <= 0 {
		return
	}
	t := s.trafficOf(u.instance.Service)
	if t.meanBytes == 0 {
		t.meanBytes = float64(n)
	}
	t.meanBytes += bytesWeight * (float64(n) - t.meanBytes)
}

// ZoneOf returns the service and the zone of an upstream, empty if it is unknown.
func (s *State) ZoneOf(upstream string) (service, zone string) {
	if u := s.upstreams[upstream]; u != nil {
		return u.instance.Service, u.instance.Zone
	}
	return "", ""
}

// ZoneShare returns the share of the work on a service that goes to another zone.
func (s *State) ZoneShare(service, zone string) zoneshare.Share { return s.zones.Share(service, zone) }

// ZoneShares returns the shares of the work that goes to other zones in service, sorted by
// service and zone.
func (s *State) ZoneShares() []ZoneShare {
	var list []ZoneShare
	for _, service := range slices.Sorted(maps.Keys(s.services)) {
		seen := map[string]bool{s.options.Zone: true}
		first := len(list)
		for _, u := range s.services[service] {
			if zone := u.instance.Zone; !seen[zone] && s.eligible(u) {
				seen[zone] = true
				list = append(list, ZoneShare{Service: service, Zone: zone, Share: s.zones.Share(service, zone)})
			}
		}
		slices.SortFunc(list[first:], func(a, b ZoneShare) int { return cmp.Compare(a.Zone, b.Zone) })
	}
	return list
}

// zonePenalty returns the load that is added to that of an upstream for one request, 0 in
// the own zone. load is that of the upstream, and limit the load at which it gets no more.
func (s *State) zonePenalty(now time.Duration, u *upstream, load, limit float64) float64 {
	service, zone := u.instance.Service, u.instance.Zone
	if zone == s.options.Zone {
		return 0
	}
	if s.zones.Due(now, service) {
		s.zones.Update(now, service, s.zoneWork(now, service), s.zoneLoads(now, service))
	}
	if s.staysInGroup(now, u) {
		return s.zones.Share(service, zone).GroupPreference
	}
	return s.zones.Share(service, zone).Penalty(load, float64(u.instance.Slots), limit, s.random.Float64())
}

// zoneMargin returns what the penalty of an upstream adds to its capacity in water filling,
// so that it leaves its room as it is. Upstreams of the own zone get the least penalty of the
// others.
func (s *State) zoneMargin(u *upstream, penalty float64) float64 {
	if u.instance.Zone == s.options.Zone {
		return zoneshare.Preference
	}
	return penalty
}

// staysInGroup reports whether requests of an upstream's service stay in the own zone while
// the ranks there lie below the level to which those of the whole group rise. It takes a price
// of the bytes between zones and the loads of the group.
func (s *State) staysInGroup(now time.Duration, u *upstream) bool {
	if s.options.ZoneBytePrice <= 0 {
		return false
	}
	p := s.engineProfile(u.instance.Service)
	_, recent := u.currentGroupLoad(now)
	return recent && p != nil && p.Experts > 0
}

// chooseInRoom selects one of the candidates of a room by water filling. Of those below the
// level, it prefers the ranks of the own zone as often as their part of the rise allows.
func (s *State) chooseInRoom(now time.Duration, room *Room, arrivals float64) int {
	random := s.random.Float64()
	below, level := waterfill.Below(room.candidates, arrivals)
	if len(below) == 0 {
		return waterfill.Refused
	}
	list := below
	if s.staysInGroup(now, room.ranks[below[0]]) {
		list, random = s.preferHome(room, below, level, random)
	}
	return waterfill.Draw(list, random)
}

// preferHome returns those of the candidates below the level that a request goes to, and
// another random number, derived from the one that decided.
func (s *State) preferHome(room *Room, below []int, level, random float64) ([]int, float64) {
	atHome := func(i int) bool { return room.ranks[i].instance.Zone == s.options.Zone }
	ranks, n := 0, 0
	for i := range room.ranks {
		if atHome(i) {
			ranks++
		}
	}
	rise, homeRise := 0.0, 0.0
	for k, i := range below {
		c := room.candidates[i]
		rise += min(level, c.Capacity) - c.Load
		if atHome(i) {
			homeRise += min(level, c.Capacity) - c.Load
			below[k], below[n] = below[n], i
			n++
		}
	}
	if n == 0 || n == len(below) {
		return below, random
	}
	stay := zoneshare.StayProbability(homeRise/rise, float64(ranks)/float64(len(room.ranks)))
	if random < stay {
		return below[:n], random / stay
	}
	return below[n:], (random - stay) / (1 - stay)
}

// zoneWork describes the requests of a service.
func (s *State) zoneWork(now time.Duration, service string) zoneshare.Work {
	t := s.trafficOf(service)
	w := zoneshare.Work{Duration: t.meanDuration, Bytes: t.meanBytes}
	if p := s.engineProfile(service); p != nil {
		w.Lockstep = p.Experts > 0
		w.CallersPerRank = s.callersPerRank(now, service)
		w.LoadCost = time.Duration(p.AnswerTokens) * p.RequestTime
	}
	if list := s.services[service]; w.LoadCost <= 0 && len(list) > 0 && list[0].instance.Slots > 0 {
		w.LoadCost = w.Duration / time.Duration(list[0].instance.Slots)
	}
	return w
}

// callersPerRank returns the requests on all ranks of a service, as their leaders read them,
// for each rank of the own zone, 0 if none is known.
func (s *State) callersPerRank(now time.Duration, service string) float64 {
	requests, ranks := 0, 0
	for _, u := range s.services[service] {
		if load, recent := u.currentGroupLoad(now); recent && s.eligible(u) {
			requests += load.requests
			if u.instance.Zone == s.options.Zone {
				ranks++
			}
		}
	}
	return float64(requests) / float64(max(ranks, 1))
}

// zoneLoads returns what is known of the upstreams of a service by zone. Only upstreams that
// can take requests without a quota count as usable.
func (s *State) zoneLoads(now time.Duration, service string) map[string]zoneshare.Zone {
	zones := make(map[string]zoneshare.Zone)
	for _, u := range s.services[service] {
		if !s.eligible(u) {
			continue
		}
		z := zones[u.instance.Zone]
		if s.usable(now, u) {
			z.Upstreams++
			z.Slots += float64(u.instance.Slots)
			s.addKnownLoad(now, u, &z)
		}
		zones[u.instance.Zone] = z
	}
	return zones
}

func (s *State) usable(now time.Duration, u *upstream) bool {
	cold := now < u.instance.ColdUntil && s.coldRate(u) > 0
	return !cold && u.effectiveHealth(now) == outlier.Healthy && s.statements.HeldUntil(now, u.incarnation()) == 0
}

// addKnownLoad adds the load of an upstream to that of its zone. A reported load counts
// without decay while it is recent: it would look as if the zone became idle.
func (s *State) addKnownLoad(now time.Duration, u *upstream, z *zoneshare.Zone) {
	z.Load += float64(u.inFlight)
	if u.reported && now-u.othersLoadAt <= zoneshare.MaxReportAge {
		z.Load += u.othersLoad
	}
	if u.reported && (!z.Reported || u.othersLoadAt > z.ReportedAt) {
		z.Reported, z.ReportedAt = true, u.othersLoadAt
	}
	u.updateUnanswered()
	if u.unanswered && (!z.Asked || u.unansweredSince < z.AskedAt) {
		z.Asked, z.AskedAt = true, u.unansweredSince
	}
}

// updateUnanswered records the time of the first request in flight since the last report. It
// outlasts sentAt, which covers less than a long request takes.
func (u *upstream) updateUnanswered() {
	if u.inFlight == 0 || u.reported && u.othersLoadAt >= u.unansweredSince {
		u.unanswered = false
	}
	if u.unanswered || u.inFlight == 0 {
		return
	}
	for _, at := range u.sentAt {
		if !u.reported || at > u.othersLoadAt {
			u.unanswered, u.unansweredSince = true, at
			return
		}
	}
}
