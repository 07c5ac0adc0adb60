package placement

import (
	"cmp"
	"slices"
)

const emptySlot int16 = -1

// packer assigns replicas to the slots of one layer.
type packer struct {
	shape     Shape
	slots     []int16
	rankLoad  []float64
	usedSlots []int
	// earlierLoad is the load of each rank in the layers packed before this one.
	earlierLoad []float64
	// ranksByLoad lists the ranks in order of increasing load.
	ranksByLoad []int
	// replicasPerVM counts the replicas of the expert that is being placed.
	replicasPerVM []int
}

// placeReplicas places the replicas of an expert on distinct ranks, with as few
// as possible on one VM. If there are too few ranks with an empty slot, it leaves
// out the remaining replicas; fillEmptySlots fills their slots.
func (p *packer) placeReplicas(e int16, count int, load float64) {
	p.sortRanks()
	p.replicasPerVM = append(p.replicasPerVM[:0], make([]int, p.shape.vmCount())...)
	limit := p.shape.maxReplicasPerVM(count)
	placed := 0
	for ; placed < count && limit <= p.shape.RanksPerVM; limit++ {
		placed += p.placeUpTo(e, count-placed, load, limit)
	}
}

// placeUpTo places up to count replicas of an expert on the least loaded ranks, with
// at most limit on one VM, and returns how many it placed.
func (p *packer) placeUpTo(e int16, count int, load float64, limit int) int {
	placed := 0
	for _, r := range p.ranksByLoad {
		vm := r / p.shape.RanksPerVM
		if placed == count {
			break
		}
		if p.usedSlots[r] == p.shape.Slots || p.replicasPerVM[vm] >= limit || p.has(r, e) {
			continue
		}
		p.place(r, e, load)
		p.replicasPerVM[vm]++
		placed++
	}
	return placed
}

func (p *packer) place(r int, e int16, load float64) {
	p.slots[r*p.shape.Slots+p.usedSlots[r]] = e
	p.usedSlots[r]++
	p.rankLoad[r] += load
}

func (p *packer) has(r int, e int16) bool {
	start := r * p.shape.Slots
	return slices.Contains(p.slots[start:start+p.usedSlots[r]], e)
}

func (p *packer) sortRanks() {
	if p.ranksByLoad == nil {
		p.ranksByLoad = make([]int, p.shape.Ranks)
		for r := range p.ranksByLoad {
			p.ranksByLoad[r] = r
		}
	}
	slices.SortStableFunc(p.ranksByLoad, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.rankLoad[a], p.rankLoad[b]), cmp.Compare(p.earlierLoad[a], p.earlierLoad[b]), cmp.Compare(a, b))
	})
}

// fillEmptySlots fills the empty slots with the experts that have the highest load
// per replica. On a rank that already holds every expert, it repeats one, which
// lowers no load but keeps the map complete.
func (p *packer) fillEmptySlots(expertLoad []float64) {
	replicas := make([]int, len(expertLoad))
	for _, e := range p.slots {
		if e != emptySlot {
			replicas[e]++
		}
	}
	for r := range p.usedSlots {
		for p.usedSlots[r] < p.shape.Slots {
			e := p.mostLoadedExpert(r, expertLoad, replicas)
			replicas[e]++
			p.place(r, e, 0)
		}
	}
}

func (p *packer) mostLoadedExpert(r int, expertLoad []float64, replicas []int) int16 {
	best := -1
	for e := range expertLoad {
		if p.has(r, int16(e)) {
			continue
		}
		if replicas[e] == 0 {
			return int16(e)
		}
		if best < 0 || expertLoad[e]*float64(replicas[best]) > expertLoad[best]*float64(replicas[e]) {
			best = e
		}
	}
	if best < 0 {
		best = 0
	}
	return int16(best)
}
