package waterfill_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/decide/waterfill"
)

// Guards against a request for an upstream without room, and against a refusal although
// all expected requests have room.
func TestChoiceHasRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20).Draw(t, "n")
		candidates := make([]waterfill.Candidate, n)
		room := 0.0
		for i := range candidates {
			c := waterfill.Candidate{
				Load: float64(rapid.IntRange(0, 10).Draw(t, "load")), Capacity: float64(rapid.IntRange(0, 10).Draw(t, "capacity")),
			}
			candidates[i] = c
			room += max(c.Capacity-c.Load, 0)
		}
		arrivals := float64(rapid.IntRange(1, 60).Draw(t, "arrivals"))
		i := waterfill.Choose(candidates, arrivals, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		switch {
		case i == waterfill.Refused:
			if room >= arrivals {
				t.Fatalf("refused with room for %v of %v requests", room, arrivals)
			}
		case candidates[i].Load >= candidates[i].Capacity:
			t.Fatalf("chose %+v", candidates[i])
		}
	})
}

// fullBatch is the number of requests that an upstream runs at the same time.
const fullBatch = 6

// load is a load of 36 processes in front of 64 upstreams with 6 slots, each process
// with the same reports.
type load struct {
	requests  int
	capacity  float64
	choose    func(candidates []waterfill.Candidate, arrivals, random float64) int
	processes int
}

// play places requests between two reports, each process on its own, and returns the
// highest and the mean number on an upstream, and the number of refusals.
func (l load) play(seed uint64) (peak int, mean float64, refused int) {
	const upstreams = 64
	random := rand.New(rand.NewPCG(seed, 0))
	reported := make([]int, upstreams)
	for i := range reported {
		reported[i] = random.IntN(4)
	}
	placed := append([]int(nil), reported...)
	own := make([][]int, l.processes)
	for p := range own {
		own[p] = make([]int, upstreams)
	}
	for n := range l.requests {
		p := n % l.processes
		candidates := make([]waterfill.Candidate, upstreams)
		for i := range candidates {
			candidates[i] = waterfill.Candidate{Load: float64(reported[i] + own[p][i]), Capacity: l.capacity}
		}
		i := l.choose(candidates, float64(n+1-n/l.processes), random.Float64())
		if i == waterfill.Refused {
			refused++
			continue
		}
		own[p][i]++
		placed[i]++
	}
	for _, n := range placed {
		peak, mean = max(peak, n), mean+float64(n)/upstreams
	}
	return peak, mean, refused
}

func lowestLoad(candidates []waterfill.Candidate, _, random float64) int {
	best := 0
	for i, c := range candidates {
		if c.Load < candidates[best].Load || c.Load == candidates[best].Load && random < 0.5 {
			best = i
		}
	}
	return best
}

// Plays the requests of 36 processes between two load reports. Guards against upstreams
// that get far more than their share: a pass of a group lasts as long as that of its
// fullest rank.
func TestProcessesWithOldReportsSpreadRequests(t *testing.T) {
	const seeds = 20
	before, after, refusals := 0.0, 0.0, 0
	for seed := range uint64(seeds) {
		peak, _, _ := load{requests: 100, capacity: 12, choose: lowestLoad, processes: 36}.play(seed)
		before += float64(peak) / seeds
		peak, _, refused := load{requests: 100, capacity: fullBatch + 1, choose: waterfill.Choose, processes: 36}.play(seed)
		after += float64(peak) / seeds
		refusals += refused
	}
	t.Logf("mean peak %.1f with the lowest load, %.1f with water filling", before, after)
	// A request beyond a full batch and one waiting is late.
	if after > fullBatch+1 || refusals > 0 {
		t.Errorf("mean peak %.1f, %d refused, want at most %d and none; the lowest load gives %.1f", after, refusals, fullBatch+1, before)
	}
}

// Plays three times the requests for which there is room. Guards against a crowd that is
// accepted and is then late as a whole, and against refusals while upstreams are idle.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	for seed := range uint64(5) {
		_, mean, refused := load{requests: 900, capacity: fullBatch, choose: waterfill.Choose, processes: 36}.play(seed)
		t.Logf("seed %d: mean %.1f, %d of 900 refused", seed, mean, refused)
		if mean < 0.9*fullBatch || mean > 1.1*fullBatch {
			t.Errorf("seed %d: mean load %.1f, %d refused; want a mean within 10%% of a full batch of %d", seed, mean, refused, fullBatch)
		}
	}
}

// Guards against depths that do not add up to the arrivals, or that exceed the room of an
// upstream: requests drawn with them would overfill it.
func TestDepthsAddUpToArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "n")
		candidates := make([]waterfill.Candidate, n)
		room := 0.0
		for i := range candidates {
			c := waterfill.Candidate{
				Load: rapid.Float64Range(0, 10).Draw(t, "load"), Capacity: rapid.Float64Range(0, 10).Draw(t, "capacity"),
			}
			candidates[i] = c
			room += max(c.Capacity-c.Load, 0)
		}
		arrivals := rapid.Float64Range(1, 60).Draw(t, "arrivals")
		depths := waterfill.Depths(nil, candidates, arrivals)
		if depths == nil {
			if room >= arrivals {
				t.Fatalf("refused with room for %v of %v", room, arrivals)
			}
			return
		}
		sum := 0.0
		for i, d := range depths {
			if sum += d; d > max(candidates[i].Capacity-candidates[i].Load, 0)+1e-6 {
				t.Fatalf("depth %v of %+v", d, candidates[i])
			}
		}
		if math.Abs(sum-arrivals) > 1e-3 {
			t.Fatalf("depths add up to %v of %v", sum, arrivals)
		}
	})
}
