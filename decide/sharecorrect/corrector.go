// Package sharecorrect corrects the weights of guild members for fairness over a
// whole pool, since fair queueing at each agent does not ensure it.
//
// Agents report the cost served and the queued work of each member. If a member
// with a backlog received less service relative to its share than the others,
// because only few upstreams can serve its work, it gets a higher weight.
package sharecorrect

import (
	"math"
	"slices"

	"github.com/mulberryfork/mulberryfork/api"
)

// Config sets the speed and the limits of the correction.
type Config struct {
	// Gain is the exponent applied in one step to the deviation of a member from
	// its share of the service, from 0 for no correction to 1 for a full one.
	Gain float64
	// MaxFactor is the largest factor. The smallest one is 1/MaxFactor.
	MaxFactor float64
}

// maxDeviation limits the deviation used in one step, so that a short period
// without service does not change a weight too far. A deviation is the ratio of the
// service that a member is entitled to, to the service that it received.
const maxDeviation = 4

// Corrector computes the weight factors of one router. Only the control goroutine
// uses it.
type Corrector struct {
	config    Config
	upstreams map[string]*upstream
	// factors are the factors by member, 1 for a member that is missing.
	factors map[string]float64
}

// upstream sums up the reports of one agent since the last step.
type upstream struct {
	incarnation api.Incarnation
	// lastTotals holds the cost served since the agent's start, as last reported,
	// and served the cost served since the last step, both by member.
	lastTotals  map[string]uint64
	served      map[string]uint64
	reportCount int
	// waitingReports counts the reports with queued work of each member.
	waitingReports map[string]int
}

// New returns a corrector whose factors are all 1.
func New(c Config) *Corrector {
	return &Corrector{config: c, upstreams: make(map[string]*upstream), factors: make(map[string]float64)}
}

// Report adds the load report of an agent, which may omit members. The first total
// of a member after the agent's start is only the baseline for the next one.
func (c *Corrector) Report(l api.Load) {
	u, ok := c.upstreams[l.Upstream]
	if !ok {
		u = &upstream{incarnation: l.Incarnation, lastTotals: make(map[string]uint64)}
		u.reset()
		c.upstreams[l.Upstream] = u
	}
	if u.incarnation != l.Incarnation {
		u.incarnation = l.Incarnation
		clear(u.lastTotals)
	}
	for member, total := range l.Served {
		if previous, known := u.lastTotals[member]; known && total > previous {
			u.served[member] += total - previous
		}
		u.lastTotals[member] = total
	}
	u.reportCount++
	for member, waiting := range l.Waiting {
		if waiting > 0 {
			u.waitingReports[member]++
		}
	}
}

func (u *upstream) reset() {
	u.served, u.waitingReports, u.reportCount = make(map[string]uint64), make(map[string]int), 0
}

// Forget removes an upstream and its reports.
func (c *Corrector) Forget(name string) { delete(c.upstreams, name) }

// Step ends a period and adjusts the factors of backlogged members according to
// their configured shares. The factors of the other members decay towards 1.
func (c *Corrector) Step(shares map[string]float64) {
	served, backlogged := c.sumPeriod()
	var names []string
	var totalServed, totalShare float64
	for name, share := range shares {
		if backlogged[name] && share > 0 {
			names = append(names, name)
			totalShare += share
		}
	}
	slices.Sort(names)
	for _, name := range names {
		totalServed += float64(served[name])
	}
	c.decayFactors(shares, backlogged)
	if totalServed == 0 || len(names) < 2 {
		return
	}
	for _, name := range names {
		deviation := maxDeviation + 0.0
		if s := float64(served[name]); s > 0 {
			deviation = totalServed / totalShare * shares[name] / s
		}
		deviation = min(max(deviation, 1.0/maxDeviation), maxDeviation)
		c.factors[name] = c.Factor(name) * math.Pow(deviation, c.config.Gain)
	}
	c.normalizeFactors(names)
}

// sumPeriod sums up the reports since the last step and starts a new period. A
// member is backlogged if at least one upstream reported queued work of the member
// in every report of the period.
func (c *Corrector) sumPeriod() (served map[string]uint64, backlogged map[string]bool) {
	served, backlogged = make(map[string]uint64), make(map[string]bool)
	for _, u := range c.upstreams {
		for name, cost := range u.served {
			served[name] += cost
		}
		for name, reports := range u.waitingReports {
			backlogged[name] = backlogged[name] || reports == u.reportCount
		}
		u.reset()
	}
	return served, backlogged
}

// decayFactors moves the factors of members without a backlog towards 1, so that a
// later burst does not start with an outdated factor. It removes members that have
// no share anymore.
func (c *Corrector) decayFactors(shares map[string]float64, backlogged map[string]bool) {
	for name, f := range c.factors {
		if _, ok := shares[name]; !ok {
			delete(c.factors, name)
		} else if !backlogged[name] {
			c.factors[name] = math.Pow(f, 1-c.config.Gain)
		}
	}
}

// normalizeFactors scales the factors to a median of 1, since only the ratio of
// weights matters, and applies the limits.
func (c *Corrector) normalizeFactors(names []string) {
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

// Factor returns the factor by which to multiply a member's share.
func (c *Corrector) Factor(member string) float64 {
	if f, ok := c.factors[member]; ok {
		return f
	}
	return 1
}
