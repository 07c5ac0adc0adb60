// Package zoneshare decides how much of the work of an availability zone goes to which
// other zone.
//
// It answers demand that exceeds the servers of one zone while those of another have room:
// peaks of the zones at different times, a zone that lost half of its servers, a zone
// without any, and all zones full. Requests that wait at home are late, and requests that
// all leave at once fill the other zone and come back. Traffic between zones costs money
// and the delay between them, and takes capacity from the callers of the other zone.
//
// Upstreams that run in lockstep get no shares: an uneven load on their zones slows all
// callers. For them it decides which requests may stay without making the others slower.
//
// Each process decides for its own part of the zone's work. A share is a fraction, so that
// processes of unequal size that see the same loads send in proportion to what they
// receive. It moves by a part of the distance to its target, at the pace of load reports:
// processes that don't talk to each other would otherwise leave and return together.
package zoneshare

import (
	"math"
	"time"
)

const (
	// Preference is the least preference for the own zone, in requests on an upstream. It
	// decides between equally loaded upstreams.
	Preference = 0.3
	// MaxReportAge is the age above which the report of a load is not used.
	MaxReportAge = time.Second
	// assumedDelay is the one-way delay between zones that is assumed without a published
	// one. Zones of one region are 0.5 to 1.4 ms apart.
	assumedDelay = time.Millisecond

	bytesPerMegabyte = 1e6
)

// Reason is why a zone gets the share that it gets.
type Reason string

// Reasons.
const (
	// ReasonRoom is that the own zone has room. Nothing leaves.
	ReasonRoom Reason = "room"
	// ReasonWait is that requests wait longer in the own zone than leaving costs.
	ReasonWait Reason = "wait"
	// ReasonCost is that requests wait in the own zone, but leaving costs more.
	ReasonCost Reason = "cost"
	// ReasonUnusable is that no upstream of the other zone can take more than a few
	// requests.
	ReasonUnusable Reason = "unusable"
	// ReasonKept is that a report of the other zone is late. The share is kept.
	ReasonKept Reason = "kept"
	// ReasonNoReport is that requests to the other zone have brought no report for
	// MaxReportAge.
	ReasonNoReport Reason = "no_report"
	// ReasonUnmeasured is that the duration of a request is not known yet.
	ReasonUnmeasured Reason = "unmeasured"
	// ReasonNoHome is that no upstream of the own zone can be used.
	ReasonNoHome Reason = "no_home"
	// ReasonGroup is that the upstreams run in lockstep, and are loaded evenly.
	ReasonGroup Reason = "group"
)

// Zone is what is known of the upstreams of a service in one zone.
type Zone struct {
	// Load is the number of requests on its usable upstreams, running and waiting.
	Load float64
	// Slots is the number of requests that they run at the same time.
	Slots float64
	// Upstreams is their number.
	Upstreams int
	// ReportedAt is the time of the last report of one of them, and Reported false if
	// there is none.
	ReportedAt time.Duration
	Reported   bool
	// AskedAt is the time of the first request to one of them since its last report, and
	// Asked false if there is none.
	AskedAt time.Duration
	Asked   bool
}

// Work describes the requests of a service.
type Work struct {
	// Duration is the mean duration of a request, 0 if it is unknown.
	Duration time.Duration
	// Bytes is the mean number of bytes of a request and its response.
	Bytes float64
	// LoadCost is what one more request on an upstream costs a caller, 0 if it is unknown.
	LoadCost time.Duration
	// Lockstep is true for upstreams that run in lockstep. Their slowest one determines the
	// time of all, so that they are loaded evenly across zones.
	Lockstep bool
	// CallersPerRank is the number of requests on all upstreams in lockstep for each one of
	// the own zone.
	CallersPerRank float64
}

// Share is the part of the own zone's work that goes to another zone.
type Share struct {
	// Fraction is the share. It is 1 if requests leave by load and Preference alone.
	Fraction float64
	// Preference is added to the load of the other zone's upstreams.
	Preference float64
	// GroupPreference replaces Preference between upstreams in lockstep if the bytes have a
	// price and the loads of the upstreams are known.
	GroupPreference float64
	Reason          Reason
	// room is the load of an upstream of the own zone at which leaving is worth its cost.
	room float64
	// full is true if requests wait in the other zone too.
	full bool
	// meanLoad is the mean load of an upstream of the other zone.
	meanLoad float64
	// upstreams is the number of usable upstreams of the other zone.
	upstreams int
}

// Unlimited reports whether requests leave by load and Preference alone. It is not known
// how many do.
func (h Share) Unlimited() bool {
	switch h.Reason {
	case ReasonNoReport, ReasonUnmeasured, ReasonNoHome, ReasonGroup:
		return true
	}
	return false
}

// limited returns the share, 0 if it is not limited.
func (h Share) limited() float64 {
	if h.Unlimited() {
		return 0
	}
	return h.Fraction
}

// Penalty returns the load that is added to that of an upstream in another zone, for one
// request. load and slots are those of the upstream, and limit the load at which it gets no
// more. random is a uniform random number in [0, 1).
//
// A part of the requests, which is the share, goes by load and Preference. Of n upstreams,
// each is open to a request with the probability with which at least one of n is open with
// that of the share. Beyond the share, a request leaves if it would wait longer at home than
// leaving costs. If requests wait in the other zone too, it leaves only where it would be
// refused at home, and not if the other zone is about to refuse it as well: zones would
// exchange requests that are late in any case.
func (h Share) Penalty(load, slots, limit, random float64) float64 {
	switch {
	case h.Unlimited() || random < 1-math.Pow(1-h.Fraction, 1/float64(max(h.upstreams, 1))):
		return h.Preference
	case h.meanLoad >= (slots+limit)/2:
		return max(h.Preference, limit)
	case h.full:
		return max(h.Preference, limit-randomWidth-load)
	}
	return h.Preference + max(h.room-load, 0)
}

// randomWidth is the width of the random part of a score.
const randomWidth = 0.5

// Options configures a State.
type Options struct {
	// Zone is the zone of this process.
	Zone string
	// BytePrice is the price of bytes between zones, in milliseconds of a caller's time
	// for a megabyte.
	BytePrice float64
}

// State holds the shares of one process. It is owned by the control loop.
type State struct {
	options  Options
	services map[string]*service
	// delays returns the published one-way delay between two zones.
	delays func(from, to string) (time.Duration, bool)
}

// New returns a state without shares.
func New(o Options) *State {
	return &State{
		options: o, services: make(map[string]*service),
		delays: func(string, string) (time.Duration, bool) { return 0, false },
	}
}

// SetDelays sets the function that returns the published one-way delay between two zones.
func (s *State) SetDelays(f func(from, to string) (time.Duration, bool)) { s.delays = f }

// Share returns the share of another zone.
func (s *State) Share(name, to string) Share {
	if v := s.services[name]; v != nil && v.zones[to] != nil {
		return v.zones[to].share
	}
	return Share{Fraction: 1, Preference: Preference, Reason: ReasonUnmeasured}
}

// Retain removes the services for which keep returns false.
func (s *State) Retain(keep func(service string) bool) {
	for name := range s.services {
		if !keep(name) {
			delete(s.services, name)
		}
	}
}

// crossingCost returns what a request to another zone costs: the delay to it and back, and
// the price of its bytes.
func (s *State) crossingCost(to string, w Work) time.Duration {
	price := time.Duration(s.options.BytePrice * w.Bytes / bytesPerMegabyte * float64(time.Millisecond))
	return s.delay(s.options.Zone, to) + s.delay(to, s.options.Zone) + price
}

// delay returns the one-way delay between two zones. A delay that is published in one
// direction only holds in both.
func (s *State) delay(from, to string) time.Duration {
	if d, ok := s.delays(from, to); ok {
		return d
	}
	if d, ok := s.delays(to, from); ok {
		return d
	}
	return assumedDelay
}

// preference returns the preference for the own zone in requests: the crossing cost in
// units of what a request on an upstream costs, but at least Preference.
func (s *State) preference(to string, w Work) float64 {
	if w.LoadCost <= 0 {
		return Preference
	}
	return max(Preference, float64(s.crossingCost(to, w))/float64(w.LoadCost))
}

// groupPreference returns the load, in requests, by which upstreams of the own zone may exceed
// those of another one that run in lockstep with them. A request that raises the fullest one
// delays all of them, so that it costs its own caller LoadCost, and each of the others that
// share the delay by othersWeight of it. While crossing costs less, no upstream is loaded more
// than those of other zones; from twice that cost on, its slots are the only limit.
func (s *State) groupPreference(to string, w Work, slots float64) float64 {
	loss := float64(w.LoadCost) * (1 + othersWeight*max(w.CallersPerRank-1, 0))
	if loss <= 0 {
		return 0
	}
	return slots * min(max(float64(s.crossingCost(to, w))/loss-1, 0), 1)
}

// stayExponent is the exponent of the part of the own zone in the rise. The rise assumes that
// all zones send alike. At 1, a zone at its peak keeps too much: streams took 1.8% longer than
// without a preference for the own zone, at 2 they took 0.9% longer (22 processes, 72 ranks,
// peaks of 80% out of phase by a third of a period).
const stayExponent = 2

// StayProbability returns the probability with which a request stays among the upstreams of
// its own zone, if all upstreams run in lockstep. rise is the part of the own zone in the
// expected rise of the loads to a common level, and upstreams its part of the upstreams.
//
// A request on an upstream below that level delays nobody, so that it need not cross zones.
// A zone that is fuller than the others rises less than its part, and the rest leaves.
func StayProbability(rise, upstreams float64) float64 {
	return math.Pow(min(rise/upstreams, 1), stayExponent)
}
