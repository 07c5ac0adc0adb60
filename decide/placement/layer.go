package placement

// layer holds the slots of one layer and the loads derived from them.
type layer struct {
	shape      Shape
	expertLoad []float64
	slots      []int16
	// replicaSlots lists the slots that hold a replica of each expert.
	replicaSlots [][]int32
	// replicaLoads is the load of one replica of each expert.
	replicaLoads []float64
	// rankLoad is the load of each rank, multiplied by its pace.
	rankLoad []float64
	// paces is nil if no rank is slow.
	paces  Paces
	limits Limits
	// staged counts the expert weights that each rank has to load, over all
	// layers.
	staged []int
	// stagedInLayer counts the expert weights of this layer that each rank has
	// to load.
	stagedInLayer []int
}

func newLayer(s Shape, expertLoad []float64, slots []int16, paces Paces) *layer {
	w := &layer{shape: s, expertLoad: expertLoad, slots: slots, paces: paces,
		replicaSlots: make([][]int32, s.Experts), replicaLoads: make([]float64, s.Experts),
		rankLoad: make([]float64, s.Ranks), limits: NoLimits(), staged: make([]int, s.Ranks), stagedInLayer: make([]int, s.Ranks)}
	for slot, e := range slots {
		w.replicaSlots[e] = append(w.replicaSlots[e], int32(slot))
	}
	for e, replicas := range w.replicaSlots {
		w.replicaLoads[e] = expertLoad[e] / float64(len(replicas))
	}
	for slot, e := range slots {
		w.addLoad(w.rank(slot), w.replicaLoad(e))
	}
	return w
}

func (w *layer) pace(rank int) float64 {
	if w.paces == nil {
		return 1
	}
	return w.paces[rank]
}

func (w *layer) addLoad(rank int, load float64) { w.rankLoad[rank] += load * w.pace(rank) }

func (w *layer) rank(slot int) int { return slot / w.shape.Slots }

func (w *layer) replicaLoad(e int16) float64 { return w.replicaLoads[e] }

func (w *layer) mostLoadedRank() int {
	most := 0
	for r, x := range w.rankLoad {
		if x > w.rankLoad[most] {
			most = r
		}
	}
	return most
}

// canPlace reports whether a replica of expert e may be placed into a slot, if the
// expert then has the given number of replicas. A rank may hold only one replica
// of an expert, since a second one does not lower its load, and the replicas must
// be spread over the VMs. For a replica that moves, from is its current slot, which
// is ignored; otherwise from is negative.
func (w *layer) canPlace(e int16, slot, from, replicas int) bool {
	rank, limit := w.rank(slot), w.shape.maxReplicasPerVM(replicas)
	vm, sameVM := rank/w.shape.RanksPerVM, 0
	for _, other := range w.replicaSlots[e] {
		if int(other) == from || int(other) == slot {
			continue
		}
		r := w.rank(int(other))
		if r == rank {
			return false
		}
		if r/w.shape.RanksPerVM == vm {
			sameVM++
		}
	}
	return sameVM < limit
}

// spreadAfterRemoval reports whether the replicas of an expert are still spread
// over the VMs after the one in a slot is removed. With fewer replicas, fewer are
// allowed on each VM.
func (w *layer) spreadAfterRemoval(e int16, slot int) bool {
	limit := w.shape.maxReplicasPerVM(len(w.replicaSlots[e]) - 1)
	for _, replica := range w.replicaSlots[e] {
		vm, n := w.vm(int(replica)), 0
		for _, other := range w.replicaSlots[e] {
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
	d := w.replicaLoad(ea) - w.replicaLoad(eb)
	w.addLoad(w.rank(a), -d)
	w.addLoad(w.rank(b), d)
	w.slots[a], w.slots[b] = eb, ea
	moveReplica(w.replicaSlots[ea], a, b)
	moveReplica(w.replicaSlots[eb], b, a)
}

func moveReplica(slots []int32, from, to int) {
	for i, slot := range slots {
		if int(slot) == from {
			slots[i] = int32(to)
			return
		}
	}
}

// replaceReplica replaces the replica in a slot by a replica of expert e. The
// replaced expert must have other replicas.
func (w *layer) replaceReplica(slot int, e int16) {
	old := w.slots[slot]
	w.addReplicaLoads(old, -1)
	w.addReplicaLoads(e, -1)
	kept := w.replicaSlots[old][:0]
	for _, other := range w.replicaSlots[old] {
		if int(other) != slot {
			kept = append(kept, other)
		}
	}
	w.replicaSlots[old] = kept
	w.replicaSlots[e] = append(w.replicaSlots[e], int32(slot))
	w.slots[slot] = e
	for _, x := range [...]int16{e, old} {
		w.replicaLoads[x] = w.expertLoad[x] / float64(len(w.replicaSlots[x]))
		w.addReplicaLoads(x, 1)
	}
}

func (w *layer) addReplicaLoads(e int16, sign float64) {
	x := sign * w.replicaLoad(e)
	for _, slot := range w.replicaSlots[e] {
		w.addLoad(w.rank(int(slot)), x)
	}
}
