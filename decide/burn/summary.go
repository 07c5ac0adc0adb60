package burn

import (
	"math"
	"slices"
	"time"
)

const (
	// wholeCoverage is the observed part of a window from which on it counts
	// as known.
	wholeCoverage = 0.9
	// reachableBurn bounds thresholds to a part of the highest burn rate that
	// an objective can have, which a low target keeps below the usual ones.
	reachableBurn = 0.8
	// decimals is the precision of rates in a report.
	decimals = 1e4
)

// Summary is the report over several routers.
type Summary struct {
	Routers    []Router           `json:"routers"`
	Objectives []ObjectiveSummary `json:"objectives"`
	// Times are the distributions per guild member.
	Times []Times `json:"times"`
	// UnreadTimes says which distributions are not included.
	UnreadTimes []string `json:"unread_times,omitempty"`
}

// Router is one router that was asked.
type Router struct {
	Address  string `json:"address"`
	Read     bool   `json:"read"`
	Node     string `json:"node,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Status is the verdict on an objective.
type Status string

// Verdicts, worst first. Incomplete means that nothing known is wrong, but too
// much of the last hour is missing to call it good.
const (
	StatusPage       Status = "page"
	StatusTicket     Status = "ticket"
	StatusNoData     Status = "no data"
	StatusIncomplete Status = "incomplete"
	StatusNoRequests Status = "no requests"
	StatusOK         Status = "ok"
)

// ObjectiveSummary is the report on one objective.
type ObjectiveSummary struct {
	Name       string     `json:"name"`
	Definition Definition `json:"definition"`
	Status     Status     `json:"status"`
	// BudgetLeft is the part of the error budget of the longest window that is
	// left, below zero if it is overspent, and nil without events.
	BudgetLeft *float64        `json:"budget_left"`
	Windows    []WindowSummary `json:"windows"`
	Blame      []Blame         `json:"blame"`
	// Missing are the routers whose counts are not included.
	Missing []Missing `json:"missing,omitempty"`
	// Series are the buckets of each tier, for plots.
	Series []Series `json:"-"`
}

// WindowSummary is the burn over one window.
type WindowSummary struct {
	Name  string `json:"name"`
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
	// Lost is the number of requests that ended without being counted.
	Lost uint64 `json:"lost"`
	// Coverage is the part of the routers' time in the window that was observed.
	Coverage float64 `json:"coverage"`
	// Burn is the part of bad events over the part that the target allows, nil
	// without events.
	Burn      *float64 `json:"burn"`
	Threshold float64  `json:"threshold"`
}

// Burning reports whether the burn rate has reached the threshold.
func (w WindowSummary) Burning() bool { return w.Burn != nil && *w.Burn >= w.Threshold }

// Series holds one tier, newest bucket first.
type Series struct {
	Width  time.Duration
	Points []Point
}

// Point is one bucket of a plot.
type Point struct {
	Burn     *float64
	Coverage float64
}

// Blame splits the bad events of six hours by one dimension.
type Blame struct {
	Dimension Dimension `json:"dimension"`
	Names     []Blamed  `json:"names"`
}

// Blamed is one name's part in the bad events.
type Blamed struct {
	Bad
	// Share is the part of the bad events of six hours.
	Share float64 `json:"share"`
}

// Missing is a router whose counts are not included, and why.
type Missing struct {
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

// conclude derives the verdict and the budget from the windows.
func (o *ObjectiveSummary) conclude() {
	if burn := o.Windows[len(o.Windows)-1].Burn; burn != nil {
		left := round(1 - *burn)
		o.BudgetLeft = &left
	}
	o.Status = o.verdict()
}

// verdict asks for two windows at once: the long one shows that the loss
// matters, the short one that it still goes on.
func (o *ObjectiveSummary) verdict() Status {
	short, hour, six, days := o.Windows[0], o.Windows[1], o.Windows[2], o.Windows[3]
	switch {
	case hour.Burning() && short.Burning(),
		six.Burning() && hour.Burn != nil && *hour.Burn >= six.Threshold:
		return StatusPage
	case days.Burning() && six.Burn != nil && *six.Burn >= days.Threshold:
		return StatusTicket
	case hour.Coverage == 0:
		return StatusNoData
	case hour.Coverage < wholeCoverage:
		return StatusIncomplete
	case !slices.ContainsFunc(o.Windows, func(w WindowSummary) bool { return w.Total > 0 }):
		return StatusNoRequests
	}
	return StatusOK
}

// burn returns the part of bad events over the part that the target allows.
func (d Definition) burn(b Bucket) *float64 {
	if b.Total == 0 {
		return nil
	}
	rate := round(float64(b.Total-b.Good) / float64(b.Total) / (1 - d.Target))
	return &rate
}

// highest returns the highest threshold that makes sense for the target.
func (d Definition) highest() float64 { return round(reachableBurn / (1 - d.Target)) }

func portion(part, whole time.Duration) float64 {
	if whole <= 0 {
		return 0
	}
	return round(min(float64(part)/float64(whole), 1))
}

func round(v float64) float64 { return math.Round(v*decimals) / decimals }
