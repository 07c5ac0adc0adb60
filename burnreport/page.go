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
	"ratio":  ratio,
	"micros": micros,
}).Parse(pageText))

// page is what the template shows.
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

// card is one objective.
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

// WritePage writes one page of HTML that needs no other resource.
func WritePage(w io.Writer, s burn.Summary, made time.Time) error {
	p := page{
		Made:    made.UTC().Format(time.RFC3339),
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
	for _, o := range worstFirst(s.Objectives) {
		p.Objectives = append(p.Objectives, cardOf(o))
	}
	if len(p.Objectives) > 0 {
		p.Status = p.Objectives[0].Status
	}
	p.Verdict = verdicts[p.Status]
	return pageTemplate.Execute(w, p)
}

// verdicts word the worst status for the head of the page.
var verdicts = map[burn.Status]string{
	burn.StatusPage:       "Act now: an error budget burns fast.",
	burn.StatusTicket:     "Look into it today: an error budget burns slowly.",
	burn.StatusNoData:     "Nothing is known of the last hour.",
	burn.StatusIncomplete: "No known fault, but part of the last hour is missing.",
	burn.StatusNoRequests: "No requests.",
	burn.StatusOK:         "All objectives are met.",
}

func cardOf(o burn.ObjectiveSummary) card {
	c := card{
		Name:    o.Name,
		Asks:    asks(o.Definition),
		Kind:    kindTitles[o.Definition.Kind],
		Status:  o.Status,
		Class:   classOf(o.Status),
		Budget:  budget(o),
		Windows: plotWindowRates(o),
		Plots:   timePlots(o),
		Missing: o.Missing,
		Lost:    o.Windows[len(o.Windows)-1].Lost,
	}
	for _, w := range o.Windows {
		c.Cells = append(c.Cells, burnCell{Text: cell(w), Bad: w.Burning()})
	}
	for _, b := range o.Blame {
		b.Names = b.Names[:min(len(b.Names), shownNames)]
		c.Blame = append(c.Blame, b)
	}
	return c
}

func classOf(s burn.Status) string { return strings.ReplaceAll(string(s), " ", "-") }

// Class names the style of the page's verdict.
func (p page) Class() string { return classOf(p.Status) }

// BlameWidth is the length of the bar that shows a share.
func (c card) BlameWidth(share float64) float64 { return pixels(share, 1, shareWidth) }

// BlameText is where the share is written.
func (c card) BlameText(share float64) float64 { return c.BlameWidth(share) + barSpace }
