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
	// maxNames and maxTimeRows bound the rows of the table and the page. JSON has all
	// of them.
	maxNames    = 5
	maxTimeRows = 10
	noValue     = "-"
	percent     = 100
	// fullCoverage is the coverage below which a burn rate is shown with its coverage.
	fullCoverage = 0.995
)

// WriteJSON writes the complete summary as JSON.
func WriteJSON(w io.Writer, s burn.Summary) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(s)
}

// WriteTable writes the report as a table for a terminal.
func WriteTable(out io.Writer, s burn.Summary) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	writeRouters(w, s)
	writeObjectives(w, s)
	writeBreakdowns(w, s)
	writeTimes(w, s)
	return w.Flush()
}

func writeRouters(w io.Writer, s burn.Summary) {
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

func writeObjectives(w io.Writer, s burn.Summary) {
	fmt.Fprint(w, "\nobjective\tdefinition\tstatus\tbudget left")
	for _, window := range burn.Windows() {
		fmt.Fprintf(w, "\tburn %s", window.Name)
	}
	fmt.Fprintln(w)
	for _, o := range sortBySeverity(s.Objectives) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s", o.Name, formatDefinition(o.Definition), o.Status, formatBudget(o))
		for _, window := range o.Windows {
			fmt.Fprintf(w, "\t%s", formatBurn(window))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\n! at or above the threshold; (n%) data coverage of the window; - no events")
	for _, o := range sortBySeverity(s.Objectives) {
		for _, m := range o.Missing {
			if m.Reason != "" && !isUnread(s, m.Address) {
				fmt.Fprintf(w, "missing in %s: %s: %s\n", o.Name, m.Address, m.Reason)
			}
		}
		if lost := o.Windows[len(o.Windows)-1].Lost; lost > 0 {
			fmt.Fprintf(w, "not counted in %s: %d requests in 3d\n", o.Name, lost)
		}
	}
}

func isUnread(s burn.Summary, address string) bool {
	return slices.ContainsFunc(s.Routers, func(r burn.Router) bool { return r.Address == address && !r.Read })
}

func writeBreakdowns(w io.Writer, s burn.Summary) {
	header := "\nbad events in 6h\tdimension\tname\t1h\t6h\tshare\n"
	for _, o := range sortBySeverity(s.Objectives) {
		for _, b := range o.Breakdowns {
			for _, n := range b.Names[:min(len(b.Names), maxNames)] {
				fmt.Fprint(w, header)
				header = ""
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", o.Name, b.Dimension, n.Name, n.Hour, n.SixHours, formatPercent(n.Share))
			}
		}
	}
}

func writeTimes(w io.Writer, s burn.Summary) {
	if len(s.Times) == 0 {
		return
	}
	fmt.Fprint(w, "\nmetric since start\tmember\tcount\tp50\tp95\tp99\tp99.9\tmax\n")
	for _, t := range slowest(s.Times) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", t.Metric, t.Member, t.Count,
			formatMicroseconds(t.P50Us), formatMicroseconds(t.P95Us), formatMicroseconds(t.P99Us), formatMicroseconds(t.P999Us), formatMicroseconds(t.MaxUs))
	}
}

// slowest returns the members with the highest p99 of each metric.
func slowest(all []burn.TimeSummary) []burn.TimeSummary {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b burn.TimeSummary) int {
		return cmp.Or(cmp.Compare(a.Metric, b.Metric), cmp.Compare(b.P99Us, a.P99Us))
	})
	shown := make(map[string]int)
	return slices.DeleteFunc(sorted, func(t burn.TimeSummary) bool {
		shown[t.Metric]++
		return shown[t.Metric] > maxTimeRows
	})
}

var severityOrder = []burn.Status{burn.StatusPage, burn.StatusTicket, burn.StatusNoData, burn.StatusIncomplete, burn.StatusNoRequests, burn.StatusOK}

func sortBySeverity(all []burn.ObjectiveSummary) []burn.ObjectiveSummary {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b burn.ObjectiveSummary) int {
		return cmp.Compare(slices.Index(severityOrder, a.Status), slices.Index(severityOrder, b.Status))
	})
	return sorted
}

// formatDefinition describes an objective in one line.
func formatDefinition(d burn.Definition) string {
	parts := []string{formatNumber(d.Target*percent) + "% " + string(d.Kind)}
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

func formatBudget(o burn.ObjectiveSummary) string {
	if o.BudgetLeft == nil {
		return noValue
	}
	return fmt.Sprintf("%.0f%%", *o.BudgetLeft*percent) + formatCoverage(o.Windows[len(o.Windows)-1])
}

func formatBurn(w burn.WindowSummary) string {
	text := noValue
	if w.Burn != nil {
		text = fmt.Sprintf("%.2f", *w.Burn)
	}
	if w.Burning() {
		text += "!"
	}
	return text + formatCoverage(w)
}

// formatCoverage returns the data coverage of a window, or nothing if it is full.
func formatCoverage(w burn.WindowSummary) string {
	if w.Coverage >= fullCoverage {
		return ""
	}
	return " (" + formatPercent(w.Coverage) + ")"
}

func formatPercent(v float64) string { return fmt.Sprintf("%.0f%%", v*percent) }

func formatNumber(v float64) string {
	return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.4f", v), "0"), ".")
}

func formatMicroseconds(us int64) string { return (time.Duration(us) * time.Microsecond).String() }

// kindDescriptions describe the kinds of objective on the page.
var kindDescriptions = map[api.ObjectiveKind]string{
	api.ObjectiveAvailability: "requests without a failure caused by the pool",
	api.ObjectiveAnswered:     "accepted requests with a complete response",
	api.ObjectiveFirstToken:   "streams whose first token was in time",
	api.ObjectiveTokenGap:     "gaps between tokens within the threshold",
}
