package burn

import (
	"math"
	"slices"
	"time"
)

const (
	// minCoverage is the coverage of the last hour below which an objective is
	// reported as incomplete.
	minCoverage = 0.9
	// maxThresholdFraction limits thresholds to this fraction of the burn rate at
	// which all events are bad. With a low target that rate is below the usual
	// thresholds.
	maxThresholdFraction = 0.8
	// roundingFactor rounds the rates in a report to four decimal places.
	roundingFactor = 1e4
)

// Summary is the report on all objectives over several routers.
type Summary struct {
	Routers    []Router           `json:"routers"`
	Objectives []ObjectiveSummary `json:"objectives"`
	// Times holds the time distributions per guild member.
	Times []TimeSummary `json:"times"`
	// UnreadTimes lists the histograms that could not be decoded.
	UnreadTimes []string `json:"unread_times,omitempty"`
}

// Router describes a router whose counts were requested.
type Router struct {
	Address  string `json:"address"`
	Read     bool   `json:"read"`
	Node     string `json:"node,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Status is the state of an objective.
type Status string

// States of an objective, worst first. Incomplete means that no burn rate is too
// high, but too much of the last hour is missing to report ok.
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
	// BudgetLeft is the remaining fraction of the error budget in the longest
	// window. It is negative if the budget is overspent and nil without events.
	BudgetLeft *float64        `json:"budget_left"`
	Windows    []WindowSummary `json:"windows"`
	Breakdowns []Breakdown     `json:"blame"`
	// Missing lists the routers whose counts are not included.
	Missing []Missing `json:"missing,omitempty"`
	// Series holds the buckets of each tier, for plots.
	Series []Series `json:"-"`
}

// WindowSummary holds the counts and the burn rate of one window.
type WindowSummary struct {
	Name  string `json:"name"`
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
	// Lost is the number of requests that ended without being counted.
	Lost uint64 `json:"lost"`
	// Coverage is the observed fraction of the window, over all routers.
	Coverage float64 `json:"coverage"`
	// Burn is the burn rate: the fraction of bad events divided by the fraction
	// that the target allows. It is nil without events.
	Burn      *float64 `json:"burn"`
	Threshold float64  `json:"threshold"`
}

// Burning reports whether the burn rate has reached the threshold.
func (w WindowSummary) Burning() bool { return w.Burn != nil && *w.Burn >= w.Threshold }

// Series holds the points of one tier, newest first.
type Series struct {
	Width  time.Duration
	Points []Point
}

// Point is one bucket of a plot.
type Point struct {
	Burn     *float64
	Coverage float64
}

// Breakdown groups the bad events of the last six hours by one dimension.
type Breakdown struct {
	Dimension Dimension  `json:"dimension"`
	Names     []BadShare `json:"names"`
}

// BadShare holds the bad events of one name and its share of all bad events.
type BadShare struct {
	BadCount
	// Share is the name's fraction of the bad events of the last six hours.
	Share float64 `json:"share"`
}

// Missing is a router whose counts are not included.
type Missing struct {
	Address string `json:"address"`
	Reason  string `json:"reason"`
}

// setStatus sets the status and the remaining budget from the windows.
func (o *ObjectiveSummary) setStatus() {
	if burn := o.Windows[len(o.Windows)-1].Burn; burn != nil {
		left := round(1 - *burn)
		o.BudgetLeft = &left
	}
	o.Status = o.status()
}

// status returns the status. An alert requires a high burn rate in two windows: in
// the longer one, so that it is significant, and in the shorter one, so that it
// still continues.
func (o *ObjectiveSummary) status() Status {
	short, hour, six, days := o.Windows[0], o.Windows[1], o.Windows[2], o.Windows[3]
	switch {
	case hour.Burning() && short.Burning(),
		six.Burning() && hour.Burn != nil && *hour.Burn >= six.Threshold:
		return StatusPage
	case days.Burning() && six.Burn != nil && *six.Burn >= days.Threshold:
		return StatusTicket
	case hour.Coverage == 0:
		return StatusNoData
	case hour.Coverage < minCoverage:
		return StatusIncomplete
	case !slices.ContainsFunc(o.Windows, func(w WindowSummary) bool { return w.Total > 0 }):
		return StatusNoRequests
	}
	return StatusOK
}

// burnRate returns the burn rate of a bucket, or nil without events.
func (d Definition) burnRate(b Bucket) *float64 {
	if b.Total == 0 {
		return nil
	}
	rate := round(float64(b.Total-b.Good) / float64(b.Total) / (1 - d.Target))
	return &rate
}

// maxThreshold returns the upper limit of burn rate thresholds for the target.
func (d Definition) maxThreshold() float64 { return round(maxThresholdFraction / (1 - d.Target)) }

// fraction returns the fraction that part is of total, at most 1.
func fraction(part, total time.Duration) float64 {
	if total <= 0 {
		return 0
	}
	return round(min(float64(part)/float64(total), 1))
}

func round(v float64) float64 { return math.Round(v*roundingFactor) / roundingFactor }
