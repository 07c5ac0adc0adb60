package balance

import (
	"math"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/batchlimit"
	"github.com/mulberryfork/mulberryfork/decide/waterfill"
)

const (
	// maxGroupLoadAge is the age above which the load of a group is not used.
	maxGroupLoadAge = time.Second
	// queuedFraction is the number of requests that may wait at an upstream, as a
	// fraction of its slots. A slot becomes free about once in the time of a request
	// divided by the slots, so that a request waits for at most that fraction of the
	// time of a request.
	queuedFraction = 1.0 / 6
	// maxUnread is the time since the first request of a service for which the load of a group
	// is awaited. A process that has started finds the groups within two searches and a round
	// trip between zones; until then it would send to groups that are broken.
	maxUnread = 300 * time.Millisecond
	// sentWindow is how long the times of own attempts are kept. It exceeds
	// maxGroupLoadAge.
	sentWindow = 2 * time.Second
	// trafficHalfLife is the half-life of the estimated request rate.
	trafficHalfLife = 2 * time.Second
	// durationWeight is the weight of one request in the mean duration.
	durationWeight = 0.1
	// minRetryAfter and maxRetryAfter bound the Retry-After when a group is full. It is
	// drawn at random between them, so that callers do not return together.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// rankLoad is the load of an upstream as the leader of its group read it.
type rankLoad struct {
	formed   bool
	requests int
	// limit is the number of requests that the upstream may run at the same time.
	limit int
	// steadyLimit is limit for the mean slowdown of the group, if that is lower. It is used
	// where groups differ.
	steadyLimit int
	readAt      time.Duration
}

// traffic estimates the requests of one service at this process.
type traffic struct {
	// rate is in requests per second, as of rateAt.
	rate   float64
	rateAt time.Duration
	// meanDuration is the moving average of the duration of a request, 0 if unknown.
	meanDuration time.Duration
	// unreadUntil is the time until which the load of the first group is awaited, 0 before the
	// first request. loadsRead is set once one was read.
	unreadUntil time.Duration
	loadsRead   bool
	// meanBytes is the moving average of the bytes of a request and its response.
	meanBytes float64
	entries   entries
}

func (s *State) trafficOf(service string) *traffic {
	t := s.traffic[service]
	if t == nil {
		t = &traffic{}
		s.traffic[service] = t
	}
	return t
}

// unread reports whether the load of the first group of the service is awaited. read is set if
// one is known now, grouped if the upstreams of the service form groups.
func (t *traffic) unread(now time.Duration, read, grouped bool) bool {
	if t.unreadUntil == 0 {
		t.unreadUntil = now + maxUnread
	}
	t.loadsRead = t.loadsRead || read
	return grouped && !t.loadsRead && now < t.unreadUntil
}

func (t *traffic) recordArrival(now time.Duration) {
	t.rate = t.rateNow(now) + math.Ln2/trafficHalfLife.Seconds()
	t.rateAt = now
}

func (t *traffic) rateNow(now time.Duration) float64 {
	return t.rate * math.Exp2(-(now-t.rateAt).Seconds()/trafficHalfLife.Seconds())
}

// ObserveDuration records the duration of a successful request.
func (s *State) ObserveDuration(upstream string, d time.Duration) {
	u := s.upstreams[upstream]
	if u == nil || d <= 0 {
		return
	}
	t := s.trafficOf(u.instance.Service)
	if t.meanDuration == 0 {
		t.meanDuration = d
	}
	t.meanDuration += time.Duration(durationWeight * float64(d-t.meanDuration))
}

// ObserveGroupLoad records the load of a group, unless a later one is known. A rank that
// did not respond to the leader keeps its last load until that is too old.
func (s *State) ObserveGroupLoad(l api.GroupLoad) {
	fullest := 0
	paces := make([]float64, 0, len(l.Ranks))
	for _, rank := range l.Ranks {
		fullest = max(fullest, rank.Requests)
		paces = append(paces, max(rank.Pace, 1))
	}
	usual := median(paces)
	measured := batchlimit.Group{PassTime: l.PassTime, Fullest: fullest, ShiftImbalance: l.ShiftImbalance}
	var g *group
	steady := measured
	for _, rank := range l.Ranks {
		u := s.byAddress[rank.AddressHash]
		if u == nil || u.groupLoad != nil && l.ReadAt < u.groupLoad.readAt {
			continue
		}
		if g == nil {
			g = s.groupOf(l.Group)
			model := s.passModel(u.instance.Service)
			g.observe(l, measured, model, u.instance.Slots, s.maxPauses[u.instance.Service])
			g.complete(l.ReadAt, &measured, model)
			steady.PassTime = g.meanPassTime(model, fullest)
		}
		pace := max(rank.Pace, 1) / usual
		limit := s.batchLimit(u.instance, measured, pace)
		u.groupLoad = &rankLoad{
			formed: l.Formed, requests: rank.Requests, limit: limit, steadyLimit: min(limit, s.batchLimit(u.instance, steady, pace)), readAt: l.ReadAt,
		}
		u.group = g
	}
	if !l.Formed && g != nil {
		s.closeGroup(g, l.ReadAt)
	}
}

// closeGroup records that a group is not formed for its ranks that are not in its load. One
// that is lost has stalled the others and must get no requests either.
func (s *State) closeGroup(g *group, readAt time.Duration) {
	for _, u := range s.byAddress {
		if u.group == g && u.groupLoad != nil && u.groupLoad.formed && u.groupLoad.readAt < readAt {
			u.groupLoad.formed, u.groupLoad.readAt = false, readAt
		}
	}
}

// batchLimit returns how many requests an upstream may run at the same time. pace is that
// of the upstream relative to the usual one of its group. A slow rank runs as many as take
// the time of a full batch on the others, possibly none: a pass lasts as long as that of its
// slowest rank.
func (s *State) batchLimit(in api.Instance, group batchlimit.Group, pace float64) int {
	model := s.passModel(in.Service)
	return model.AtPace(model.Limit(in.Slots, group, s.maxPauses[in.Service]), pace)
}

// passModel returns the model of the passes of a service's groups, zero if it is not known.
func (s *State) passModel(service string) batchlimit.Model {
	p := s.engineProfile(service)
	if p == nil {
		return batchlimit.Model{}
	}
	return batchlimit.Model{
		StepTime: p.StepTime, RequestTime: p.RequestTime, StepsPerPass: p.StepsPerPass,
		ExpertShare: p.ExpertShare, ReadTime: p.ReadTime, AnswerTokens: p.AnswerTokens,
	}
}

// engineProfile returns the engine profile of a service, nil if it has none.
func (s *State) engineProfile(service string) *api.EngineProfile {
	if s.view.Table == nil {
		return nil
	}
	return s.view.Table.Services[service].Engine
}

// median returns the median of a list that is not empty, 1 if it is.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 1
	}
	slices.Sort(list)
	return list[len(list)/2]
}

func (u *upstream) recordSent(now time.Duration) {
	u.sentAt = slices.DeleteFunc(u.sentAt, func(at time.Duration) bool { return now-at > sentWindow })
	u.sentAt = append(u.sentAt, now)
}

func (u *upstream) sentSince(at time.Duration) int {
	n := 0
	for _, t := range u.sentAt {
		if t >= at {
			n++
		}
	}
	return n
}

// currentGroupLoad returns the load of the upstream's group if it is recent.
func (u *upstream) currentGroupLoad(now time.Duration) (rankLoad, bool) {
	if u.groupLoad == nil || now-u.groupLoad.readAt > maxGroupLoadAge {
		return rankLoad{}, false
	}
	return *u.groupLoad, true
}

// chooseRank selects an upstream by the loads that the leaders of the groups read, and
// by the load that this process expects for upstreams whose group's load is unknown. ok
// is false if no upstream of the service has such a load, or if none qualifies.
func (s *State) chooseRank(now time.Duration, service string, exclude []string) (choice Choice, failure *api.Failure, ok bool) {
	room := s.Survey(now, service, exclude)
	room.addQueues(now)
	if room.Forming {
		return Choice{}, s.FormingFailure(service), true
	}
	if !room.Known {
		return Choice{}, nil, false
	}
	choice, placed := s.place(now, &room, room.Arrivals)
	if !placed {
		return choice, s.FullFailure(), true
	}
	return choice, nil, true
}

// FormingFailure returns the refusal while every group of a service is broken. A broken
// group refuses all requests, after some time.
func (s *State) FormingFailure(service string) *api.Failure {
	f := api.NewFailure(api.CodeNoUpstream, api.NotRun, "the groups of the service are being formed")
	f.RetryAfter = s.spreadRetryAfter()
	f.RetryAfter += s.FormTime(service)
	return f
}

// FormTime returns the time that a group of a service takes to form, 0 if it is unknown.
func (s *State) FormTime(service string) time.Duration {
	if p := s.engineProfile(service); p != nil {
		return p.FormTime
	}
	return 0
}

// spreadRetryAfter draws a Retry-After between minRetryAfter and maxRetryAfter.
func (s *State) spreadRetryAfter() time.Duration {
	return minRetryAfter + time.Duration(s.random.Float64()*float64(maxRetryAfter-minRetryAfter))
}

// otherProcesses returns the number of other processes that place requests.
func (s *State) otherProcesses() int { return max(len(s.fleet.Names)-1, 0) }

// estimate is the number of requests that are expected on an upstream, and that above which
// it gets no more.
type estimate struct{ load, limit float64 }

// estimateRank returns the estimate of a rank: the requests that the leader read, less those
// that have ended since, plus the own attempts since. The limit is its batch.
func (s *State) estimateRank(now time.Duration, u *upstream, l rankLoad, meanDuration time.Duration) estimate {
	load := float64(l.requests)
	if meanDuration > 0 {
		running := min(load, float64(u.instance.Slots))
		load -= min(running, running*float64(now-l.readAt)/float64(meanDuration))
	}
	return estimate{load: load + float64(u.sentSince(l.readAt)), limit: float64(l.limit)}
}

// estimateUnknown returns the estimate of an upstream whose group's load is not known.
func (s *State) estimateUnknown(now time.Duration, u *upstream) estimate {
	return estimate{load: s.load(now, u), limit: float64(u.instance.Slots) * (1 + queuedFraction)}
}

// candidate returns an upstream as water filling sees it. The penalties order upstreams and
// take no room, but for that of a probed one.
func (s *State) candidate(now time.Duration, u *upstream, e estimate) waterfill.Candidate {
	zone := s.zonePenalty(now, u, e.load, e.limit)
	c := waterfill.Candidate{Load: e.load + s.penalty(u) + zone, Capacity: e.limit}
	if e.limit > 0 {
		c.Capacity += s.zoneMargin(u, zone)
	}
	return c
}
