package placement

import (
	"cmp"
	"slices"
)

// coolRanks is the number of least loaded ranks that bestMove makes room on.
const coolRanks = 8

// bestMove looks for a rank with little load that takes another replica of an
// expert of the hottest rank, while what it held replaces a replica of a
// third expert elsewhere. It is tried when simpler changes fail: a rank with
// little load often holds only experts without a second replica.
func (w *layer) bestMove(hot int, best *change) bool {
	k, found := w.shape.Slots, false
	cool := w.coolest()
	for _, e := range w.slots[hot*k : (hot+1)*k] {
		n := len(w.holders[e])
		if n >= w.shape.Ranks {
			continue
		}
		for _, r := range cool {
			for b := r * k; b < (r+1)*k; b++ {
				if r != hot && w.slots[b] != e && !w.full(r) && w.fits(e, b, -1, n+1) {
					found = w.bestRoom(hot, e, b, best) || found
				}
			}
		}
	}
	return found
}

func (w *layer) coolest() []int {
	ranks := make([]int, w.shape.Ranks)
	for r := range ranks {
		ranks[r] = r
	}
	slices.SortStableFunc(ranks, func(a, b int) int { return cmp.Compare(w.load[a], w.load[b]) })
	return ranks[:min(coolRanks, len(ranks))]
}

// bestRoom looks for the slot that takes what slot b holds.
func (w *layer) bestRoom(hot int, e int16, b int, best *change) bool {
	r, f, found := w.rank(b), w.slots[b], false
	added := w.expert[e] / float64(len(w.holders[e])+1)
	less := w.share(e) - added
	w.relieve(e, less)
	w.load[r] += added - w.share(f)
	defer func() {
		w.relieve(e, -less)
		w.load[r] -= added - w.share(f)
	}()
	least := max(w.load[hot], w.load[r])
	for a, g := range w.slots {
		if least >= best.peak {
			break
		}
		if g == e || g == f || len(w.holders[g]) < 2 || w.rank(a) == r || w.full(w.rank(a)) {
			continue
		}
		peak := max(least, w.peakWithout(g, a, w.share(f), best.peak))
		if peak < best.peak && w.fits(f, a, b, len(w.holders[f])) && w.spreadWithout(g, a) {
			*best, found = change{kind: addAndMove, a: a, b: b, e: e, peak: peak}, true
		}
	}
	return found
}
