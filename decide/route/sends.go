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
	ordinal uint64
	ticket  uint64
	cost    uint32
	done    bool
	// stale is true if the choice relied on unconfirmed index entries.
	stale  bool
	prefix []uint64
}

func (w *sends) add(e send) {
	w.sent++
	e.ordinal = w.sent
	w.open = append(w.open, e)
	w.inFlight.add(e.cost)
	w.unreported.add(e.cost)
}

// report applies the number of orders included in a load report. The link
// preserves the order of frames, so orders that have ended are not part of the
// report's load.
func (w *sends) report(received uint64) {
	w.reported = min(received, w.sent)
	w.endedTokens, w.endedRequests = 0, 0
	w.compact()
	w.unreported = work{}
	for _, e := range w.open {
		if !e.done && e.ordinal > w.reported {
			w.unreported.add(e.cost)
		}
	}
}

// finish marks an order as ended. An unsent order is removed from the
// numbering, because the agent will not count it.
func (w *sends) finish(ticket uint64, unsent bool) (send, bool) {
	for i := range w.open {
		if w.open[i].ticket != ticket {
			continue
		}
		e := w.open[i]
		w.inFlight.sub(e.cost)
		if e.ordinal > w.reported {
			w.unreported.sub(e.cost)
		} else {
			w.endedTokens += uint64(e.cost)
			w.endedRequests++
		}
		if unsent {
			w.remove(i)
			return e, true
		}
		w.open[i].done = true
		w.compact()
		return e, true
	}
	return send{}, false
}

func (w *sends) remove(i int) {
	w.open = append(w.open[:i], w.open[i+1:]...)
	for j := i; j < len(w.open); j++ {
		w.open[j].ordinal--
	}
	w.sent--
}

func (w *sends) compact() {
	kept := w.open[:0]
	for _, e := range w.open {
		if !e.done || e.ordinal > w.reported {
			kept = append(kept, e)
		}
	}
	clear(w.open[len(kept):])
	w.open = kept
}

// estimate combines the reported work with the router's own orders.
func (w *sends) estimate(reported work) work {
	return work{
		requests: max(saturatingSub(reported.requests, w.endedRequests)+w.unreported.requests, w.inFlight.requests),
		tokens:   max(saturatingSub(reported.tokens, w.endedTokens)+w.unreported.tokens, w.inFlight.tokens),
	}
}

func saturatingSub(a, b uint64) uint64 {
	if b >= a {
		return 0
	}
	return a - b
}
