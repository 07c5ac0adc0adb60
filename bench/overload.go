package bench

import (
	"context"
	"fmt"
	"time"
)

func init() {
	register(Experiment{
		Name:     "overload",
		Question: "Do concurrency limits, early refusal and retry budgets keep goodput up at three times capacity, and does a retry storm settle after an outage?",
		Run:      runOverload,
	})
}

const (
	overloadFactor      = 3
	overloadWarmUp      = 20 * time.Second
	overloadEnd         = 80 * time.Second
	stormLoad           = 0.7
	stormOutageFrom     = 30 * time.Second
	stormOutageTo       = 60 * time.Second
	stormEnd            = 300 * time.Second
	overloadSubmissions = 3
	// stormSubmissions lets callers resend until well after the outage.
	stormSubmissions = 60
	// stormWindow is the window over which goodput and the number of waiting callers
	// are averaged.
	stormWindow = 10 * time.Second
	// stormCollapseRatio is the ratio of goodput to offered load below which a
	// window counts as a collapse.
	stormCollapseRatio = 0.5
	// stormFirstWindow is the time from the end of the outage to the first window. The
	// first responses complete within it.
	stormFirstWindow = 15 * time.Second
	// stormSettledRatio is the ratio of waiting callers to their mean before the
	// outage, at or below which the storm counts as settled.
	stormSettledRatio = 1.2
	// stormSettledPeriod is how long the ratio must stay at or below
	// stormSettledRatio.
	stormSettledPeriod = 30 * time.Second
)

func runOverload(ctx context.Context, p Params) (Result, error) {
	capacity := overloadCapacity(p.Seed)
	figures := []Figure{
		Plain("capacity_requests", capacity.requests, "requests/s"),
		Plain("capacity_work", capacity.work, "engines"),
	}
	for _, baseline := range []bool{false, true} {
		if err := ctx.Err(); err != nil {
			return Result{}, err
		}
		fmt.Fprintf(p.Progress, "overload: baseline %v\n", baseline)
		figures = append(figures, runSustainedOverload(p.Seed, capacity, baseline)...)
		figures = append(figures, runStorm(p.Seed, capacity, baseline)...)
	}
	return Result{Figures: figures}, nil
}

// labelBaseline adds a suffix to the figures of the baseline and removes their
// targets.
func labelBaseline(baseline bool, figures ...Figure) []Figure {
	if !baseline {
		return figures
	}
	for i := range figures {
		figures[i].Name += "_baseline"
		figures[i].Target = nil
	}
	return figures
}

func runSustainedOverload(seed uint64, capacity overloadRate, baseline bool) []Figure {
	o := newOverloadPool(seed, baseline, overloadFactor*capacity.requests, overloadSubmissions)
	o.events.Run(overloadEnd)
	var latency []float64
	for _, response := range o.responses {
		latency = append(latency, response.latency.Seconds())
	}
	return labelBaseline(baseline,
		Bounded("goodput_ratio", o.goodput(overloadWarmUp, overloadEnd)/capacity.work, "ratio", AtLeast, 0.9),
		Bounded("retry_amplification", o.amplification(), "ratio", AtMost, 1.2),
		Plain("answer_p95_s", quantile(latency, 0.95), "s"),
		Plain("refused_p95_ms", quantile(o.refused, 0.95), "ms"),
	)
}

// runStorm takes all links down from stormOutageFrom to stormOutageTo. Callers
// resend until they get a response, so the whole backlog arrives when the links come
// back.
func runStorm(seed uint64, capacity overloadRate, baseline bool) []Figure {
	o := newOverloadPool(seed, baseline, stormLoad*capacity.requests, stormSubmissions)
	o.events.After(stormOutageFrom, func() { o.setOutage(true) })
	o.events.After(stormOutageTo, func() { o.setOutage(false) })
	var waiting []float64
	o.events.Every(o.events.Now()+time.Second, time.Second, func() { waiting = append(waiting, float64(o.waiting)) })
	o.events.Run(stormEnd)
	settled := settledAt(waiting)
	lowest, collapses := capacity.work, 0
	for from := stormOutageTo + stormFirstWindow; from+stormWindow <= stormEnd; from += stormWindow {
		rate := o.goodput(from, from+stormWindow)
		lowest = min(lowest, rate)
		if rate < stormCollapseRatio*stormLoad*capacity.work {
			collapses++
		}
	}
	return labelBaseline(baseline,
		Plain("storm_settle_s", (settled-stormOutageTo).Seconds(), "s"),
		Bounded("storm_second_collapses", float64(collapses), "windows", Exactly, 0),
		Plain("storm_goodput_min_ratio", lowest/(stormLoad*capacity.work), "ratio"),
		Bounded("storm_amplification", o.amplification(), "ratio", AtMost, 1.2),
		Plain("storm_unanswered_part", float64(o.gaveUp)/float64(o.callers), "ratio"),
	)
}

// settledAt returns the time after the outage from which the number of waiting
// callers, averaged over stormWindow, stays within stormSettledRatio for
// stormSettledPeriod. It returns stormEnd if that never happens.
func settledAt(waiting []float64) time.Duration {
	mean := func(from, to time.Duration) float64 {
		sum := 0.0
		for _, w := range waiting[from/time.Second : to/time.Second] {
			sum += w
		}
		return sum / (to - from).Seconds()
	}
	bound := stormSettledRatio * mean(overloadWarmUp, stormOutageFrom)
	settled := stormOutageTo + stormWindow
	for at := settled; at < stormEnd; at += time.Second {
		if mean(at-stormWindow, at) > bound {
			settled = at + time.Second
		} else if at-settled >= stormSettledPeriod {
			return settled
		}
	}
	return stormEnd
}
