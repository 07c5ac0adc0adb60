// Package bench holds the experiments that measure mulberryfork. Each one runs
// its baseline in the same run and returns figures with their targets.
package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// Relation is the comparison between a figure and its target.
type Relation string

// Relations between a figure and its target.
const (
	AtMost  Relation = "<="
	AtLeast Relation = ">="
	Exactly Relation = "=="
)

// Target is the bound that the users require for a figure.
type Target struct {
	Relation Relation
	Value    float64
}

func (t Target) String() string { return fmt.Sprintf("%s %g", t.Relation, t.Value) }

func (t Target) met(value float64) bool {
	switch t.Relation {
	case AtMost:
		return value <= t.Value
	case AtLeast:
		return value >= t.Value
	default:
		return value == t.Value
	}
}

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Target is nil for a figure without one, such as a baseline.
	Target *Target
}

// Met reports whether the figure meets its target. It is true without a target.
func (f Figure) Met() bool { return f.Target == nil || f.Target.met(f.Value) }

// Plain returns a figure without a target.
func Plain(name string, value float64, unit string) Figure {
	return Figure{Name: name, Value: value, Unit: unit}
}

// Bounded returns a figure with a target.
func Bounded(name string, value float64, unit string, r Relation, target float64) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Target: &Target{Relation: r, Value: target}}
}

// Series is one curve of a plot.
type Series struct {
	Name string
	X, Y []float64
}

// Plot is the optional plot of an experiment.
type Plot struct {
	Title, XLabel, YLabel string
	Series                []Series
}

// Result holds the figures of one run of an experiment.
type Result struct {
	Figures []Figure
	// Plot is nil if the experiment has no plot.
	Plot *Plot
}

// Params are the inputs of one run.
type Params struct {
	Seed uint64
	// Progress receives the log lines of a run and is never nil.
	Progress io.Writer
	// Minutes is the duration of the experiments that run in real time; 0 selects
	// their default.
	Minutes float64
	// Only is the name of the one deployment to run; empty runs all of them.
	Only string
	// Plain selects the baseline of an experiment that has one.
	Plain bool
}

// Experiment is a named measurement.
type Experiment struct {
	Name string
	// Question is the question that the experiment answers, in one sentence.
	Question string
	Run      func(ctx context.Context, p Params) (Result, error)
}

var experiments = map[string]Experiment{}

// register adds an experiment. It is called from init functions.
func register(e Experiment) {
	experiments[e.Name] = e
}

// All returns the experiments, sorted by name.
func All() []Experiment {
	all := make([]Experiment, 0, len(experiments))
	for _, e := range experiments {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Experiment) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// UnknownExperimentError reports that no experiment has the given name.
type UnknownExperimentError struct{ Name string }

func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("no experiment %q, see bench list", e.Name)
}

// Find returns the experiment with the given name, or an
// *UnknownExperimentError.
func Find(name string) (Experiment, error) {
	e, ok := experiments[name]
	if !ok {
		return Experiment{}, &UnknownExperimentError{Name: name}
	}
	return e, nil
}
