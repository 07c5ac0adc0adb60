package burnreport

import (
	"fmt"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/burn"
)

// Sizes of plots in pixels.
const (
	plotWidth     = 360.0
	plotHeight    = 90.0
	barHeight     = 18.0
	rowGap        = 6.0
	labelWidth    = 44.0
	valueWidth    = 96.0
	shareBarWidth = 100.0
	barGap        = 1.0
	minBarHeight  = 1.0
	// headroom is the ratio of the top of a scale to the threshold. The scale of a
	// time plot is extended to a higher burn rate.
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
	// ThresholdY is the y coordinate of the threshold line.
	ThresholdY float64
	Threshold  string
	Scale      string
}

// tierTitles holds the title of each tier of the series. tierWindows holds, for each
// tier, the index in ObjectiveSummary.Windows of the window whose threshold it shows.
var (
	tierTitles  = []string{"last hour, by minute", "last 6 hours, by 10 minutes", "last 3 days, by 2 hours"}
	tierWindows = []int{1, 2, 3}
)

func timePlots(o burn.ObjectiveSummary) []timePlot {
	plots := make([]timePlot, 0, len(o.Series))
	for i, s := range o.Series {
		plots = append(plots, plotSeries(tierTitles[i], s, o.Windows[tierWindows[i]].Threshold))
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
		ThresholdY: plotHeight - scaleToPixels(threshold, top, plotHeight),
		Threshold:  formatNumber(threshold),
		Scale:      fmt.Sprintf("%.1f", top),
	}
	step := plotWidth / float64(len(s.Points))
	for i, p := range s.Points {
		x := roundToTenth(plotWidth - step*float64(i+1))
		plot.Bars = append(plot.Bars, bucketRects(p, x, roundToTenth(step-barGap), top, threshold, formatAge(s.Width, i))...)
	}
	return plot
}

// bucketRects returns a hatched area for the missing data of a bucket and a bar for
// its burn rate.
func bucketRects(p burn.Point, x, width, top, threshold float64, age string) []rect {
	var out []rect
	if missing := 1 - p.Coverage; missing >= 1-fullCoverage {
		out = append(out, rect{X: x, Y: 0, W: width, H: roundToTenth(plotHeight * missing), Class: "gap",
			Tip: fmt.Sprintf("%s: %s of the data is missing", age, formatPercent(missing))})
	}
	if p.Burn == nil {
		return out
	}
	height := max(scaleToPixels(*p.Burn, top, plotHeight), minBarHeight)
	class := "good"
	if *p.Burn >= threshold {
		class = "bad"
	}
	return append(out, rect{X: x, Y: roundToTenth(plotHeight - height), W: width, H: height, Class: class,
		Tip: fmt.Sprintf("%s: burn %.2f", age, *p.Burn)})
}

func formatAge(width time.Duration, i int) string {
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

// plotWindowRates scales each bar to the threshold of its window. The threshold marks
// thus align in all rows, and the bars beyond them stand out.
func plotWindowRates(o burn.ObjectiveSummary) windowPlot {
	const length = plotWidth - labelWidth - valueWidth
	plot := windowPlot{Width: plotWidth, LabelWidth: labelWidth}
	for i, w := range o.Windows {
		y := float64(i) * (barHeight + rowGap)
		row := windowRow{
			Name:       w.Name,
			ThresholdX: roundToTenth(labelWidth + length/headroom),
			TextX:      plotWidth - valueWidth + rowGap,
			TextY:      y + barHeight - rowGap,
			Text:       formatBurn(w),
			Class:      "good",
		}
		if w.Burning() {
			row.Class = "bad"
		}
		row.Bar = rect{X: labelWidth, Y: y, H: barHeight, Class: row.Class,
			Tip: fmt.Sprintf("%s: burn %s, threshold %s, %d of %d events bad, %s known",
				w.Name, formatBurn(w), formatNumber(w.Threshold), w.Total-w.Good, w.Total, formatPercent(w.Coverage))}
		if w.Burn != nil {
			row.Bar.W = scaleToPixels(min(*w.Burn, w.Threshold*headroom), w.Threshold*headroom, length)
		}
		plot.Rows = append(plot.Rows, row)
	}
	plot.Height = float64(len(plot.Rows)) * (barHeight + rowGap)
	return plot
}

// Bottom returns the y coordinate of the lower end of the threshold mark.
func (r windowRow) Bottom() float64 { return r.Bar.Y + r.Bar.H }

// scaleToPixels converts a value to pixels on a scale from 0 to top that is length
// pixels long.
func scaleToPixels(value, top, length float64) float64 {
	if top <= 0 {
		return 0
	}
	return roundToTenth(value / top * length)
}

// roundToTenth rounds to a tenth of a pixel.
func roundToTenth(v float64) float64 { return float64(int64(v*10+0.5)) / 10 }
