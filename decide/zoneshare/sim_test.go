package zoneshare_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/zoneshare"
)

// policy is a way to decide which requests leave their zone.
type policy int

const (
	stay policy = iota
	constant
	shares
)

var policyNames = [...]string{stay: "stay", constant: "constant", shares: "shares"}

var zoneNames = [...]string{"za", "zb", "zc"}

// sim plays requests to one server in each zone, without a network, in steps of 1 ms. Each
// process knows a server's load from its last response.
type sim struct {
	policy policy
	slots  [3]int
	// rate returns the requests a second of a zone.
	rate     func(zone int, at time.Duration) float64
	duration time.Duration
	options  zoneshare.Options
	delay    time.Duration
	// reports is false if responses carry no load.
	reports func(at time.Duration) bool
	// trace gets the mean share of the first zone's processes.
	trace func(at time.Duration, share float64)

	// demand draws arrivals and service times, so that they are the same for each policy.
	random, demand *rand.Rand

	edges   []*edge
	servers [3]server
	outcome outcome
}

type outcome struct {
	asked, inTime, refused int
	// left counts the requests that went to another zone.
	left int
	wait time.Duration
}

type edge struct {
	zone   int
	weight float64
	state  *zoneshare.State
	known  [3]known
	// duration is the mean time to a response, as package balance measures it.
	duration time.Duration
}

type known struct {
	inFlight, others float64
	at               time.Duration
	reported         bool
	askedAt          time.Duration
	asked            bool
}

// load is the estimate of package balance: the load of the others decays.
func (k *known) load(now time.Duration) float64 {
	return k.inFlight + k.others*math.Exp2(-(now-k.at).Seconds())
}

type server struct {
	running, waiting []request
}

type request struct {
	edge        *edge
	zone        int
	arrived     time.Duration
	ends        time.Duration
	crossed     bool
	serviceTime time.Duration
}

const (
	simTime = 30 * time.Second
	// acceptedWait is the wait of a request that is in time.
	acceptedWait = 100 * time.Millisecond
	requestBytes = 20_000
	maxFactor    = 2
)

func (s *sim) run(seed uint64) outcome {
	s.random, s.demand = rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8))
	for i := range 22 {
		e := &edge{zone: i % 3, weight: 1 + float64(i%4)}
		o := s.options
		o.Zone = zoneNames[e.zone]
		e.state = zoneshare.New(o)
		e.state.SetDelays(func(string, string) (time.Duration, bool) { return s.delay, true })
		s.edges = append(s.edges, e)
	}
	for now := time.Duration(0); now < simTime; now += time.Millisecond {
		for z := range s.servers {
			s.serve(now, z)
		}
		s.arrive(now)
		if s.trace != nil {
			s.trace(now, s.meanShare())
		}
	}
	return s.outcome
}

func (s *sim) meanShare() float64 {
	sum, weights := 0.0, 0.0
	for _, e := range s.edges {
		if e.zone == 0 {
			for _, to := range zoneNames[1:] {
				sum += e.weight * e.state.Share("s", to).Fraction
			}
			weights += e.weight
		}
	}
	return sum / weights
}

func (s *sim) arrive(now time.Duration) {
	var weights [3]float64
	for _, e := range s.edges {
		weights[e.zone] += e.weight
	}
	for _, e := range s.edges {
		if s.demand.Float64() >= s.rate(e.zone, now)*e.weight/weights[e.zone]/1000 {
			continue
		}
		s.outcome.asked++
		service := time.Duration(s.demand.ExpFloat64() * float64(s.duration))
		z := s.choose(now, e)
		if z < 0 || e.known[z].load(now) >= maxFactor*float64(s.slots[z]) {
			s.outcome.refused++
			continue
		}
		k := &e.known[z]
		k.inFlight++
		if !k.asked {
			k.asked, k.askedAt = true, now
		}
		if z != e.zone {
			s.outcome.left++
		}
		s.servers[z].waiting = append(s.servers[z].waiting, request{edge: e, zone: z, arrived: now, crossed: z != e.zone, serviceTime: service})
	}
}

// choose is the selection of package balance.
func (s *sim) choose(now time.Duration, e *edge) int {
	if s.policy == shares && e.state.Due(now, "s") {
		e.update(now, s)
	}
	best, lowest := -1, math.Inf(1)
	for z := range s.servers {
		if s.slots[z] == 0 || s.policy == stay && z != e.zone {
			continue
		}
		load := e.known[z].load(now)
		score := load + s.random.Float64()/2
		switch {
		case z == e.zone:
		case s.policy == constant:
			score += zoneshare.Preference
		default:
			slots := float64(s.slots[z])
			score += e.state.Share("s", zoneNames[z]).Penalty(load, slots, maxFactor*slots, s.random.Float64())
		}
		if score < lowest {
			best, lowest = z, score
		}
	}
	return best
}

func (e *edge) update(now time.Duration, s *sim) {
	zones := make(map[string]zoneshare.Zone)
	for z, k := range e.known {
		if s.slots[z] == 0 {
			continue
		}
		load := k.inFlight
		if k.reported && now-k.at <= zoneshare.MaxReportAge {
			load += k.others
		}
		zones[zoneNames[z]] = zoneshare.Zone{Load: load, Slots: float64(s.slots[z]), Upstreams: 1, ReportedAt: k.at, Reported: k.reported, AskedAt: k.askedAt, Asked: k.asked}
	}
	w := zoneshare.Work{Duration: e.duration, Bytes: requestBytes, LoadCost: e.duration / 6}
	e.state.Update(now, "s", w, zones)
}

func (s *sim) serve(now time.Duration, z int) {
	v := &s.servers[z]
	left := v.running[:0]
	var ended []request
	for _, r := range v.running {
		if r.ends <= now {
			ended = append(ended, r)
			continue
		}
		left = append(left, r)
	}
	v.running = left
	for len(v.waiting) > 0 && len(v.running) < s.slots[z] {
		r := v.waiting[0]
		v.waiting = v.waiting[1:]
		wait := now - r.arrived
		if r.crossed {
			wait += 2 * s.delay
		}
		s.outcome.wait += wait
		if wait <= acceptedWait {
			s.outcome.inTime++
		}
		r.ends = now + r.serviceTime
		v.running = append(v.running, r)
	}
	for _, r := range ended {
		k := &r.edge.known[z]
		k.inFlight--
		if r.edge.duration == 0 {
			r.edge.duration = now - r.arrived
		}
		r.edge.duration += (now - r.arrived - r.edge.duration) / 10
		if s.reports == nil || s.reports(now) {
			k.others = max(float64(len(v.running)+len(v.waiting))-k.inFlight, 0)
			k.at, k.reported, k.asked = now, true, false
		}
	}
}

// compare plays the same demand to each policy.
func compare(t *testing.T, s sim) (sums [3]outcome) {
	t.Helper()
	for p := range sums {
		o := &sums[p]
		for seed := range uint64(2) {
			run := s
			run.policy = policy(p)
			one := run.run(seed)
			o.asked, o.inTime, o.refused = o.asked+one.asked, o.inTime+one.inTime, o.refused+one.refused
			o.wait, o.left = o.wait+one.wait, o.left+one.left
		}
		t.Logf("%-8s in time %d of %d, refused %d, mean wait %v, MB between zones %.1f", policyNames[p],
			o.inTime, o.asked, o.refused, (o.wait / time.Duration(o.asked)).Round(time.Microsecond), float64(o.left)*requestBytes/1e6)
	}
	return sums
}

// outOfPhase returns a rate whose peaks are a third of a period apart between zones.
func outOfPhase(mean, amplitude float64) func(int, time.Duration) float64 {
	const period = 10
	return func(zone int, at time.Duration) float64 {
		return mean * (1 + amplitude*math.Sin(2*math.Pi*(at.Seconds()/period-float64(zone)/3)))
	}
}

var baseSim = sim{slots: [3]int{6, 6, 6}, duration: 180 * time.Millisecond, delay: 900 * time.Microsecond}

// Plays one demand to servers in three zones: always staying in the zone, the constant
// preference that was used before, and the shares. Guards against shares that cost callers
// time or don't save traffic between zones.
func TestSharesAgainstConstantPreference(t *testing.T) {
	for _, c := range []struct {
		name  string
		rate  func(int, time.Duration) float64
		slots [3]int
		// inTime and left bound the requests in time from below and those that leave from
		// above, relative to the constant preference.
		inTime, left float64
	}{
		{"zones with room", outOfPhase(12, 0), [3]int{6, 6, 6}, 0.995, 0.1},
		{"busy zones", outOfPhase(22, 0), [3]int{6, 6, 6}, 0.99, 0.55},
		{"peaks out of phase", outOfPhase(20, 0.8), [3]int{6, 6, 6}, 0.99, 0.6},
		{"half of the servers lost in one zone", outOfPhase(20, 0), [3]int{3, 6, 6}, 1.05, 0.6},
		{"all zones full", outOfPhase(40, 0), [3]int{6, 6, 6}, 1.2, 0.9},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := baseSim
			s.rate, s.slots = c.rate, c.slots
			o := compare(t, s)
			if float64(o[shares].inTime) < c.inTime*float64(o[constant].inTime) || float64(o[shares].left) > c.left*float64(o[constant].left) {
				t.Errorf("want at least %.3f of the requests in time and at most %.2f of the traffic of the constant preference", c.inTime, c.left)
			}
		})
	}
}
