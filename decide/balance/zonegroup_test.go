package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
)

const (
	zonedEdges = 22
	zonedSlots = 10
	zonedTime  = 10 * time.Second
	// streamEvents is the mean number of events of a stream, one a pass.
	streamEvents = 23
	streamBytes  = 20_000
	zoneDelay    = 900 * time.Microsecond
	// firstEventTarget and acceptedPause are what callers accept.
	firstEventTarget, acceptedPause = 400 * time.Millisecond, 120 * time.Millisecond
)

var simZones = [...]string{"za", "zb", "zc"}

// zonedGroup plays the streams of 22 edges of unequal size in three zones to a group of ranks
// in all zones, pass by pass, without a network. The ranks advance in lockstep: a pass takes
// as long as the rank that runs the most.
type zonedGroup struct {
	ranks int
	// lost is the part of the first zone's ranks that are leaving.
	lost float64
	// rate returns the requests a second of a zone.
	rate func(zone int, at time.Duration) float64
	// stay closes the other zones.
	stay      bool
	bytePrice float64
	// change changes the instances and zones at the start of each third of the time.
	change func(v *api.View, third int)
	// reports is false while an edge gets no load of the group.
	reports func(edge int, at time.Duration) bool

	random  *rand.Rand
	view    *api.View
	edges   []*zonedEdge
	running [][]*stream
	waiting [][]*stream
	outcome zonedOutcome
}

type zonedEdge struct {
	zone    int
	weight  float64
	state   *balance.State
	exclude []string
	// reportAt is when the next load arrives, and every the time between two.
	reportAt, every time.Duration
	pending         api.GroupLoad
}

type stream struct {
	edge            *zonedEdge
	arrived, began  time.Duration
	events          int
	crossed, isLate bool
}

type zonedOutcome struct {
	asked, inTime, refused, crossed, ended int
	passes                                 int
	passTime, streamTime                   time.Duration
	fullest                                float64
	// toOut counts the requests to a zone that is out, and toCold those to cold ranks.
	toOut, toCold int
	// homeLoad and homeSquares are the sums of the mean load of the first zone's ranks and of
	// its square.
	homeLoad, homeSquares float64
}

// swing is the standard deviation of the mean load of the first zone's ranks.
func (o zonedOutcome) swing() float64 {
	mean := o.homeLoad / float64(o.passes)
	return math.Sqrt(o.homeSquares/float64(o.passes) - mean*mean)
}

// late is the part of the requests that were refused or late.
func (o zonedOutcome) late() float64 {
	return float64(o.refused+o.ended-o.inTime) / float64(o.asked)
}

func (o zonedOutcome) meanStream() time.Duration {
	return o.streamTime / time.Duration(max(o.ended, 1))
}

func (o zonedOutcome) String() string {
	return fmt.Sprintf("late %d and refused %d of %d, pass %.1f ms, fullest rank %.2f, stream %d ms, MB between zones %.1f, swing %.2f, to cold ranks %d",
		o.ended-o.inTime, o.refused, o.asked, 1e3*o.passTime.Seconds()/float64(o.passes), o.fullest/float64(o.passes),
		o.meanStream().Milliseconds(), float64(o.crossed)*streamBytes/1e6, o.swing(), o.toCold)
}

// zoneOfRank distributes ranks over the zones in turn.
func zoneOfRank(rank int) int { return rank % len(simZones) }

func (g *zonedGroup) start(seed uint64) {
	g.random = rand.New(rand.NewPCG(seed, 3))
	g.running, g.waiting = make([][]*stream, g.ranks), make([][]*stream, g.ranks)
	g.view = newView()
	outside := make([][]string, len(simZones))
	for rank := range g.ranks {
		in := api.Instance{
			ID: fmt.Sprint("r", rank), Service: "s", Zone: simZones[zoneOfRank(rank)], Address: fmt.Sprintf("10.0.0.%d:80", rank), Slots: zonedSlots,
			Leaving: zoneOfRank(rank) == 0 && float64(rank) < g.lost*float64(g.ranks),
		}
		g.view.Instances[in.ID] = in
		for z := range simZones {
			if z != zoneOfRank(rank) {
				outside[z] = append(outside[z], in.ID)
			}
		}
	}
	g.view.Table.Services["s"] = api.ServiceProfile{Name: "s", ColdRate: 2, Engine: &api.EngineProfile{
		Experts: 144, StepTime: 4840 * time.Microsecond, RequestTime: 435 * time.Microsecond, StepsPerPass: 7, AnswerTokens: 7 * streamEvents,
	}}
	for i := range zonedEdges {
		e := &zonedEdge{zone: i % 3, weight: 1 + float64(i%4), every: time.Duration(120+180*i/zonedEdges) * time.Millisecond}
		e.state = balance.New(balance.Options{Zone: simZones[e.zone], Seed: seed*100 + uint64(i), ColdOvershoot: 1, ZoneBytePrice: g.bytePrice})
		if g.stay {
			e.exclude = outside[e.zone]
			e.state.SetFleet(newFleetView(i/3, (zonedEdges+2)/3))
		} else {
			e.state.SetFleet(newFleetView(i, zonedEdges))
		}
		e.state.Configure(0, g.view)
		g.edges = append(g.edges, e)
	}
}

// run plays the load and returns what callers got of it.
func (g *zonedGroup) run(seed uint64) zonedOutcome {
	g.start(seed)
	third := 0
	for now := time.Duration(0); now < zonedTime; {
		if g.change != nil && now >= zonedTime*time.Duration(third)/3 {
			g.change(g.view, third)
			third++
			for _, e := range g.edges {
				e.state.Configure(now, g.view)
			}
		}
		end := now + g.begin(now)
		for at := now; at < end; at += time.Millisecond {
			g.report(at)
			g.arrive(at)
		}
		g.end(now, end)
		now = end
	}
	return g.outcome
}

// begin starts the streams that wait and returns the time of the pass.
func (g *zonedGroup) begin(now time.Duration) time.Duration {
	fullest, home := 0, 0.0
	for rank, list := range g.waiting {
		n := min(len(list), zonedSlots-len(g.running[rank]))
		for _, r := range list[:n] {
			r.began = now
		}
		g.running[rank] = append(g.running[rank], list[:n]...)
		g.waiting[rank] = slices.Clone(list[n:])
		fullest = max(fullest, len(g.running[rank]))
		if zoneOfRank(rank) == 0 {
			home += float64(len(g.running[rank])) * float64(len(simZones)) / float64(g.ranks)
		}
	}
	g.outcome.homeLoad, g.outcome.homeSquares = g.outcome.homeLoad+home, g.outcome.homeSquares+home*home
	pass := 7 * (4840*time.Microsecond + time.Duration(fullest)*435*time.Microsecond)
	g.outcome.passes++
	g.outcome.passTime += pass
	g.outcome.fullest += float64(fullest)
	return pass
}

// end delivers an event of each running stream.
func (g *zonedGroup) end(began, now time.Duration) {
	for rank, list := range g.running {
		var left []*stream
		for _, r := range list {
			first := now - r.arrived
			if r.crossed {
				first += 2 * zoneDelay
			}
			r.isLate = r.isLate || r.began == began && first > firstEventTarget || r.began != began && now-began > acceptedPause
			if r.events--; r.events > 0 {
				left = append(left, r)
				continue
			}
			id := fmt.Sprint("r", rank)
			r.edge.state.ObserveDuration(id, now-r.arrived)
			r.edge.state.ObserveBytes(id, streamBytes)
			r.edge.state.Done(now, id, nil)
			g.outcome.ended++
			g.outcome.streamTime += now - r.arrived
			if !r.isLate {
				g.outcome.inTime++
			}
		}
		g.running[rank] = left
	}
}

// report gives each edge the load that the leader read for it, half of the time between two
// reports later.
func (g *zonedGroup) report(now time.Duration) {
	for i, e := range g.edges {
		if now < e.reportAt {
			continue
		}
		if e.pending.Ranks != nil && (g.reports == nil || g.reports(i, now)) {
			e.state.ObserveGroupLoad(e.pending)
		}
		e.reportAt = now + e.every/2
		if e.pending.Ranks != nil {
			e.pending = api.GroupLoad{}
			continue
		}
		e.pending = api.GroupLoad{Group: "g", Formed: true, ReadAt: now}
		for rank := range g.ranks {
			if in := g.view.Instances[fmt.Sprint("r", rank)]; in.Leaving || g.view.ZonesOut[in.Zone] {
				continue
			}
			e.pending.Ranks = append(e.pending.Ranks, api.RankLoad{
				AddressHash: xxhash.Sum64String(fmt.Sprintf("10.0.0.%d:80", rank)), Requests: len(g.running[rank]) + len(g.waiting[rank]),
			})
		}
	}
}

func (g *zonedGroup) arrive(now time.Duration) {
	var weights [len(simZones)]float64
	for _, e := range g.edges {
		weights[e.zone] += e.weight
	}
	for _, e := range g.edges {
		if g.random.Float64() >= g.rate(e.zone, now)*e.weight/weights[e.zone]/1000 {
			continue
		}
		g.outcome.asked++
		events := 1 + g.random.IntN(2*streamEvents-1)
		c, failure := e.state.Choose(now, "s", e.exclude)
		if failure != nil {
			g.outcome.refused++
			continue
		}
		var rank int
		_, _ = fmt.Sscanf(c.Upstream, "r%d", &rank)
		if in := g.view.Instances[c.Upstream]; g.view.ZonesOut[in.Zone] {
			g.outcome.toOut++
		} else if now < in.ColdUntil {
			g.outcome.toCold++
		}
		crossed := zoneOfRank(rank) != e.zone
		if crossed {
			g.outcome.crossed++
		}
		g.waiting[rank] = append(g.waiting[rank], &stream{edge: e, arrived: now, events: events, crossed: crossed})
	}
}

// outOfPhase returns the rates of zones whose peaks are a third of a period apart.
func outOfPhase(mean, amplitude float64) func(int, time.Duration) float64 {
	const period = 10
	return func(zone int, at time.Duration) float64 {
		return mean * (1 + amplitude*math.Sin(2*math.Pi*(at.Seconds()/period-float64(zone)/3)))
	}
}

// stayHome, constant and priced are the ways to decide which streams leave their zone.
const (
	stayHome = iota
	constant
	priced
)

// play plays one demand to a group in one way.
func (g zonedGroup) play(t *testing.T, way int) zonedOutcome {
	t.Helper()
	g.stay = way == stayHome
	if way != priced {
		g.bytePrice = 0
	} else if g.bytePrice == 0 {
		g.bytePrice = 1
	}
	o := g.run(1)
	t.Logf("%-8s %v", [...]string{"stay", "constant", "priced"}[way], o)
	return o
}

// Plays one demand to a group across zones: always staying in the zone, the constant
// preference without a price, and the decision with the least price. Guards against a price
// that costs callers time or does not save traffic.
func TestGroupAcrossZonesWithPrice(t *testing.T) {
	for _, c := range []struct {
		name string
		g    zonedGroup
		// crossed bounds the streams that leave relative to the constant preference.
		crossed float64
	}{
		{"even demand", zonedGroup{ranks: 72, rate: outOfPhase(90, 0)}, 0.4},
		{"peaks out of phase", zonedGroup{ranks: 72, rate: outOfPhase(90, 0.8)}, 0.65},
		{"half of the ranks lost in one zone", zonedGroup{ranks: 72, lost: 0.5, rate: outOfPhase(90, 0)}, 0.5},
		{"all zones full", zonedGroup{ranks: 72, rate: outOfPhase(200, 0)}, 0.4},
		{"12 ranks", zonedGroup{ranks: 12, rate: outOfPhase(15, 0.8)}, 0.7},
		{"price below the loss of others", zonedGroup{ranks: 72, rate: outOfPhase(90, 0.8), bytePrice: 10_000}, 0.65},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.g.play(t, stayHome)
			before, after := c.g.play(t, constant), c.g.play(t, priced)
			if after.late() > before.late()+0.01 || after.meanStream() > before.meanStream()*103/100 {
				t.Errorf("%.3f late in streams of %v, %.3f in %v with the constant", after.late(), after.meanStream(), before.late(), before.meanStream())
			}
			if float64(after.crossed) > c.crossed*float64(before.crossed) {
				t.Errorf("%d streams left, want at most %.2f of the %d with the constant", after.crossed, c.crossed, before.crossed)
			}
			if after.swing() > 1.3*before.swing()+0.2 {
				t.Errorf("the load of a zone swings by %.2f, with the constant by %.2f", after.swing(), before.swing())
			}
		})
	}
}

// setZone changes the instances of the first zone.
func setZone(v *api.View, change func(*api.Instance)) {
	for id, in := range v.Instances {
		if in.Zone == simZones[0] {
			change(&in)
			v.Instances[id] = in
		}
	}
}

// Guards against a price that sends requests to a zone that is out or cold beyond its quota,
// that keeps requests from a zone that is back, or that costs callers time while zones or
// reports are missing.
func TestPricedGroupInStatesOfZones(t *testing.T) {
	out := func(v *api.View, third int) { v.ZonesOut[simZones[0]] = third == 1 }
	for name, g := range map[string]zonedGroup{
		"evacuated and back": {change: out},
		"back and cold": {change: func(v *api.View, third int) {
			out(v, third)
			setZone(v, func(in *api.Instance) { in.ColdUntil = time.Duration(third/2) * zonedTime })
		}},
		"lost":             {change: func(v *api.View, third int) { setZone(v, func(in *api.Instance) { in.Leaving = third > 0 }) }},
		"no reports":       {reports: func(_ int, at time.Duration) bool { return at%(4*time.Second) < 2*time.Second }},
		"half not started": {reports: func(edge int, at time.Duration) bool { return edge%2 == 0 || at > zonedTime/2 }},
	} {
		t.Run(name, func(t *testing.T) {
			g.ranks, g.rate = 72, outOfPhase(60, 0.4)
			before, after := g.play(t, constant), g.play(t, priced)
			if after.toOut > 0 {
				t.Errorf("%d requests to a zone that is out", after.toOut)
			}
			// A third of the ranks is cold for a third of the time, at two requests a second.
			if quota := int(2 * zonedTime.Seconds() * 72 / 9); after.toCold > quota {
				t.Errorf("%d requests to cold ranks, quota %d", after.toCold, quota)
			}
			if after.late() > before.late()+0.01 || after.meanStream() > before.meanStream()*103/100 || after.crossed > before.crossed {
				t.Errorf("%.3f late in streams of %v, %d left; with the constant %.3f in %v, %d left",
					after.late(), after.meanStream(), after.crossed, before.late(), before.meanStream(), before.crossed)
			}
		})
	}
}
