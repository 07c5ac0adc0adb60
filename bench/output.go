package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

type figureJSON struct {
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target string  `json:"target,omitempty"`
	Met    bool    `json:"met"`
}

type resultJSON struct {
	Experiment string                `json:"experiment"`
	Seed       uint64                `json:"seed"`
	Figures    map[string]figureJSON `json:"figures"`
}

// WriteJSON writes the result of a run as one JSON object.
func WriteJSON(w io.Writer, name string, seed uint64, r Result) error {
	out := resultJSON{Experiment: name, Seed: seed, Figures: make(map[string]figureJSON)}
	for _, f := range r.Figures {
		j := figureJSON{Value: f.Value, Unit: f.Unit, Met: f.Met()}
		if f.Target != nil {
			j.Target = f.Target.String()
		}
		out.Figures[f.Name] = j
	}
	enc := json.NewEncoder(w)
	return enc.Encode(out)
}

// WriteTable writes the result of a run as a table.
func WriteTable(w io.Writer, name string, seed uint64, r Result) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "%s\tseed %d\t\t\t\n", name, seed)
	fmt.Fprintln(tw, "figure\tvalue\tunit\ttarget\tmet")
	for _, f := range r.Figures {
		target, met := "-", "-"
		if f.Target != nil {
			target, met = f.Target.String(), "no"
			if f.Met() {
				met = "yes"
			}
		}
		fmt.Fprintf(tw, "%s\t%.4g\t%s\t%s\t%s\n", f.Name, f.Value, f.Unit, target, met)
	}
	return tw.Flush()
}

// SeedResult is the result of a run with one seed.
type SeedResult struct {
	Seed   uint64
	Result Result
}

// WriteSpread writes the median, minimum and maximum of each figure over several
// seeds. A target is met only if every seed meets it.
func WriteSpread(w io.Writer, name string, runs []SeedResult) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "%s\tseeds %d to %d\t\t\t\t\t\n", name, runs[0].Seed, runs[len(runs)-1].Seed)
	fmt.Fprintln(tw, "figure\tmedian\tleast\tmost\tunit\ttarget\tmet")
	for _, f := range runs[0].Result.Figures {
		values, met := collectValues(runs, f.Name)
		target, metText := "-", "-"
		if f.Target != nil {
			target, metText = f.Target.String(), "no"
			if met {
				metText = "yes"
			}
		}
		fmt.Fprintf(tw, "%s\t%.4g\t%.4g\t%.4g\t%s\t%s\t%s\n",
			f.Name, quantile(values, 0.5), quantile(values, 0), quantile(values, 1), f.Unit, target, metText)
	}
	return tw.Flush()
}

// collectValues returns the values of a figure from the runs that have it, and
// whether all of them meet the target.
func collectValues(runs []SeedResult, name string) (values []float64, met bool) {
	met = true
	for _, r := range runs {
		for _, f := range r.Result.Figures {
			if f.Name == name {
				values = append(values, f.Value)
				met = met && f.Met()
			}
		}
	}
	return values, met
}
