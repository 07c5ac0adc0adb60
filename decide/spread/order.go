package spread

import "time"

const (
	// OrderHoldTimeout limits how long an agent holds an order for a revision that
	// it does not have yet. Fetching the revision from the router takes a few
	// milliseconds.
	OrderHoldTimeout = 500 * time.Millisecond
	// ResendHoldTimeout limits how long a router holds a request for a revision
	// reported by an agent.
	ResendHoldTimeout = 2 * time.Second
)

// OrderDecision is an agent's decision on an order.
type OrderDecision int

const (
	// OrderRun runs the order.
	OrderRun OrderDecision = iota
	// OrderRefuse returns the order as not run, with the agent's revision.
	OrderRefuse
	// OrderHold queues the order until OrderHoldTimeout has passed or CheckOrder
	// decides otherwise.
	OrderHold
)

// CheckOrder decides on an order that a router sent under a revision and that this
// process received at receivedAt. The caller repeats it for held orders after each
// change and at the end of OrderHoldTimeout.
//
// An order under an older revision is refused, because the router may not know that
// the zone is out of service or the upstream is leaving. An order under a newer
// revision is held, because its list of upstreams decides whether a request with a
// client-supplied key may run. If this process rejected the newer revision, router
// and agent run builds with different validation. Idempotent orders then run under
// the last valid revision, and others are refused. router may be empty if the
// caller reports the router's revision with RevisionSeen.
func (s *State) CheckOrder(now, receivedAt time.Duration, router string, revision uint64, idempotent bool) (OrderDecision, []Action) {
	out := s.detectPause(now)
	expired := now-receivedAt >= OrderHoldTimeout
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
	return OrderHold, append(out, s.RevisionSeen(now, router, revision)...)
}

// MayStart reports whether work may start now. It is called before each start,
// so that a pause is detected before queued work continues.
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

// ResendDecision is a router's decision on a request that an agent refused
// because of its revision.
type ResendDecision int

const (
	// ResendNow routes the request again immediately.
	ResendNow ResendDecision = iota
	// ResendHold waits for a newer revision, for at most ResendHoldTimeout.
	ResendHold
	// ResendElsewhere routes the request again, excluding the agent that refused it.
	// If that agent is behind, the router sends it the digest of the newer version.
	ResendElsewhere
	// ResendGiveUp fails the request as not run.
	ResendGiveUp
)

// CheckResend decides on a request that was sent under sentRevision and refused
// at refusedAt by an agent that has agentRevision. A resend does not count against
// the retry budget: the refusal proves that the request did not run, and there is at
// most one resend per configuration change.
func (s *State) CheckResend(now, refusedAt time.Duration, agent string, sentRevision, agentRevision uint64) (ResendDecision, []Action) {
	out := s.detectPause(now)
	timedOut := now-refusedAt >= ResendHoldTimeout
	switch {
	case !s.ready || agentRevision > s.accepted.Revision:
		if timedOut {
			return ResendGiveUp, out
		}
		return ResendHold, append(out, s.RevisionSeen(now, agent, agentRevision)...)
	case agentRevision > sentRevision || s.accepted.Revision > sentRevision && agentRevision == s.accepted.Revision:
		return ResendNow, out
	case agentRevision < s.accepted.Revision:
		return ResendElsewhere, append(out, s.exchange(agent))
	}
	return ResendElsewhere, out
}
