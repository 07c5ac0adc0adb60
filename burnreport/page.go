package burnreport

import (
	_ "embed"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/burn"
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"ratio":  formatPercent,
	"micros": formatMicroseconds,
}).Parse(pageText))

// page is the input of the template. Made is the time of the report. Read is the
// number of routers read, Unread lists the histograms that could not be decoded.
type page struct {
	Made       string
	Status     burn.Status
	Verdict    string
	Read       int
	Routers    []burn.Router
	Unread     []string
	Objectives []card
	Times      []burn.TimeSummary
}

// card is the section of one objective. Asks is its definition, Blame holds the
// breakdowns of its bad events, Lost is the number of requests not counted.
type card struct {
	Name    string
	Asks    string
	Kind    string
	Status  burn.Status
	Class   string
	Budget  string
	Cells   []burnCell
	Windows windowPlot
	Plots   []timePlot
	Blame   []burn.Breakdown
	Missing []burn.Missing
	Lost    uint64
}

type burnCell struct {
	Text string
	Bad  bool
}

// WritePage writes the report as an HTML page without external resources.
func WritePage(w io.Writer, s burn.Summary, generatedAt time.Time) error {
	p := page{
		Made:    generatedAt.UTC().Format(time.RFC3339),
		Status:  burn.StatusNoData,
		Routers: s.Routers,
		Unread:  s.UnreadTimes,
		Times:   slowest(s.Times),
	}
	for _, r := range s.Routers {
		if r.Read {
			p.Read++
		}
	}
	for _, o := range sortBySeverity(s.Objectives) {
		p.Objectives = append(p.Objectives, newCard(o))
	}
	if len(p.Objectives) > 0 {
		p.Status = p.Objectives[0].Status
	}
	p.Verdict = statusMessages[p.Status]
	return pageTemplate.Execute(w, p)
}

// statusMessages describe, at the top of the page, the worst status of all
// objectives.
var statusMessages = map[burn.Status]string{
	burn.StatusPage:       "Act now: an error budget is burning fast.",
	burn.StatusTicket:     "Investigate today: an error budget is burning slowly.",
	burn.StatusNoData:     "No data for the last hour.",
	burn.StatusIncomplete: "No known fault, but data for part of the last hour is missing.",
	burn.StatusNoRequests: "No requests.",
	burn.StatusOK:         "All objectives are met.",
}

func newCard(o burn.ObjectiveSummary) card {
	c := card{
		Name:    o.Name,
		Asks:    formatDefinition(o.Definition),
		Kind:    kindDescriptions[o.Definition.Kind],
		Status:  o.Status,
		Class:   classOf(o.Status),
		Budget:  formatBudget(o),
		Windows: plotWindowRates(o),
		Plots:   timePlots(o),
		Missing: o.Missing,
		Lost:    o.Windows[len(o.Windows)-1].Lost,
	}
	for _, w := range o.Windows {
		c.Cells = append(c.Cells, burnCell{Text: formatBurn(w), Bad: w.Burning()})
	}
	for _, b := range o.Breakdowns {
		b.Names = b.Names[:min(len(b.Names), maxNames)]
		c.Blame = append(c.Blame, b)
	}
	return c
}

func classOf(s burn.Status) string { return strings.ReplaceAll(string(s), " ", "-") }

// Class returns the CSS class of the status message.
func (p page) Class() string { return classOf(p.Status) }

// BlameWidth returns the length of the bar for a share of the bad events.
func (c card) BlameWidth(share float64) float64 { return scaleToPixels(share, 1, shareBarWidth) }

// BlameText returns the x coordinate of the text beside that bar.
func (c card) BlameText(share float64) float64 { return c.BlameWidth(share) + rowGap }
