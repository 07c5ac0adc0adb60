package route

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// candidate is an upstream that may take the request.
type candidate struct {
	up *upstream
	// saved is the number of prompt tokens that the upstream's cache is expected
	// to save.
	saved float64
	// load is the outstanding tokens, scaled from the upstream's token limit to
	// the largest one among the candidates.
	load  float64
	score float64
	tie   uint64
}

// Choose selects an upstream and immediately counts the request as its work.
// The caller must end each choice by calling Done with its ticket.
func (s *State) Choose(now time.Duration, q api.RouteQuery) (api.RouteChoice, *api.Failure) {
	if s.snapshot == nil {
		s.counters.Refusals++
		return api.RouteChoice{}, refuse(notServing)
	}
	s.serial++
	deepest := s.index.lookup(now, q.PrefixHashes, s.serial)
	s.bestMatch = s.longestMatch()
	candidates, best := s.candidates(now, &q)
	if len(candidates) == 0 {
		s.counters.Refusals++
		return api.RouteChoice{}, refuse(best)
	}
	chosen := s.pick(now, &q, candidates, deepest)
	choice := s.recordChoice(now, &q, chosen)
	choice.Reason = reason(&q, candidates, chosen)
	return choice, nil
}

// reason compares the choice with the one that would be made without any cache.
func reason(q *api.RouteQuery, candidates []candidate, chosen *upstream) api.RouteReason {
	if q.OnlyUpstream != "" || len(candidates) == 1 {
		return api.RouteSoleCandidate
	}
	var best, selected *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.up == chosen {
			selected = c
		}
		if best == nil || c.score+c.saved < best.score+best.saved ||
			c.score+c.saved == best.score+best.saved && c.tie < best.tie {
			best = c
		}
	}
	if selected != best && selected.saved > 0 {
		return api.RouteAffinity
	}
	return api.RouteLeastWork
}

// candidates returns the upstreams to compare, or the highest eligibility if
// there are none. Upstreams that are avoided, held by the gate or already run as many
// requests as they may are returned only if no others are eligible.
func (s *State) candidates(now time.Duration, q *api.RouteQuery) ([]candidate, eligibility) {
	best := notServing
	candidates := s.scratch[:0]
	var largest float64
	for _, u := range s.ordered {
		v := s.checkEligibility(now, u, q)
		if v < best || v < queueing {
			best = max(best, v)
			continue
		}
		if v > best {
			best, candidates, largest = v, candidates[:0], 0
		}
		candidates = append(candidates, candidate{up: u, tie: s.tie(u)})
		largest = max(largest, u.limitTokens())
	}
	s.scratch = candidates
	for i := range candidates {
		s.score(now, &candidates[i], q, largest)
	}
	return s.sampled(candidates), best
}

// score computes the cost of an upstream in prefill tokens: its outstanding
// work, scaled to its limit, and the zone penalty, less the tokens that its
// cache saves. Work above the limit counts in full, because it has to queue.
func (s *State) score(now time.Duration, c *candidate, q *api.RouteQuery, largest float64) {
	u := c.up
	tokens := float64(u.work().tokens)
	limit := u.limitTokens()
	c.load = tokens * largest / limit
	excess := max(tokens+float64(q.CostTokens)-limit, 0) * largest / limit
	if u.match.serial == s.serial {
		c.saved = float64(u.match.blocks * s.options.BlockTokens)
		if u.match.stale {
			c.saved *= u.cache.trust
		}
	}
	c.score = c.load*s.options.WorkWeight + excess - c.saved + u.recent.at(now)*s.options.RecentWeight
	if u.conf.Zone != s.options.Zone {
		c.score += s.options.ZonePenaltyTokens
	}
}

// sampled returns the upstreams with affinity and a few others, selected by a
// seeded hash, so that routers with the same outdated reports do not all
// select the same upstream.
func (s *State) sampled(candidates []candidate) []candidate {
	if s.options.Sample <= 0 || len(candidates) <= s.options.Sample {
		return candidates
	}
	ties := make([]uint64, 0, s.options.Sample)
	for i := range candidates {
		ties = insertSmallest(ties, candidates[i].tie, s.options.Sample)
	}
	bound := ties[len(ties)-1]
	kept := candidates[:0]
	for _, c := range candidates {
		if c.saved > 0 || c.tie <= bound {
			kept = append(kept, c)
		}
	}
	return kept
}

// insertSmallest adds v to values, which holds the n smallest values so far in
// ascending order.
func insertSmallest(values []uint64, v uint64, n int) []uint64 {
	if len(values) < n {
		values = append(values, v)
	} else if v < values[n-1] {
		values[n-1] = v
	}
	for i := len(values) - 1; i > 0 && values[i] < values[i-1]; i-- {
		values[i], values[i-1] = values[i-1], values[i]
	}
	return values
}

// pick selects the candidate with the lowest score. If fewer upstreams hold the
// longest cached part of the prefix than its current use requires, it selects
// the best of the others, provided that it has less load.
func (s *State) pick(now time.Duration, q *api.RouteQuery, candidates []candidate, deepest *block) *upstream {
	best := lowest(candidates, func(c *candidate) bool { return true })
	if deepest == nil || s.options.SpreadFraction <= 0 {
		return best.up
	}
	heat := deepest.addHeat(now, float64(q.CostTokens))
	wanted := 1 + int(heat/(s.options.SpreadFraction*best.up.limitTokens()))
	depth := 0
	for i := range candidates {
		depth = max(depth, candidates[i].depth(s.serial))
	}
	if depth == 0 || countWithDepth(candidates, s.serial, depth) >= wanted {
		return best.up
	}
	other := lowest(candidates, func(c *candidate) bool { return c.depth(s.serial) < depth })
	if other == nil || other.load >= best.load {
		return best.up
	}
	s.counters.Spread++
	return other.up
}

// depth returns the number of blocks of the prefix that the upstream is expected
// to cache.
func (c *candidate) depth(serial uint64) int {
	if c.up.match.serial != serial {
		return 0
	}
	return c.up.match.blocks
}

func countWithDepth(candidates []candidate, serial uint64, depth int) int {
	n := 0
	for i := range candidates {
		if candidates[i].depth(serial) >= depth {
			n++
		}
	}
	return n
}

// lowest returns the candidate with the lowest score among those that qualify,
// or nil.
func lowest(candidates []candidate, qualifies func(*candidate) bool) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if !qualifies(c) {
			continue
		}
		if best == nil || c.score < best.score || (c.score == best.score && c.tie < best.tie) {
			best = c
		}
	}
	return best
}

// recordChoice records the send. It adds the prompt's blocks to the index
// immediately, because the upstream is about to cache them.
func (s *State) recordChoice(now time.Duration, q *api.RouteQuery, u *upstream) api.RouteChoice {
	ticket, estimate := s.serial, s.cacheEstimate(u, q)
	hit := u.match.serial == s.serial
	if hit {
		s.counters.AffinityHit++
	}
	u.sends.add(send{
		ticket: ticket,
		cost:   q.CostTokens,
		stale:  hit && u.match.stale,
		prefix: q.PrefixHashes,
	})
	s.tickets[ticket] = u
	u.recent.add(now, u.uncached(q, s))
	for _, h := range q.PrefixHashes {
		s.index.put(now, h, u, ticket)
	}
	s.counters.Choices++
	return api.RouteChoice{
		Upstream:        u.name,
		Incarnation:     u.link.Incarnation,
		AgentElapsed:    max(u.link.AgentElapsed, u.load.Elapsed),
		Revision:        s.snapshot.Revision,
		Ticket:          ticket,
		UncachedTokens:  uint32(estimate.UncachedTokens),
		CachedElsewhere: uint32(estimate.CachedElsewhere),
	}
}
