// Package sharecorrect corrects the weights of guild members where fairness at
// each agent does not add up to fairness over the pool.
//
// Agents report the cost they served for each member and what still waits. A
// member that is held back and received less than the others for its share,
// because its work is confined to few upstreams, gets a higher weight there.
package sharecorrect

import (
	"math"
	"slices"

	"github.com/mulberryfork/mulberryfork/api"
)

// Config bounds the correction.
type Config struct {
	// Gain is the part of a deviation that one step corrects, up to 1.
	Gain float64
	// MaxFactor bounds the factors, in both directions.
	MaxFactor float64
}

// maxStep bounds the deviation that a single step believes, so that a short
// period without service does not throw a weight off.
const maxStep = 4

// Corrector is the state of one router. The control goroutine owns it.
type Corrector struct {
	config    Config
	upstreams map[string]*upstream
	factors   map[string]float64
}

// upstream is what the reports of one agent said since the last step.
type upstream struct {
	incarnation api.Incarnation
	total       map[string]uint64
	served      map[string]uint64
	reports     int
	held        map[string]int
}

// New returns a corrector that leaves all weights as they are.
func New(c Config) *Corrector {
	return &Corrector{config: c, upstreams: make(map[string]*upstream), factors: make(map[string]float64)}
}

// Report takes the load report of an agent. It may leave out members; the
// first total of a member only sets where its count begins.
func (c *Corrector) Report(l api.Load) {
	u, ok := c.upstreams[l.Upstream]
	if !ok {
		u = &upstream{incarnation: l.Incarnation, total: make(map[string]uint64)}
		u.reset()
		c.upstreams[l.Upstream] = u
	}
	if u.incarnation != l.Incarnation {
		u.incarnation = l.Incarnation
		clear(u.total)
	}
	for member, total := range l.Served {
		if before, known := u.total[member]; known && total > before {
			u.served[member] += total - before
		}
		u.total[member] = total
	}
	u.reports++
	for member, waiting := range l.Waiting {
		if waiting > 0 {
			u.held[member]++
		}
	}
}

func (u *upstream) reset() {
	u.served, u.held, u.reports = make(map[string]uint64), make(map[string]int), 0
}

// Forget drops an upstream that left.
func (c *Corrector) Forget(name string) { delete(c.upstreams, name) }

// Step ends a period and adjusts the factors to the configured shares.
func (c *Corrector) Step(shares map[string]float64) {
	served, held := c.period()
	var names []string
	var cost, weight float64
	for name, share := range shares {
		if held[name] && share > 0 {
			names = append(names, name)
			weight += share
		}
	}
	slices.Sort(names)
	for _, name := range names {
		cost += float64(served[name])
	}
	c.relax(shares, held)
	if cost == 0 || len(names) < 2 {
		return
	}
	for _, name := range names {
		deviation := maxStep + 0.0
		if s := float64(served[name]); s > 0 {
			deviation = cost / weight * shares[name] / s
		}
		deviation = min(max(deviation, 1.0/maxStep), maxStep)
		c.factors[name] = c.Factor(name) * math.Pow(deviation, c.config.Gain)
	}
	c.normalise(names)
}

// period sums up the reports since the last step. A member counts as held
// back if at some upstream all reports found it waiting.
func (c *Corrector) period() (served map[string]uint64, held map[string]bool) {
	served, held = make(map[string]uint64), make(map[string]bool)
	for _, u := range c.upstreams {
		for name, cost := range u.served {
			served[name] += cost
		}
		for name, reports := range u.held {
			held[name] = held[name] || reports == u.reports
		}
		u.reset()
	}
	return served, held
}

// relax moves the factors of members that are not held back towards 1, so that
// a later burst does not start with an old advantage.
func (c *Corrector) relax(shares map[string]float64, held map[string]bool) {
	for name, f := range c.factors {
		if _, ok := shares[name]; !ok {
			delete(c.factors, name)
		} else if !held[name] {
			c.factors[name] = math.Pow(f, 1-c.config.Gain)
		}
	}
}

// normalise keeps the median at 1, as only the ratio of weights matters, and
// applies the bound.
func (c *Corrector) normalise(names []string) {
	values := make([]float64, 0, len(names))
	for _, name := range names {
		values = append(values, c.factors[name])
	}
	slices.Sort(values)
	median := values[(len(values)-1)/2]
	for _, name := range names {
		f := c.factors[name] / median
		c.factors[name] = min(max(f, 1/c.config.MaxFactor), c.config.MaxFactor)
	}
}

// Factor returns what to multiply a member's share by.
func (c *Corrector) Factor(member string) float64 {
	if f, ok := c.factors[member]; ok {
		return f
	}
	return 1
}
