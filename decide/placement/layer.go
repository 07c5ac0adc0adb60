package placement

// layer is the working state of one layer.
type layer struct {
	shape  Shape
	expert []float64
	slots  []int16
	// holders lists the slots of each expert.
	holders [][]int32
	// shares is the load that one replica of each expert carries.
	shares []float64
	load   []float64
	limits Limits
	// staged counts the weights that each rank has to load, over all layers.
	staged []int
	// stagedHere counts those of this layer.
	stagedHere []int
}

func newLayer(s Shape, expert []float64, slots []int16) *layer {
	w := &layer{shape: s, expert: expert, slots: slots,
		holders: make([][]int32, s.Experts), shares: make([]float64, s.Experts),
		load: make([]float64, s.Ranks), limits: NoLimits(), staged: make([]int, s.Ranks), stagedHere: make([]int, s.Ranks)}
	for at, e := range slots {
		w.holders[e] = append(w.holders[e], int32(at))
	}
	for e, held := range w.holders {
		w.shares[e] = expert[e] / float64(len(held))
	}
	for at, e := range slots {
		w.load[w.rank(at)] += w.share(e)
	}
	return w
}

func (w *layer) rank(slot int) int { return slot / w.shape.Slots }

func (w *layer) share(e int16) float64 { return w.shares[e] }

func (w *layer) hottest() int {
	at := 0
	for r, x := range w.load {
		if x > w.load[at] {
			at = r
		}
	}
	return at
}

// fits says whether a rank may take a replica of an expert into a slot: a
// second replica on one rank relieves nothing, and replicas are spread over
// VMs. The slot from, if not negative, is about to lose its replica.
func (w *layer) fits(e int16, slot, from, replicas int) bool {
	rank, limit := w.rank(slot), w.shape.perVM(replicas)
	vm, sameVM := rank/w.shape.RanksPerVM, 0
	for _, h := range w.holders[e] {
		if int(h) == from || int(h) == slot {
			continue
		}
		r := w.rank(int(h))
		if r == rank {
			return false
		}
		if r/w.shape.RanksPerVM == vm {
			sameVM++
		}
	}
	return sameVM < limit
}

// spreadWithout says whether the replicas of an expert are still spread over
// VMs once a slot has lost one. Fewer replicas allow fewer on each VM.
func (w *layer) spreadWithout(e int16, slot int) bool {
	limit := w.shape.perVM(len(w.holders[e]) - 1)
	for _, h := range w.holders[e] {
		vm, n := w.vm(int(h)), 0
		for _, other := range w.holders[e] {
			if int(other) != slot && w.vm(int(other)) == vm {
				n++
			}
		}
		if n > limit {
			return false
		}
	}
	return true
}

func (w *layer) vm(slot int) int { return w.rank(slot) / w.shape.RanksPerVM }

func (w *layer) swap(a, b int) {
	ea, eb := w.slots[a], w.slots[b]
	d := w.share(ea) - w.share(eb)
	w.load[w.rank(a)] -= d
	w.load[w.rank(b)] += d
	w.slots[a], w.slots[b] = eb, ea
	relocate(w.holders[ea], a, b)
	relocate(w.holders[eb], b, a)
}

func relocate(holders []int32, from, to int) {
	for i, h := range holders {
		if int(h) == from {
			holders[i] = int32(to)
			return
		}
	}
}

// replace puts a replica of e into a slot that holds one of several replicas
// of another expert.
func (w *layer) replace(slot int, e int16) {
	f := w.slots[slot]
	w.reshare(f, -1)
	w.reshare(e, -1)
	kept := w.holders[f][:0]
	for _, h := range w.holders[f] {
		if int(h) != slot {
			kept = append(kept, h)
		}
	}
	w.holders[f] = kept
	w.holders[e] = append(w.holders[e], int32(slot))
	w.slots[slot] = e
	for _, x := range [...]int16{e, f} {
		w.shares[x] = w.expert[x] / float64(len(w.holders[x]))
		w.reshare(x, 1)
	}
}

func (w *layer) reshare(e int16, sign float64) {
	x := sign * w.share(e)
	for _, h := range w.holders[e] {
		w.load[w.rank(int(h))] += x
	}
}
