package burnreport

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/burn"
)

const (
	// shownNames and shownTimes bound what people are shown; JSON has all.
	shownNames = 5
	shownTimes = 10
	unknown    = "-"
	percent    = 100
	// shownCoverage is the coverage below which a burn rate is shown with it.
	shownCoverage = 0.995
)

// WriteJSON writes the whole summary.
func WriteJSON(w io.Writer, s burn.Summary) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(s)
}

// WriteTable writes the report for a terminal.
func WriteTable(out io.Writer, s burn.Summary) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	tableRouters(w, s)
	tableObjectives(w, s)
	tableBlame(w, s)
	tableTimes(w, s)
	return w.Flush()
}

func tableRouters(w io.Writer, s burn.Summary) {
	read := 0
	for _, r := range s.Routers {
		if r.Read {
			read++
		}
	}
	fmt.Fprintf(w, "routers read: %d of %d\n", read, len(s.Routers))
	for _, r := range s.Routers {
		if !r.Read {
			fmt.Fprintf(w, "missing: %s: %s\n", r.Address, r.Reason)
		}
	}
	for _, reason := range s.UnreadTimes {
		fmt.Fprintf(w, "missing: %s\n", reason)
	}
}

func tableObjectives(w io.Writer, s burn.Summary) {
	fmt.Fprint(w, "\nobjective\tasks\tstatus\tbudget left")
	for _, window := range burn.Windows() {
		fmt.Fprintf(w, "\tburn %s", window.Name)
	}
	fmt.Fprintln(w)
	for _, o := range worstFirst(s.Objectives) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s", o.Name, asks(o.Definition), o.Status, budget(o))
		for _, window := range o.Windows {
			fmt.Fprintf(w, "\t%s", cell(window))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\n! at or above the threshold; (n%) the part of the window that is known; - no events")
	for _, o := range worstFirst(s.Objectives) {
		for _, m := range o.Missing {
			if m.Reason != "" && !unread(s, m.Address) {
				fmt.Fprintf(w, "missing in %s: %s: %s\n", o.Name, m.Address, m.Reason)
			}
		}
		if lost := o.Windows[len(o.Windows)-1].Lost; lost > 0 {
			fmt.Fprintf(w, "not counted in %s: %d requests in 3d\n", o.Name, lost)
		}
	}
}

func unread(s burn.Summary, address string) bool {
	return slices.ContainsFunc(s.Routers, func(r burn.Router) bool { return r.Address == address && !r.Read })
}

func tableBlame(w io.Writer, s burn.Summary) {
	header := "\nbad events of 6h\tby\tname\t1h\t6h\tshare\n"
	for _, o := range worstFirst(s.Objectives) {
		for _, b := range o.Blame {
			for _, n := range b.Names[:min(len(b.Names), shownNames)] {
				fmt.Fprint(w, header)
				header = ""
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", o.Name, b.Dimension, n.Name, n.Hour, n.SixHours, ratio(n.Share))
			}
		}
	}
}

func tableTimes(w io.Writer, s burn.Summary) {
	if len(s.Times) == 0 {
		return
	}
	fmt.Fprint(w, "\ntime since start\tmember\tcount\tp50\tp95\tp99\tp99.9\tmax\n")
	for _, t := range slowest(s.Times) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", t.Metric, t.Member, t.Count,
			micros(t.P50Us), micros(t.P95Us), micros(t.P99Us), micros(t.P999Us), micros(t.MaxUs))
	}
}

// slowest returns, for each metric, the members with the longest times.
func slowest(all []burn.TimeSummary) []burn.TimeSummary {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b burn.TimeSummary) int {
		return cmp.Or(cmp.Compare(a.Metric, b.Metric), cmp.Compare(b.P99Us, a.P99Us))
	})
	shown := make(map[string]int)
	return slices.DeleteFunc(sorted, func(t burn.TimeSummary) bool {
		shown[t.Metric]++
		return shown[t.Metric] > shownTimes
	})
}

var severity = []burn.Status{burn.StatusPage, burn.StatusTicket, burn.StatusNoData, burn.StatusIncomplete, burn.StatusNoRequests, burn.StatusOK}

func worstFirst(all []burn.ObjectiveSummary) []burn.ObjectiveSummary {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b burn.ObjectiveSummary) int {
		return cmp.Compare(slices.Index(severity, a.Status), slices.Index(severity, b.Status))
	})
	return sorted
}

// asks words a definition.
func asks(d burn.Definition) string {
	parts := []string{number(d.Target*percent) + "% " + string(d.Kind)}
	if d.Threshold > 0 {
		parts = append(parts, "<= "+d.Threshold.String())
	}
	for _, scope := range [][2]string{{"member", d.Member}, {"model", d.Model}, {"service", d.Service}} {
		if scope[1] != "" {
			parts = append(parts, scope[0]+" "+scope[1])
		}
	}
	return strings.Join(parts, ", ")
}

func budget(o burn.ObjectiveSummary) string {
	if o.BudgetLeft == nil {
		return unknown
	}
	return fmt.Sprintf("%.0f%%", *o.BudgetLeft*percent) + known(o.Windows[len(o.Windows)-1])
}

func cell(w burn.WindowSummary) string {
	text := unknown
	if w.Burn != nil {
		text = fmt.Sprintf("%.2f", *w.Burn)
	}
	if w.Burning() {
		text += "!"
	}
	return text + known(w)
}

// known says which part of a window is known, unless all of it is.
func known(w burn.WindowSummary) string {
	if w.Coverage >= shownCoverage {
		return ""
	}
	return " (" + ratio(w.Coverage) + ")"
}

func ratio(v float64) string { return fmt.Sprintf("%.0f%%", v*percent) }

func number(v float64) string {
	return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.4f", v), "0"), ".")
}

func micros(us int64) string { return (time.Duration(us) * time.Microsecond).String() }

// kindTitles word the kinds of objective for a page.
var kindTitles = map[api.ObjectiveKind]string{
	api.ObjectiveAvailability: "requests answered without a fault of the pool",
	api.ObjectiveAnswered:     "accepted requests with a whole answer",
	api.ObjectiveFirstToken:   "streams whose first token came in time",
	api.ObjectiveTokenGap:     "times between tokens within the bound",
}
