package bench

import (
	"context"
	"fmt"
	"slices"
	"time"
)

func init() {
	register(Experiment{
		Name:     "fairness",
		Question: "Does each guild member get its share of the pool, also while another member sends 100 times its share?",
		Run:      runFairness,
	})
}

const (
	fairDuration = 5 * time.Minute
	fairWarmup   = time.Minute
	// fairBacklogLoad is the offered load that keeps a backlog for every member.
	fairBacklogLoad = 2.0
	// fairWithinShareLoad is the offered load of members within their shares.
	fairWithinShareLoad = 0.85
	// fairLightLoad is the offered load of members that use little of their shares.
	fairLightLoad = 0.3
	fairFloodLoad = 100.0
	// fairHeadroom is the Headroom of fairqueue.Config. With 0, members wait for
	// capacity that others have borrowed; 1 leaves more of the pool idle without
	// a gain.
	fairHeadroom = 0.5
	// floodingMember is the index of the member at 100 times its share. It is one
	// of the small members.
	floodingMember = fairLargeMembers
)

// fairMembers returns 3 large and 7 small members with the same load relative to
// their shares.
func fairMembers(load float64) []fairMember {
	members := make([]fairMember, 0, fairLargeMembers+fairSmallMembers)
	for i := range fairLargeMembers + fairSmallMembers {
		m := fairMember{name: fmt.Sprintf("member-%d", i), share: 1, load: load, size: 1}
		if i < fairLargeMembers {
			m.share = fairLargeShare
		}
		members = append(members, m)
	}
	return members
}

func runFairness(ctx context.Context, p Params) (Result, error) {
	backlogged := func(s fairScenario) fairScenario {
		s.members = fairMembers(fairBacklogLoad)
		for i := range s.members {
			// Request sizes differ by a factor of up to 3, so that fairness by request
			// count would fail the target.
			s.members[i].size = 0.5 + 0.5*float64(i%3)
		}
		s.members[floodingMember].load = fairFloodLoad
		return s
	}
	concentrated := func(s fairScenario) fairScenario {
		s.members = fairMembers(fairBacklogLoad)
		s.members[0].upstreams = []int{0, 1, 2, 3, 4, 5}
		s.members[9].upstreams = []int{6, 7}
		return s
	}
	run := func(s fairScenario) []fairOutcome {
		s.seed, s.duration, s.warmup = p.Seed, fairDuration, fairWarmup
		return newFairPool(s).run()
	}
	members := fairMembers(1)
	jain := func(s fairScenario) float64 { return jainIndex(members, run(s)) }
	flood, rejected := floodRatio(run, fairScenario{shareCorrection: true, headroom: fairHeadroom})
	noHeadroom, _ := floodRatio(run, fairScenario{shareCorrection: true})
	floodFIFO, rejectedFIFO := floodRatio(run, fairScenario{fifo: true})
	figures := []Figure{
		Bounded("jain_index", jain(backlogged(fairScenario{shareCorrection: true, headroom: fairHeadroom})), "1", AtLeast, 0.99),
		Plain("jain_index_fifo", jain(backlogged(fairScenario{fifo: true})), "1"),
		Bounded("flood_ttft_p95_ratio", flood, "1", AtMost, 1.10),
		Plain("flood_ttft_p95_ratio_no_headroom", noHeadroom, "1"),
		Plain("flood_ttft_p95_ratio_fifo", floodFIFO, "1"),
		Plain("flood_rejected_others", rejected, "1"),
		Plain("flood_rejected_others_fifo", rejectedFIFO, "1"),
		Plain("headroom_served_part_busy", headroomCost(run, fairWithinShareLoad), "1"),
		Plain("headroom_served_part_quiet", headroomCost(run, fairLightLoad), "1"),
		Bounded("jain_index_concentrated", jain(concentrated(fairScenario{shareCorrection: true, headroom: fairHeadroom})), "1", AtLeast, 0.99),
		Plain("jain_index_concentrated_uncorrected", jain(concentrated(fairScenario{headroom: fairHeadroom})), "1"),
		Plain("jain_index_concentrated_fifo", jain(concentrated(fairScenario{fifo: true})), "1"),
	}
	return Result{Figures: figures}, ctx.Err()
}

// floodRatio compares the members within their shares with and without a flood
// of another member. It returns the worst ratio of their p95 times to first token
// and the share of their requests that agents reject during the flood.
func floodRatio(run func(fairScenario) []fairOutcome, s fairScenario) (ratio, rejected float64) {
	s.members = fairMembers(fairWithinShareLoad)
	baseline := run(s)
	s.members = fairMembers(fairWithinShareLoad)
	s.members[floodingMember].load = fairFloodLoad
	flooded := run(s)
	offered := 0
	for i := range baseline {
		if i == floodingMember {
			continue
		}
		ratio = max(ratio, float64(percentile95(flooded[i].ttft))/float64(percentile95(baseline[i].ttft)))
		rejected += float64(flooded[i].rejected)
		offered += flooded[i].offered
	}
	return ratio, rejected / float64(offered)
}

// headroomCost returns the work that the pool serves during a flood with headroom,
// relative to the work without headroom. The other members offer the given load.
func headroomCost(run func(fairScenario) []fairOutcome, load float64) float64 {
	total := func(headroom float64) (served float64) {
		s := fairScenario{members: fairMembers(load), shareCorrection: true, headroom: headroom}
		s.members[floodingMember].load = fairFloodLoad
		for _, o := range run(s) {
			served += o.served
		}
		return served
	}
	return total(fairHeadroom) / total(0)
}

func percentile95(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return sorted[len(sorted)*95/100]
}

// jainIndex returns Jain's fairness index of the served cost relative to the
// shares.
func jainIndex(members []fairMember, outcomes []fairOutcome) float64 {
	var sum, squares float64
	for i, o := range outcomes {
		x := o.served / members[i].share
		sum, squares = sum+x, squares+x*x
	}
	return sum * sum / (float64(len(outcomes)) * squares)
}
