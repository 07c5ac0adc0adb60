package rankpacing_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/rankpacing"
)

// groups have the sizes and links that must be served.
var groups = []rankpacing.Group{
	{Ranks: 12, Layers: 12, Experts: 96, LinkMbps: 20, CPUShare: 0.24},
	{Ranks: 24, Layers: 16, Experts: 96, LinkMbps: 8, CPUShare: 0.24},
	{Ranks: 64, Layers: 12, Experts: 256, LinkMbps: 6, CPUShare: 0.24},
	{Ranks: 72, Layers: 12, Experts: 144, LinkMbps: 8, CPUShare: 0.24},
	{Ranks: 256, Layers: 12, Experts: 256, LinkMbps: 200, CPUShare: 0.24},
	{Ranks: 64, Layers: 12, Experts: 256, LinkMbps: 6, CPUShare: 1},
	{Ranks: 256, Layers: 12, Experts: 256, LinkMbps: 6, CPUShare: 1},
}

// Guards against a change that waits for the end of a regular read which started right
// before the ranks were ready, or for the next regular read.
func TestChangeGetsItsReadInTime(t *testing.T) {
	for _, g := range groups {
		last, interval := time.Second, g.ReadInterval()
		for _, wanted := range []time.Duration{last + 1, last + interval/2, last + interval + interval/3} {
			r := rankpacing.Reads{LastAt: last, WantedFrom: wanted, Wanted: true}
			if next := g.NextRead(r); next < wanted || next > wanted+25*time.Millisecond {
				t.Errorf("%d ranks: next read %v after the wanted time", g.Ranks, next-wanted)
			}
		}
		far := rankpacing.Reads{LastAt: last, WantedFrom: last + 10*interval, Wanted: true}
		if next := g.NextRead(far); next != last+interval {
			t.Errorf("%d ranks: next read after %v although the change needs none soon, want %v", g.Ranks, next-last, interval)
		}
		seen := rankpacing.Reads{LastAt: last, WantedFrom: last - 1, Wanted: true}
		if next := g.NextRead(seen); next != last+interval {
			t.Errorf("%d ranks: next read after %v although the last one was as wanted, want %v", g.Ranks, next-last, interval)
		}
	}
}

// Guards against reads that take so much of a slow link that counts, orders and requests wait
// behind them, and against fewer reads at the sizes where reads left them room before.
func TestReadsLeaveRoomOnLink(t *testing.T) {
	for _, ranks := range []int{12, 24, 64, 72, 256} {
		for _, cpu := range []float64{0.24, 1} {
			for _, mbps := range []float64{6, 8, 20, 200} {
				g := rankpacing.Group{Ranks: ranks, Layers: 12, Experts: 256, LinkMbps: mbps, CPUShare: cpu}
				reads := time.Duration(float64(ranks*300*8) / mbps * float64(time.Microsecond))
				if part := float64(reads) / float64(g.ReadInterval()); part > 0.401 {
					t.Errorf("%d ranks, %v Mbit/s, %v cores: reads take %.2f of the link", ranks, mbps, cpu, part)
				}
				unlimited := g
				unlimited.LinkMbps = 0
				if cpu < 1 && g.ReadInterval() != unlimited.ReadInterval() {
					t.Errorf("%d ranks, %v Mbit/s, %v cores: read interval %v, want that of the processor", ranks, mbps, cpu, g.ReadInterval())
				}
			}
		}
	}
}

// Guards against a rank that takes the lead while the leader reads less often because it
// sends orders.
func TestOrdersDoNotCostTheLead(t *testing.T) {
	for _, g := range groups {
		next := g.NextRead(rankpacing.Reads{Ordering: true})
		if latest := next + g.RoundTime(false); latest >= g.LeaderTimeout() {
			t.Errorf("%d ranks: a rank may be read %v after the last time, and others lead after %v", g.Ranks, latest, g.LeaderTimeout())
		}
	}
}

// Guards against samples of the demand that are so far apart that a shift is found late, or
// that take more than their part of the link, or come from too few ranks.
func TestSamplesAreFrequent(t *testing.T) {
	for _, g := range groups {
		n, interval := g.CountedRanks(), g.CountsInterval()
		if limit := 250 * time.Millisecond; g.Ranks <= 72 && interval > limit {
			t.Errorf("%d ranks: %v between samples of %d ranks, want at most %v", g.Ranks, interval, n, limit)
		}
		if n < min(g.Ranks, 12) {
			t.Errorf("%d of %d ranks counted", n, g.Ranks)
		}
	}
}
