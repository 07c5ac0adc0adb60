package zoneshare_test

import (
	"math"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/zoneshare"
)

// flow is a model of the mean loads of three zones whose processes send shares to each other
// and see the loads late.
type flow struct {
	demand [3]float64
	// age is the age of the reports of a process.
	age    func(process int) time.Duration
	starts func(process int) time.Duration
	// slots are those of each zone.
	slots   float64
	states  []*zoneshare.State
	history [][3]float64
}

const (
	usualSlots    = 6
	flowProcesses = 22
	flowStep      = 10 * time.Millisecond
)

func newFlow(demand [3]float64) *flow {
	f := &flow{
		demand: demand, age: func(p int) time.Duration { return time.Duration(120+10*p) * time.Millisecond },
		starts: func(int) time.Duration { return 0 },
		slots:  usualSlots,
	}
	for p := range flowProcesses {
		f.states = append(f.states, zoneshare.New(zoneshare.Options{Zone: zoneNames[p%3]}))
	}
	return f
}

// weight is the part of its zone's work that a process has, up to a factor.
func weight(p int) float64 { return float64(1 + p%4) }

// sent returns the work of each zone that goes to each other.
func (f *flow) sent() (sent [3][3]float64) {
	var weights [3]float64
	for p := range f.states {
		weights[p%3] += weight(p)
	}
	for p, s := range f.states {
		for to := range zoneNames {
			if share := s.Share("s", zoneNames[to]); to != p%3 && !share.Unlimited() {
				sent[p%3][to] += f.demand[p%3] * weight(p) / weights[p%3] * share.Fraction
			}
		}
	}
	return sent
}

// run plays a time and returns the shares of the first zone's work that left, one for each
// step.
func (f *flow) run(d time.Duration) (shares []float64) {
	for range int(d / flowStep) {
		now := time.Duration(len(f.history)) * flowStep
		sent := f.sent()
		offered := f.demand
		for from := range sent {
			for to, w := range sent[from] {
				offered[from] -= w
				offered[to] += w
			}
		}
		f.history = append(f.history, offered)
		shares = append(shares, (sent[0][1]+sent[0][2])/f.demand[0])
		for p, s := range f.states {
			if !s.Due(now, "s") || now < f.starts(p) {
				continue
			}
			seen := f.history[max(len(f.history)-1-int(f.age(p)/flowStep), 0)]
			zones := make(map[string]zoneshare.Zone)
			for z, load := range seen {
				zone := reported(load, now)
				zone.Slots = f.slots
				zones[zoneNames[z]] = zone
			}
			s.Update(now, "s", usualWork, zones)
		}
	}
	return shares
}

// Guards against shares that swing, with reports of 120 to 330 ms and of 500 ms, between
// processes of unequal size of which half have just started.
func TestSharesConverge(t *testing.T) {
	for name, change := range map[string]func(*flow){
		"usual":     func(*flow) {},
		"old":       func(f *flow) { f.age = func(int) time.Duration { return 500 * time.Millisecond } },
		"half late": func(f *flow) { f.starts = func(p int) time.Duration { return time.Duration(p%2) * 3 * time.Second } },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFlow([3]float64{7, 2, 3})
			change(f)
			f.run(10 * time.Second)
			low, high := math.Inf(1), 0.0
			for _, share := range f.run(5 * time.Second) {
				low, high = min(low, share), max(high, share)
			}
			t.Logf("share %.3f to %.3f, loads %.2f", low, high, f.history[len(f.history)-1])
			if low < 0.2 || high > 0.6 || high-low > 0.03 {
				t.Errorf("share between %.3f and %.3f, want one value that relieves the zone", low, high)
			}
		})
	}
}

// Guards against shares that swing in large zones, where a request more or less in a part of the
// work decides between waiting and not waiting.
func TestSharesConvergeAtAllSizes(t *testing.T) {
	for _, slots := range []float64{6, 12, 18, 30, 60, 120} {
		f := newFlow([3]float64{7 * slots / usualSlots, 2 * slots / usualSlots, 3 * slots / usualSlots})
		f.slots = slots
		f.run(60 * time.Second)
		low, high := math.Inf(1), 0.0
		for _, share := range f.run(10 * time.Second) {
			low, high = min(low, share), max(high, share)
		}
		t.Logf("%v slots: share %.3f to %.3f, loads %.2f", slots, low, high, f.history[len(f.history)-1])
		if low < 0.1 || high > 0.6 || high-low > 0.03 {
			t.Errorf("%v slots: share between %.3f and %.3f, want one value that relieves the zone", slots, low, high)
		}
	}
}

// Guards against an exchange of work in both directions at the same time.
func TestNoExchangeInBothDirections(t *testing.T) {
	f := newFlow([3]float64{7, 2, 3})
	f.run(5 * time.Second)
	// The peak moves to another zone.
	f.demand = [3]float64{2, 7, 3}
	f.run(3 * time.Second)
	sent := f.sent()
	for a := range sent {
		for b := range a {
			if min(sent[a][b], sent[b][a]) > 0.01 {
				t.Errorf("zones %d and %d send %.2f and %.2f to each other", a, b, sent[a][b], sent[b][a])
			}
		}
	}
	if sent[1][0] < 0.5 {
		t.Errorf("the zone with the peak sends %.2f, want it to leave", sent[1][0])
	}
}
