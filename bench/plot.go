package bench

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// NoPlotError reports that an experiment has no plot.
type NoPlotError struct{}

func (*NoPlotError) Error() string { return "this experiment has no plot" }

// WritePlot writes the plot of a result to a file, whose extension selects the
// format. It returns a *NoPlotError if the result has no plot.
func WritePlot(path string, r Result) error {
	if r.Plot == nil {
		return &NoPlotError{}
	}
	p := plot.New()
	p.Title.Text = r.Plot.Title
	p.X.Label.Text = r.Plot.XLabel
	p.Y.Label.Text = r.Plot.YLabel
	p.Add(plotter.NewGrid())
	for i, s := range r.Plot.Series {
		points := make(plotter.XYs, len(s.X))
		for j := range s.X {
			points[j] = plotter.XY{X: s.X[j], Y: s.Y[j]}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "create plot line "+s.Name)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	p.Legend.Top = true
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "write plot")
}
