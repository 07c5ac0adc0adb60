package spread

import "time"

const (
	// HoldWait bounds how long an agent holds an order under a revision that
	// it does not have yet. Fetching it from the router takes a few
	// milliseconds.
	HoldWait = 500 * time.Millisecond
	// StaleWait bounds how long a router holds a request for a revision that
	// an agent told it of.
	StaleWait = 2 * time.Second
)

// OrderDecision is what an agent does with an order.
type OrderDecision int

const (
	// OrderRun lets the order proceed.
	OrderRun OrderDecision = iota
	// OrderRefuse returns the order as not run, with the own revision.
	OrderRefuse
	// OrderHold keeps the order unstarted until HoldWait has passed or the
	// check gives another verdict.
	OrderHold
)

// CheckOrder decides on an order that a router sent under a revision and that
// arrived here at the time received. It is called again after each change and
// at the end of HoldWait.
//
// An order under an older revision is refused: the router may not know that
// the zone is out or the upstream is leaving. An order under a newer one is
// held, since the list of upstreams decides whether a caller-made key may
// run. If that revision was refused here, builds differ in what they accept;
// then idempotent orders run under the last good revision and others do not.
// The router may be empty where SeenOnTraffic tells of its revision.
func (s *State) CheckOrder(now, received time.Duration, router string, revision uint64, idempotent bool) (OrderDecision, []Action) {
	out := s.detectPause(now)
	expired := now-received >= HoldWait
	switch {
	case !s.ready && expired:
		return OrderRefuse, out
	case !s.ready:
		return OrderHold, out
	case revision < s.accepted.Revision:
		return OrderRefuse, out
	case revision == s.accepted.Revision:
		return OrderRun, out
	case s.rejectedRevision(revision) && idempotent:
		return OrderRun, out
	case s.rejectedRevision(revision) || expired:
		return OrderRefuse, out
	case router == "":
		return OrderHold, out
	}
	return OrderHold, append(out, s.SeenOnTraffic(now, router, revision)...)
}

// MayStart says whether work may start now. It is asked before each start, so
// that a pause is noticed before what waited goes on.
func (s *State) MayStart(now time.Duration) (bool, []Action) {
	out := s.detectPause(now)
	return s.ready, out
}

func (s *State) rejectedRevision(revision uint64) bool {
	for _, v := range s.rejected {
		if v.Revision == revision {
			return true
		}
	}
	return false
}

// ResendDecision is what a router does with a request that an agent refused
// because of its revision.
type ResendDecision int

const (
	// ResendNow routes the request again at once.
	ResendNow ResendDecision = iota
	// ResendHold waits for a newer revision, for at most StaleWait.
	ResendHold
	// ResendElsewhere routes it again without the agent that refused, which
	// is behind and has been offered the newer revision.
	ResendElsewhere
	// ResendGiveUp ends the request as not run.
	ResendGiveUp
)

// CheckResend decides on a request sent under the revision sent and refused
// by an agent whose revision is theirs. Such a refusal proves that the
// request did not run, so it costs no retry budget: there is at most one for
// each change of the configuration.
func (s *State) CheckResend(now, refused time.Duration, agent string, sent, theirs uint64) (ResendDecision, []Action) {
	out := s.detectPause(now)
	late := now-refused >= StaleWait
	switch {
	case !s.ready || theirs > s.accepted.Revision:
		if late {
			return ResendGiveUp, out
		}
		return ResendHold, append(out, s.SeenOnTraffic(now, agent, theirs)...)
	case theirs > sent || s.accepted.Revision > sent && theirs == s.accepted.Revision:
		return ResendNow, out
	case theirs < s.accepted.Revision:
		return ResendElsewhere, append(out, s.exchange(agent))
	}
	return ResendElsewhere, out
}
