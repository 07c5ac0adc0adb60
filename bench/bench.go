// Package bench measures mulberryfork. Each experiment states what it asks,
// runs its baseline in the same run, and returns figures with their targets.
package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// Relation compares a figure with its target.
type Relation string

// Relations of a figure to its target.
const (
	AtMost  Relation = "<="
	AtLeast Relation = ">="
	Exactly Relation = "=="
)

// Target is the bound that a figure should meet, as stated by the users.
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

// Met says whether the figure meets its target; one without a target does.
func (f Figure) Met() bool { return f.Target == nil || f.Target.met(f.Value) }

// Plain returns a figure without a target.
func Plain(name string, value float64, unit string) Figure {
	return Figure{Name: name, Value: value, Unit: unit}
}

// Bounded returns a figure with a target.
func Bounded(name string, value float64, unit string, r Relation, target float64) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Target: &Target{Relation: r, Value: target}}
}

// Series is a curve for a plot.
type Series struct {
	Name string
	X, Y []float64
}

// Plot is a plot that an experiment offers.
type Plot struct {
	Title, XLabel, YLabel string
	Series                []Series
}

// Result is what one run of an experiment found.
type Result struct {
	Figures []Figure
	// Plot is nil where a plot says no more than the table.
	Plot *Plot
}

// Params are the inputs of one run.
type Params struct {
	Seed uint64
	// Progress takes lines about a long run; it is never nil.
	Progress io.Writer
	// Minutes bounds experiments that run for a given time, 0 for their default.
	Minutes float64
	// Only restricts an experiment of several deployments to one, empty for all.
	Only string
	// Plain selects the plain version of a mechanism, where an experiment has one.
	Plain bool
}

// Experiment is one measurement.
type Experiment struct {
	Name string
	// Asks is one sentence that says what the experiment finds out.
	Asks string
	Run  func(ctx context.Context, p Params) (Result, error)
}

var experiments = map[string]Experiment{}

// register adds an experiment; each file of this package registers its own.
func register(e Experiment) {
	experiments[e.Name] = e
}

// All returns the experiments by name.
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

// UnknownExperimentError reports a name that is not in the list.
type UnknownExperimentError struct{ Name string }

func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("no experiment %q, see bench list", e.Name)
}

// Find returns an experiment by name.
func Find(name string) (Experiment, error) {
	e, ok := experiments[name]
	if !ok {
		return Experiment{}, &UnknownExperimentError{Name: name}
	}
	return e, nil
}
