package balance

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/outlier"
	"github.com/mulberryfork/mulberryfork/decide/waterfill"
)

// Room is what the upstreams of a service can take by the loads of its groups. It is valid
// until the next event.
type Room struct {
	// Known is set if the load of a group is known. Without it, and unless Forming is
	// set, ChooseByExpectedLoad applies.
	Known bool
	// Forming is set if no upstream qualifies and groups are being formed.
	Forming bool
	// Unread is set while the process has just started and has not read the load of any group.
	Unread bool
	// Opening is the number of places that open once the groups are formed.
	Opening float64
	// Places is the number of requests that can run, less those that wait at upstreams. Total
	// is the number of places at upstreams with any, with the tolerance that lets an upstream
	// of this zone win over an equally loaded one. Sent is the number of this process's
	// attempts that the readings do not contain. Arrivals is the expected number of requests
	// of all processes that neither contains, with the one to be placed.
	Places, Total, Sent, Arrivals float64
	// ReadAt is the mean time of the readings. The loads contain what was sent until then if
	// requests go to all groups alike.
	ReadAt time.Duration
	// EndRate is the number of requests that end in a second, 0 if it is unknown.
	EndRate float64
	// Processes is the number of processes that share the upstreams. It is at least the
	// number of the upstreams while the other processes are unknown.
	Processes int

	// Difference states how the groups of the service differ. If they do, EntryAt is the time
	// from which they take another late request of this process, 0 if that is now.
	Difference Difference
	EntryAt    time.Duration

	ranks      []*upstream
	candidates []waterfill.Candidate
	// sent and entries are set if the groups differ: the own attempts at each rank that the
	// readings do not contain, and the prompts that this process may still send.
	sent    []float64
	entries *entries
}

// RecordArrival counts a request of a service.
func (s *State) RecordArrival(now time.Duration, service string) {
	s.trafficOf(service).recordArrival(now)
}

// Survey returns the room of a service for a request that must not go to the excluded
// upstreams.
func (s *State) Survey(now time.Duration, service string, exclude []string) Room {
	t := s.trafficOf(service)
	list := s.services[service]
	room := Room{ReadAt: now, ranks: make([]*upstream, 0, len(list)), candidates: make([]waterfill.Candidate, 0, len(list))}
	room.Difference = s.surveyGroups(now, list, t.fillTime())
	differ := room.Difference != GroupsAlike
	if differ {
		room.sent = make([]float64, 0, len(list))
	}
	forming, known, running, age := 0, 0, 0.0, time.Duration(0)
	for _, u := range list {
		load, recent := u.currentGroupLoad(now)
		if !s.eligible(u) || slices.Contains(exclude, u.instance.ID) {
			continue
		}
		if recent && !load.formed || differ && u.group != nil && u.group.forming(now) {
			forming++
			room.Opening += opening(u, load, recent)
			continue
		}
		if u.effectiveHealth(now) > outlier.Probing || s.statements.HeldUntil(now, u.incarnation()) > 0 {
			continue
		}
		if recent {
			known++
			age += now - load.readAt
			room.Sent += float64(u.sentSince(load.readAt))
			running += min(float64(load.requests), float64(u.instance.Slots))
		}
		if !s.withinColdQuota(now, u) {
			continue
		}
		room.ranks = append(room.ranks, u)
		e := s.estimateUnknown(now, u)
		if recent {
			if differ {
				load.limit = load.steadyLimit
			}
			e = s.estimateRank(now, u, load, t.meanDuration)
		}
		c := s.candidate(now, u, e)
		room.candidates = append(room.candidates, c)
		room.Total += max(c.Capacity-c.Load, 0)
		room.Places += s.places(u, e)
		if differ {
			room.sent = append(room.sent, u.sentAfter(load, recent))
		}
	}
	if known > 0 {
		room.Known, room.ReadAt = true, now-age/time.Duration(known)
	}
	room.Places = max(room.Places, 0)
	room.Unread = t.unread(now, known > 0 || forming > 0, s.FormTime(service) > 0)
	room.Forming = known == 0 && len(room.ranks) == 0 && forming > 0
	if t.meanDuration > 0 {
		room.EndRate = running / t.meanDuration.Seconds()
	}
	room.Processes = max(len(s.fleet.Names), 1)
	if s.fleet.LimitDivisor == 0 {
		room.Processes = max(room.Processes, len(room.ranks))
	}
	if differ {
		room.findEntry(now, &t.entries)
	}
	room.Arrivals = 1 + t.rateNow(now)*(now-room.ReadAt).Seconds()*float64(s.otherProcesses())
	return room
}

// opening returns the number of places that open at an upstream once its group is formed.
func opening(u *upstream, l rankLoad, known bool) float64 {
	if known {
		return float64(min(l.limit, u.instance.Slots))
	}
	return float64(u.instance.Slots)
}

// sentAfter returns the number of own attempts that the load of an upstream does not contain,
// 0 if the load is not known.
func (u *upstream) sentAfter(l rankLoad, known bool) float64 {
	if known {
		return float64(u.sentSince(l.readAt))
	}
	return 0
}

// places returns the number of requests that an upstream has room for. It is negative by the
// requests that wait there: they need the places of others as if they waited here. Those that
// run beyond the batch, which has become smaller, need none.
func (s *State) places(u *upstream, e estimate) float64 {
	if waiting := e.load - float64(u.instance.Slots); waiting > 0 {
		return -waiting
	}
	return max(e.limit-e.load-s.penalty(u), 0)
}

// Withdraw takes back an attempt that was chosen but not made.
func (s *State) Withdraw(now time.Duration, id string) {
	s.Done(now, id, api.NewFailure(api.CodeCanceled, api.NotRun, ""))
	if u := s.upstreams[id]; u != nil && len(u.sentAt) > 0 {
		u.sentAt = u.sentAt[:len(u.sentAt)-1]
	}
}

// LoadsValidUntil returns the time at which the load of the last known group of a service gets
// too old, unless it is read again, or until which the first one is awaited.
func (s *State) LoadsValidUntil(service string) time.Duration {
	until := time.Duration(0)
	if t := s.trafficOf(service); !t.loadsRead {
		until = t.unreadUntil
	}
	for _, u := range s.services[service] {
		if u.groupLoad != nil {
			until = max(until, u.groupLoad.readAt+maxGroupLoadAge)
		}
	}
	return until
}

// addQueues adds what may wait at upstreams behind full batches, for a request that must not
// wait at this process.
func (r *Room) addQueues(now time.Duration) {
	r.Total = 0
	for i, u := range r.ranks {
		c := &r.candidates[i]
		if load, recent := u.currentGroupLoad(now); recent && load.limit == u.instance.Slots {
			c.Capacity += float64(u.instance.Slots) * queuedFraction
		}
		r.Total += max(c.Capacity-c.Load, 0)
	}
}

// PlaceUrgent selects an upstream for a request that has room before some of the expected
// ones, and counts the attempt. It returns false if there is no room at all.
func (s *State) PlaceUrgent(now time.Duration, room *Room) (Choice, bool) {
	return s.place(now, room, min(room.Arrivals, room.Total))
}

// PlaceShare is like PlaceUrgent for a request that waited. The other processes are expected to
// have sent as many as this one.
func (s *State) PlaceShare(now time.Duration, room *Room) (Choice, bool) {
	return s.place(now, room, min(1+room.Sent*float64(room.Processes-1), room.Total))
}

func (s *State) place(now time.Duration, room *Room, arrivals float64) (Choice, bool) {
	if room.Difference != GroupsAlike {
		return s.placeUneven(now, room, arrivals)
	}
	i := s.chooseInRoom(now, room, arrivals)
	if i == waterfill.Refused {
		return Choice{Candidates: len(room.candidates)}, false
	}
	s.recordAttempt(now, room.ranks[i])
	return choiceOf(room.ranks[i], room.candidates[i].Load, len(room.candidates)), true
}

// FullFailure returns the refusal of a request that finds no room in the groups.
func (s *State) FullFailure() *api.Failure {
	f := api.NewFailure(api.CodeOverloaded, api.NotRun, "the groups of the service are full")
	f.RetryAfter = s.spreadRetryAfter()
	return f
}
