package placement

// changeKind is the kind of a step of the local search.
type changeKind uint8

const (
	// swapSlots exchanges the contents of slots a and b.
	swapSlots changeKind = iota
	// addReplica gives slot b to another replica of expert e.
	addReplica
	// addAndMove does so too, and moves what slot b held to slot a.
	addAndMove
)

// change is a step of the local search.
type change struct {
	kind changeKind
	a, b int
	e    int16
	// peak is the largest load among the ranks that the change touches.
	peak float64
}

// weights is the number of experts whose weights the change loads.
func (c change) weights() int {
	if c.kind == addReplica {
		return 1
	}
	return 2
}

// minGain is the part of the largest load by which a change must lower it.
const minGain = 1e-6

// improve lowers the largest rank load step by step, until it is at or below
// target, no change helps, or the limits or steps are used up. It returns the
// weights loaded.
func (w *layer) improve(target float64, steps int) int {
	used := 0
	for range steps {
		hot := w.hottest()
		if w.load[hot] <= target {
			break
		}
		best := change{peak: w.load[hot] * (1 - minGain)}
		found := w.limits.Weights-used >= 1 && w.bestReplica(hot, &best)
		if w.limits.Weights-used >= 2 {
			found = w.bestSwap(hot, &best) || found
			found = found || w.bestMove(hot, &best)
		}
		if !found {
			break
		}
		used += best.weights()
		w.apply(best)
	}
	return used
}

func (w *layer) apply(c change) {
	w.stage(c.b)
	if c.kind != addReplica {
		w.stage(c.a)
	}
	switch c.kind {
	case swapSlots:
		w.swap(c.a, c.b)
	case addAndMove:
		w.replace(c.a, w.slots[c.b])
		w.replace(c.b, c.e)
	default:
		w.replace(c.b, c.e)
	}
}

// bestSwap looks for the exchange of a slot of the hottest rank that leaves
// the lowest peak on the two ranks.
func (w *layer) bestSwap(hot int, best *change) bool {
	k, found := w.shape.Slots, false
	if w.full(hot) {
		return false
	}
	for a := hot * k; a < (hot+1)*k; a++ {
		x := w.share(w.slots[a])
		for b, f := range w.slots {
			d := x - w.share(f)
			if d <= 0 || w.load[hot]-d >= best.peak {
				continue
			}
			r := w.rank(b)
			peak := max(w.load[hot]-d, w.load[r]+d)
			if r == hot || peak >= best.peak || w.full(r) || !w.swappable(a, b) {
				continue
			}
			*best, found = change{kind: swapSlots, a: a, b: b, peak: peak}, true
		}
	}
	return found
}

func (w *layer) stage(slot int) {
	w.staged[w.rank(slot)]++
	w.stagedHere[w.rank(slot)]++
}

// full says whether a rank can stage no more weights.
func (w *layer) full(rank int) bool {
	return w.staged[rank] >= w.limits.PerRank || w.stagedHere[rank] >= w.limits.PerRankLayer
}

func (w *layer) swappable(a, b int) bool {
	ea, eb := w.slots[a], w.slots[b]
	return w.fits(ea, b, a, len(w.holders[ea])) && w.fits(eb, a, b, len(w.holders[eb]))
}

// bestReplica looks for a slot that takes another replica of an expert of the
// hottest rank.
func (w *layer) bestReplica(hot int, best *change) bool {
	k, found := w.shape.Slots, false
	for _, e := range w.slots[hot*k : (hot+1)*k] {
		n := len(w.holders[e])
		if n >= w.shape.Ranks {
			continue
		}
		less := w.share(e) - w.expert[e]/float64(n+1)
		w.relieve(e, less)
		for b, f := range w.slots {
			if f == e || len(w.holders[f]) < 2 || w.rank(b) == hot {
				continue
			}
			if w.load[hot] >= best.peak {
				break
			}
			peak := max(w.load[hot], w.peakWithout(f, b, w.share(e)-less, best.peak))
			if peak < best.peak && !w.full(w.rank(b)) && w.fits(e, b, -1, n+1) && w.spreadWithout(f, b) {
				*best, found = change{kind: addReplica, b: b, e: e, peak: peak}, true
			}
		}
		w.relieve(e, -less)
	}
	return found
}

// relieve takes load off every holder of an expert.
func (w *layer) relieve(e int16, load float64) {
	for _, h := range w.holders[e] {
		w.load[w.rank(int(h))] -= load
	}
}

// peakWithout is the largest load on the holders of f once slot b holds a
// replica with the given share instead. It stops at limit.
func (w *layer) peakWithout(f int16, b int, share, limit float64) float64 {
	was := w.share(f)
	peak := w.load[w.rank(b)] - was + share
	if peak >= limit {
		return peak
	}
	more := w.expert[f]/float64(len(w.holders[f])-1) - was
	for _, h := range w.holders[f] {
		if int(h) != b {
			peak = max(peak, w.load[w.rank(int(h))]+more)
		}
	}
	return peak
}
