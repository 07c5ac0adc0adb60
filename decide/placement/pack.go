package placement

import (
	"cmp"
	"slices"
)

const vacant int16 = -1

// packer fills the slots of one layer.
type packer struct {
	shape Shape
	slots []int16
	load  []float64
	used  []int
	total []float64
	ranks []int
	perVM []int
}

// spread places all replicas of one expert on distinct ranks, with as few as
// possible on one VM. A replica that finds no such rank is left out; its slot
// is filled later.
func (p *packer) spread(e int16, count int, share float64) {
	p.sortRanks()
	p.perVM = append(p.perVM[:0], make([]int, p.shape.vms())...)
	limit := p.shape.perVM(count)
	placed := 0
	for ; placed < count && limit <= p.shape.RanksPerVM; limit++ {
		placed += p.take(e, count-placed, share, limit)
	}
}

func (p *packer) take(e int16, want int, share float64, limit int) int {
	placed := 0
	for _, r := range p.ranks {
		vm := r / p.shape.RanksPerVM
		if placed == want {
			break
		}
		if p.used[r] == p.shape.Slots || p.perVM[vm] >= limit || p.has(r, e) {
			continue
		}
		p.put(r, e, share)
		p.perVM[vm]++
		placed++
	}
	return placed
}

func (p *packer) put(r int, e int16, share float64) {
	p.slots[r*p.shape.Slots+p.used[r]] = e
	p.used[r]++
	p.load[r] += share
}

func (p *packer) has(r int, e int16) bool {
	at := r * p.shape.Slots
	return slices.Contains(p.slots[at:at+p.used[r]], e)
}

func (p *packer) sortRanks() {
	if p.ranks == nil {
		p.ranks = make([]int, p.shape.Ranks)
		for r := range p.ranks {
			p.ranks[r] = r
		}
	}
	slices.SortStableFunc(p.ranks, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.load[a], p.load[b]), cmp.Compare(p.total[a], p.total[b]), cmp.Compare(a, b))
	})
}

// fillVacant puts the experts with the highest load per replica into slots
// that are still empty. An expert that every rank with room already holds is
// repeated there, which relieves nothing but keeps the map complete.
func (p *packer) fillVacant(expert []float64) {
	count := make([]int, len(expert))
	for _, e := range p.slots {
		if e != vacant {
			count[e]++
		}
	}
	for r := range p.used {
		for p.used[r] < p.shape.Slots {
			e := p.mostLoaded(r, expert, count)
			count[e]++
			p.put(r, e, 0)
		}
	}
}

func (p *packer) mostLoaded(r int, expert []float64, count []int) int16 {
	best := -1
	for e := range expert {
		if p.has(r, int16(e)) {
			continue
		}
		if count[e] == 0 {
			return int16(e)
		}
		if best < 0 || expert[e]*float64(count[best]) > expert[best]*float64(count[e]) {
			best = e
		}
	}
	if best < 0 {
		best = 0
	}
	return int16(best)
}
