package placement

// changeKind is the type of a change.
type changeKind uint8

const (
	// swapSlots exchanges the contents of slots a and b.
	swapSlots changeKind = iota
	// addReplica replaces the replica in slot b by one of expert e.
	addReplica
	// addAndDisplace is like addReplica but moves the replaced replica to slot a.
	addAndDisplace
)

// change is a step of the local search.
type change struct {
	kind   changeKind
	a, b   int
	expert int16
	// peak is the largest load of the affected ranks after the change.
	peak float64
}

// weights returns the number of expert weights that the change loads.
func (c change) weights() int {
	if c.kind == addReplica {
		return 1
	}
	return 2
}

// minReduction is the minimum relative reduction of the largest load by a
// change.
const minReduction = 1e-6

// improve repeatedly applies the change that lowers the largest rank load most,
// until that load is at most target, no change lowers it, or the limits or steps
// are used up. It returns the number of expert weights that the changes load.
func (w *layer) improve(target float64, steps int) int {
	used := 0
	for range steps {
		hot := w.mostLoadedRank()
		if w.rankLoad[hot] <= target {
			break
		}
		best := change{peak: w.rankLoad[hot] * (1 - minReduction)}
		found := w.limits.Total-used >= 1 && w.bestReplica(hot, &best)
		if w.limits.Total-used >= 2 {
			found = w.bestSwap(hot, &best) || found
			found = found || w.bestDisplacement(hot, &best)
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
	case addAndDisplace:
		w.replaceReplica(c.a, w.slots[c.b])
		w.replaceReplica(c.b, c.expert)
	default:
		w.replaceReplica(c.b, c.expert)
	}
}

// bestSwap stores in best the swap with the lowest peak of a slot of the most loaded
// rank with a slot of another rank. It returns false if none is better than best.
func (w *layer) bestSwap(hot int, best *change) bool {
	k, found := w.shape.Slots, false
	if w.stagingFull(hot) {
		return false
	}
	for a := hot * k; a < (hot+1)*k; a++ {
		x := w.replicaLoad(w.slots[a])
		for b, f := range w.slots {
			d := x - w.replicaLoad(f)
			if d <= 0 || w.rankLoad[hot]-d*w.pace(hot) >= best.peak {
				continue
			}
			r := w.rank(b)
			peak := max(w.rankLoad[hot]-d*w.pace(hot), w.rankLoad[r]+d*w.pace(r))
			if r == hot || peak >= best.peak || w.stagingFull(r) || !w.swappable(a, b) {
				continue
			}
			*best, found = change{kind: swapSlots, a: a, b: b, peak: peak}, true
		}
	}
	return found
}

func (w *layer) stage(slot int) {
	w.staged[w.rank(slot)]++
	w.stagedInLayer[w.rank(slot)]++
}

// stagingFull reports whether a rank has reached its staging limits.
func (w *layer) stagingFull(rank int) bool {
	return w.staged[rank] >= w.limits.PerRank || w.stagedInLayer[rank] >= w.limits.PerRankLayer
}

func (w *layer) swappable(a, b int) bool {
	ea, eb := w.slots[a], w.slots[b]
	return w.canPlace(ea, b, a, len(w.replicaSlots[ea])) && w.canPlace(eb, a, b, len(w.replicaSlots[eb]))
}

// bestReplica stores in best the change with the lowest peak that adds a replica of
// an expert of the most loaded rank. It returns false if none is better than best.
func (w *layer) bestReplica(hot int, best *change) bool {
	k, found := w.shape.Slots, false
	for _, e := range w.slots[hot*k : (hot+1)*k] {
		n := len(w.replicaSlots[e])
		if n >= w.shape.Ranks {
			continue
		}
		reduction := w.replicaLoad(e) - w.expertLoad[e]/float64(n+1)
		w.subtractLoad(e, reduction)
		for b, replaced := range w.slots {
			if replaced == e || len(w.replicaSlots[replaced]) < 2 || w.rank(b) == hot {
				continue
			}
			if w.rankLoad[hot] >= best.peak {
				break
			}
			peak := max(w.rankLoad[hot], w.peakWithout(replaced, b, w.replicaLoad(e)-reduction, best.peak))
			if peak < best.peak && !w.stagingFull(w.rank(b)) && w.canPlace(e, b, -1, n+1) && w.spreadAfterRemoval(replaced, b) {
				*best, found = change{kind: addReplica, b: b, expert: e, peak: peak}, true
			}
		}
		w.subtractLoad(e, -reduction)
	}
	return found
}

// subtractLoad subtracts load from every rank that holds an expert.
func (w *layer) subtractLoad(e int16, load float64) {
	for _, slot := range w.replicaSlots[e] {
		w.addLoad(w.rank(int(slot)), -load)
	}
}

// peakWithout returns the largest load of the ranks that hold expert f after its
// replica in slot b is replaced by one with the given load. It returns early
// with a load of at least limit.
func (w *layer) peakWithout(f int16, b int, load, limit float64) float64 {
	oldLoad := w.replicaLoad(f)
	peak := w.rankLoad[w.rank(b)] + (load-oldLoad)*w.pace(w.rank(b))
	if peak >= limit {
		return peak
	}
	increase := w.expertLoad[f]/float64(len(w.replicaSlots[f])-1) - oldLoad
	for _, slot := range w.replicaSlots[f] {
		if int(slot) != b {
			r := w.rank(int(slot))
			peak = max(peak, w.rankLoad[r]+increase*w.pace(r))
		}
	}
	return peak
}
