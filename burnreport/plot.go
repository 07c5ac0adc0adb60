package burnreport

import (
	"fmt"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/burn"
)

// Sizes of plots in pixels.
const (
	plotWidth   = 360.0
	plotHeight  = 90.0
	barHeight   = 18.0
	barSpace    = 6.0
	labelWidth  = 44.0
	valueWidth  = 96.0
	shareWidth  = 100.0
	barGap      = 1.0
	leastHeight = 1.0
	// headroom is how far a scale reaches beyond its threshold.
	headroom = 1.25
)

// rect is a rectangle of a plot with its class and tooltip.
type rect struct {
	X, Y, W, H float64
	Class      string
	Tip        string
}

// timePlot shows the burn rate of each bucket, oldest at the left.
type timePlot struct {
	Title         string
	Width, Height float64
	Bars          []rect
	// ThresholdY is the height of the threshold line.
	ThresholdY float64
	Threshold  string
	Scale      string
}

// plotNames and plotWindows say what the tiers show, and the index of the
// window whose threshold applies.
var (
	plotNames   = []string{"last hour, by minute", "last 6 hours, by 10 minutes", "last 3 days, by 2 hours"}
	plotWindows = []int{1, 2, 3}
)

func timePlots(o burn.ObjectiveSummary) []timePlot {
	plots := make([]timePlot, 0, len(o.Series))
	for i, s := range o.Series {
		plots = append(plots, plotSeries(plotNames[i], s, o.Windows[plotWindows[i]].Threshold))
	}
	return plots
}

func plotSeries(title string, s burn.Series, threshold float64) timePlot {
	top := threshold * headroom
	for _, p := range s.Points {
		if p.Burn != nil {
			top = max(top, *p.Burn)
		}
	}
	plot := timePlot{
		Title:      title,
		Width:      plotWidth,
		Height:     plotHeight,
		ThresholdY: plotHeight - pixels(threshold, top, plotHeight),
		Threshold:  number(threshold),
		Scale:      fmt.Sprintf("%.1f", top),
	}
	step := plotWidth / float64(len(s.Points))
	for i, p := range s.Points {
		x := fixed(plotWidth - step*float64(i+1))
		plot.Bars = append(plot.Bars, pointRects(p, x, fixed(step-barGap), top, threshold, ago(s.Width, i))...)
	}
	return plot
}

// pointRects draws what is missing of a bucket over its full height, and its
// burn rate as a bar.
func pointRects(p burn.Point, x, width, top, threshold float64, when string) []rect {
	var out []rect
	if missing := 1 - p.Coverage; missing >= 1-shownCoverage {
		out = append(out, rect{X: x, Y: 0, W: width, H: fixed(plotHeight * missing), Class: "gap",
			Tip: fmt.Sprintf("%s: %s of the data is missing", when, ratio(missing))})
	}
	if p.Burn == nil {
		return out
	}
	height := max(pixels(*p.Burn, top, plotHeight), leastHeight)
	class := "good"
	if *p.Burn >= threshold {
		class = "bad"
	}
	return append(out, rect{X: x, Y: fixed(plotHeight - height), W: width, H: height, Class: class,
		Tip: fmt.Sprintf("%s: burn %.2f", when, *p.Burn)})
}

func ago(width time.Duration, i int) string {
	if i == 0 {
		return "now"
	}
	d := width * time.Duration(i)
	if d < time.Hour {
		return fmt.Sprintf("%d min ago", d/time.Minute)
	}
	return fmt.Sprintf("%d h %d min ago", d/time.Hour, d%time.Hour/time.Minute)
}

// windowPlot shows the burn rate of each window against its threshold.
type windowPlot struct {
	Width, Height float64
	LabelWidth    float64
	Rows          []windowRow
}

type windowRow struct {
	Name       string
	Bar        rect
	ThresholdX float64
	TextX      float64
	TextY      float64
	Text       string
	Class      string
}

// plotWindowRates scales each bar to its own threshold, which sits at the same
// place in all rows, so that one look shows which are beyond it.
func plotWindowRates(o burn.ObjectiveSummary) windowPlot {
	const length = plotWidth - labelWidth - valueWidth
	plot := windowPlot{Width: plotWidth, LabelWidth: labelWidth}
	for i, w := range o.Windows {
		y := float64(i) * (barHeight + barSpace)
		row := windowRow{
			Name:       w.Name,
			ThresholdX: fixed(labelWidth + length/headroom),
			TextX:      plotWidth - valueWidth + barSpace,
			TextY:      y + barHeight - barSpace,
			Text:       cell(w),
			Class:      "good",
		}
		if w.Burning() {
			row.Class = "bad"
		}
		row.Bar = rect{X: labelWidth, Y: y, H: barHeight, Class: row.Class,
			Tip: fmt.Sprintf("%s: burn %s, threshold %s, %d of %d events bad, %s known",
				w.Name, cell(w), number(w.Threshold), w.Total-w.Good, w.Total, ratio(w.Coverage))}
		if w.Burn != nil {
			row.Bar.W = pixels(min(*w.Burn, w.Threshold*headroom), w.Threshold*headroom, length)
		}
		plot.Rows = append(plot.Rows, row)
	}
	plot.Height = float64(len(plot.Rows)) * (barHeight + barSpace)
	return plot
}

// Bottom is the lower end of the threshold mark.
func (r windowRow) Bottom() float64 { return r.Bar.Y + r.Bar.H }

func pixels(value, top, length float64) float64 {
	if top <= 0 {
		return 0
	}
	return fixed(value / top * length)
}

// fixed rounds to a tenth of a pixel.
func fixed(v float64) float64 { return float64(int64(v*10+0.5)) / 10 }
