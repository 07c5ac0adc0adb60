package route

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// candidate is an upstream that may take the request.
type candidate struct {
	up    *upstream
	saved float64
	// load is the outstanding work, weighted by the upstream's bound.
	load  float64
	score float64
	tie   uint64
}

// Choose picks an upstream and counts the request as work on it at once. Each
// choice must be closed by Done with its ticket.
func (s *State) Choose(now time.Duration, q api.RouteQuery) (api.RouteChoice, *api.Failure) {
	if s.snapshot == nil {
		s.counters.Refusals++
		return api.RouteChoice{}, refuse(notServing)
	}
	s.serial++
	deepest := s.index.lookup(now, q.Prefix, s.serial)
	s.bestMatch = s.longestMatch()
	found, best := s.candidates(now, &q)
	if len(found) == 0 {
		s.counters.Refusals++
		return api.RouteChoice{}, refuse(best)
	}
	chosen := s.pick(now, &q, found, deepest)
	choice := s.recordChoice(now, &q, chosen)
	choice.Reason = reason(&q, found, chosen)
	return choice, nil
}

// reason compares the choice with the one that no cache would have influenced.
func reason(q *api.RouteQuery, found []candidate, chosen *upstream) api.RouteReason {
	if q.Only != "" || len(found) == 1 {
		return api.RouteOnly
	}
	var best, taken *candidate
	for i := range found {
		c := &found[i]
		if c.up == chosen {
			taken = c
		}
		if best == nil || c.score+c.saved < best.score+best.saved ||
			c.score+c.saved == best.score+best.saved && c.tie < best.tie {
			best = c
		}
	}
	if taken != best && taken.saved > 0 {
		return api.RouteAffinity
	}
	return api.RouteWork
}

// candidates returns the upstreams to compare, or the best verdict if there
// are none. Ejected and held upstreams serve only if nothing else can.
func (s *State) candidates(now time.Duration, q *api.RouteQuery) ([]candidate, eligibility) {
	best := notServing
	found := s.scratch[:0]
	var largest float64
	for _, u := range s.ordered {
		v := s.checkEligibility(now, u, q)
		if v < best || v < heldByGate {
			best = max(best, v)
			continue
		}
		if v > best {
			best, found, largest = v, found[:0], 0
		}
		found = append(found, candidate{up: u, tie: s.tie(u)})
		largest = max(largest, u.limitTokens())
	}
	s.scratch = found
	for i := range found {
		s.score(now, &found[i], q, largest)
	}
	return s.sampled(found), best
}

// score prices an upstream in tokens of prefill: what is outstanding there,
// scaled to its bound, and the zone, less what its cache saves. Work above the
// bound has to wait in full.
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

// sampled keeps the upstreams with affinity and a few others, drawn by the
// seeded hash, so that routers with the same late reports do not all choose
// the same upstream.
func (s *State) sampled(found []candidate) []candidate {
	if s.options.Sample <= 0 || len(found) <= s.options.Sample {
		return found
	}
	ties := make([]uint64, 0, s.options.Sample)
	for i := range found {
		ties = insertSmallest(ties, found[i].tie, s.options.Sample)
	}
	bound := ties[len(ties)-1]
	kept := found[:0]
	for _, c := range found {
		if c.saved > 0 || c.tie <= bound {
			kept = append(kept, c)
		}
	}
	return kept
}

// insertSmallest keeps the n smallest values in ascending order.
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

func (s *State) pick(now time.Duration, q *api.RouteQuery, found []candidate, deepest *block) *upstream {
	best := lowest(found, func(c *candidate) bool { return true })
	if deepest == nil || s.options.SpreadPart <= 0 {
		return best.up
	}
	heat := deepest.addHeat(now, float64(q.CostTokens))
	wanted := 1 + int(heat/(s.options.SpreadPart*best.up.limitTokens()))
	depth := 0
	for i := range found {
		depth = max(depth, found[i].depth(s.serial))
	}
	if depth == 0 || countWithDepth(found, s.serial, depth) >= wanted {
		return best.up
	}
	other := lowest(found, func(c *candidate) bool { return c.depth(s.serial) < depth })
	if other == nil || other.load >= best.load {
		return best.up
	}
	s.counters.Spread++
	return other.up
}

func (c *candidate) depth(serial uint64) int {
	if c.up.match.serial != serial {
		return 0
	}
	return c.up.match.blocks
}

func countWithDepth(found []candidate, serial uint64, depth int) int {
	n := 0
	for i := range found {
		if found[i].depth(serial) >= depth {
			n++
		}
	}
	return n
}

// lowest returns the candidate with the lowest score among those that qualify.
func lowest(found []candidate, qualifies func(*candidate) bool) *candidate {
	var best *candidate
	for i := range found {
		c := &found[i]
		if !qualifies(c) {
			continue
		}
		if best == nil || c.score < best.score || (c.score == best.score && c.tie < best.tie) {
			best = c
		}
	}
	return best
}

// recordChoice records the choice. The blocks of the prompt will be in the cache of
// the upstream, so the index has them at once.
func (s *State) recordChoice(now time.Duration, q *api.RouteQuery, u *upstream) api.RouteChoice {
	ticket, prompt := s.serial, s.cacheEstimate(u, q)
	hit := u.match.serial == s.serial
	if hit {
		s.counters.AffinityHit++
	}
	u.sends.add(send{
		ticket: ticket,
		cost:   q.CostTokens,
		stale:  hit && u.match.stale,
		prefix: q.Prefix,
	})
	s.tickets[ticket] = u
	u.recent.add(now, u.uncached(q, s))
	for _, h := range q.Prefix {
		s.index.put(now, h, u, ticket)
	}
	s.counters.Choices++
	return api.RouteChoice{
		Upstream:    u.name,
		Incarnation: u.link.Incarnation,
		Elapsed:     max(u.link.Elapsed, u.load.Elapsed),
		Revision:    s.snapshot.Revision,
		Ticket:      ticket,
		Uncached:    uint32(prompt.Uncached),
		Lost:        uint32(prompt.Lost),
	}
}
