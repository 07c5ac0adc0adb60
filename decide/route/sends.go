package route

// sends tracks the orders sent on one link, so that the router's own work
// counts immediately and is not counted twice when a load report includes it.
type sends struct {
	// sent is the number of orders sent on this link, reported the number of them
	// included in the last load report.
	sent, reported uint64
	// open holds the orders that are in flight or not yet reported, in order.
	open []send
	// endedTokens and endedRequests are the totals of the orders that the last
	// report includes and that have ended since.
	endedTokens   uint64
	endedRequests uint64
	// inFlight is the total of all orders in flight, unreported that of those not
	// included in the last report.
	inFlight, unreported work
}

// work is a number of requests and their tokens.
type work struct{ requests, tokens uint64 }

func (w *work) add(cost uint32) {
	w.requests++
	w.tokens += uint64(cost)
}

func (w *work) sub(cost uint32) {
	w.requests--
	w.tokens -= uint64(cost)
}

type send struct {
	// ordinal numbers the orders of the link from 1.
	ordinal uint64
	ticket  uint64
	cost    uint32
	done    bool
	// stale is true if the choice relied on unconfirmed index entries.
	stale  bool
	prefix []uint64
}

func (s *sends) add(e send) {
	s.sent++
	e.ordinal = s.sent
	s.open = append(s.open, e)
	s.inFlight.add(e.cost)
	s.unreported.add(e.cost)
}

// report applies the number of orders included in a load report. The link
// preserves the order of frames, so orders that have ended are not part of the
// report's load.
func (s *sends) report(received uint64) {
	s.reported = min(received, s.sent)
	s.endedTokens, s.endedRequests = 0, 0
	s.compact()
	s.unreported = work{}
	for _, e := range s.open {
		if !e.done && e.ordinal > s.reported {
			s.unreported.add(e.cost)
		}
	}
}

// finish marks an order as ended. An unsent order is removed from the
// numbering, because the agent will not count it.
func (s *sends) finish(ticket uint64, unsent bool) (send, bool) {
	for i := range s.open {
		if s.open[i].ticket != ticket {
			continue
		}
		e := s.open[i]
		s.inFlight.sub(e.cost)
		if e.ordinal > s.reported {
			s.unreported.sub(e.cost)
		} else {
			s.endedTokens += uint64(e.cost)
			s.endedRequests++
		}
		if unsent {
			s.remove(i)
			return e, true
		}
		s.open[i].done = true
		s.compact()
		return e, true
	}
	return send{}, false
}

func (s *sends) remove(i int) {
	s.open = append(s.open[:i], s.open[i+1:]...)
	for j := i; j < len(s.open); j++ {
		s.open[j].ordinal--
	}
	s.sent--
}

func (s *sends) compact() {
	kept := s.open[:0]
	for _, e := range s.open {
		if !e.done || e.ordinal > s.reported {
			kept = append(kept, e)
		}
	}
	clear(s.open[len(kept):])
	s.open = kept
}

// estimate combines the reported work with the router's own orders.
func (s *sends) estimate(reported work) work {
	return work{
		requests: max(saturatingSub(reported.requests, s.endedRequests)+s.unreported.requests, s.inFlight.requests),
		tokens:   max(saturatingSub(reported.tokens, s.endedTokens)+s.unreported.tokens, s.inFlight.tokens),
	}
}

func saturatingSub(a, b uint64) uint64 {
	if b >= a {
		return 0
	}
	return a - b
}
