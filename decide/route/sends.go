package route

// sends follows the orders of one link, so that the router's own work counts
// at once and is not counted again when a load report includes it.
type sends struct {
	// sent is the number of orders on this link, seen the part of them that
	// the last report includes.
	sent, seen uint64
	// open holds the orders that are in flight or not yet reported, in order.
	open []send
	// endedTokens and ended sum up orders that the last report includes and
	// that have ended since.
	endedTokens uint64
	ended       uint64
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
}

// report takes the number of orders that a load report includes. The link
// keeps frames in order, so an order that ended before is not in the report.
func (w *sends) report(seen uint64) {
	w.seen = min(seen, w.sent)
	w.endedTokens, w.ended = 0, 0
	w.compact()
}

// finish marks an order as ended. An order that never left the router is
// taken out of the numbering, because the agent will not count it.
func (w *sends) finish(ticket uint64, unsent bool) (send, bool) {
	for i := range w.open {
		if w.open[i].ticket != ticket {
			continue
		}
		e := w.open[i]
		if unsent {
			w.remove(i)
			return e, true
		}
		w.open[i].done = true
		if e.ordinal <= w.seen {
			w.endedTokens += uint64(e.cost)
			w.ended++
		}
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
	w.seen = min(w.seen, w.sent)
}

func (w *sends) compact() {
	kept := w.open[:0]
	for _, e := range w.open {
		if !e.done || e.ordinal > w.seen {
			kept = append(kept, e)
		}
	}
	clear(w.open[len(kept):])
	w.open = kept
}

// own sums up the router's orders in flight.
func (w *sends) own() (requests, tokens uint64) {
	for _, e := range w.open {
		if !e.done {
			requests++
			tokens += uint64(e.cost)
		}
	}
	return requests, tokens
}

// unseen sums up the orders in flight that the last report does not include.
func (w *sends) unseen() (requests, tokens uint64) {
	for _, e := range w.open {
		if !e.done && e.ordinal > w.seen {
			requests++
			tokens += uint64(e.cost)
		}
	}
	return requests, tokens
}

// estimate combines reported work with the router's own knowledge.
func (w *sends) estimate(reportedRequests, reportedTokens uint64) (requests, tokens uint64) {
	unseenRequests, unseenTokens := w.unseen()
	ownRequests, ownTokens := w.own()
	requests = less(reportedRequests, w.ended) + unseenRequests
	tokens = less(reportedTokens, w.endedTokens) + unseenTokens
	return max(requests, ownRequests), max(tokens, ownTokens)
}

func less(a, b uint64) uint64 {
	if b >= a {
		return 0
	}
	return a - b
}
