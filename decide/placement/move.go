package placement

import (
	"cmp"
	"slices"
)

// maxTargetRanks is the number of least loaded ranks that bestDisplacement tries.
const maxTargetRanks = 8

// bestDisplacement stores in best the change with the lowest peak that adds a
// replica of an expert of the most loaded rank to a lightly loaded rank, and moves
// the replica displaced there to a slot of a third expert. It returns false if none
// is better than best. It is needed when simpler changes fail, since a lightly
// loaded rank often holds only experts without another replica.
func (w *layer) bestDisplacement(hot int, best *change) bool {
	k, found := w.shape.Slots, false
	targets := w.leastLoadedRanks()
	for _, e := range w.slots[hot*k : (hot+1)*k] {
		n := len(w.replicaSlots[e])
		if n >= w.shape.Ranks {
			continue
		}
		for _, r := range targets {
			for b := r * k; b < (r+1)*k; b++ {
				if r != hot && w.slots[b] != e && !w.stagingFull(r) && w.canPlace(e, b, -1, n+1) {
					found = w.bestDestination(hot, e, b, best) || found
				}
			}
		}
	}
	return found
}

func (w *layer) leastLoadedRanks() []int {
	ranks := make([]int, w.shape.Ranks)
	for r := range ranks {
		ranks[r] = r
	}
	slices.SortStableFunc(ranks, func(a, b int) int { return cmp.Compare(w.rankLoad[a], w.rankLoad[b]) })
	return ranks[:min(maxTargetRanks, len(ranks))]
}

// bestDestination stores in best the change with the lowest peak that places a
// replica of expert e into slot b and moves the displaced replica to another slot.
// It returns false if none is better than best.
func (w *layer) bestDestination(hot int, e int16, b int, best *change) bool {
	r, displaced, found := w.rank(b), w.slots[b], false
	added := w.expertLoad[e] / float64(len(w.replicaSlots[e])+1)
	reduction := w.replicaLoad(e) - added
	w.subtractLoad(e, reduction)
	w.addLoad(r, added-w.replicaLoad(displaced))
	defer func() {
		w.subtractLoad(e, -reduction)
		w.addLoad(r, w.replicaLoad(displaced)-added)
	}()
	minPeak := max(w.rankLoad[hot], w.rankLoad[r])
	for a, replaced := range w.slots {
		if minPeak >= best.peak {
			break
		}
		if replaced == e || replaced == displaced || len(w.replicaSlots[replaced]) < 2 || w.rank(a) == r || w.stagingFull(w.rank(a)) {
			continue
		}
		peak := max(minPeak, w.peakWithout(replaced, a, w.replicaLoad(displaced), best.peak))
		if peak < best.peak && w.canPlace(displaced, a, b, len(w.replicaSlots[displaced])) && w.spreadAfterRemoval(replaced, a) {
			*best, found = change{kind: addAndDisplace, a: a, b: b, expert: e, peak: peak}, true
		}
	}
	return found
}
