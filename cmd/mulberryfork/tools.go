package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"text/tabwriter"

	"github.com/mulberryfork/mulberryfork/bench"
	"github.com/mulberryfork/mulberryfork/confdir"
	"github.com/mulberryfork/mulberryfork/configreport"
	"github.com/mulberryfork/mulberryfork/decide/settings"
)

type checkCommand struct {
	configreport.Options
	Dir     string `arg:"" type:"existingdir" help:"Folder of configuration files."`
	Against string `placeholder:"PATH" help:"Folder or file of the configuration in force, to show the differences from."`
}

func (c checkCommand) Run(s streams) error {
	process, err := c.Process(settings.Router)
	if err != nil {
		return err
	}
	result, report, err := confdir.Check(c.Dir, process)
	if err != nil {
		return &configreport.StatusError{Status: configreport.StatusErrors, Err: err}
	}
	if c.Against != "" && result != nil {
		if err := confdir.Compare(&report, result, c.Against); err != nil {
			return &configreport.StatusError{Status: configreport.StatusErrors, Err: err}
		}
	}
	return configreport.Write(s.out, report, c.Options)
}

type explainCommand struct {
	Dir string `arg:"" type:"existingdir" help:"Folder of configuration files."`
	Key string `arg:"" help:"Dotted key, such as members.desk.share."`
}

func (c explainCommand) Run(s streams) error {
	if err := confdir.Explain(s.out, c.Dir, c.Key); err != nil {
		return &InvalidInputError{Err: err}
	}
	return nil
}

type benchCommand struct {
	Name    string  `arg:"" help:"Experiment, or 'list'."`
	JSON    bool    `help:"Print one JSON object."`
	Seed    uint64  `default:"1" help:"Random seed."`
	Seeds   int     `default:"1" help:"Run with this many consecutive seeds, starting at --seed, and show the spread."`
	Keep    string  `type:"existingdir" help:"Write the result of each seed to a JSON file in this folder."`
	Minutes float64 `help:"Duration of experiments that run for a given time."`
	Only    string  `help:"Deployment of a soak test: vale-do-sousa, slnecne-bodky, edges, or open-edges or drills, which are not among all. Default: all."`
	Plain   bool    `help:"Run the baseline version, if the experiment has one."`
	Plot    string  `help:"Write a plot to this SVG file."`
}

func (c benchCommand) Run(s streams) error {
	if c.Name == "list" {
		return listExperiments(s)
	}
	e, err := bench.Find(c.Name)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var runs []bench.SeedResult
	for i := range max(c.Seeds, 1) {
		seed := c.Seed + uint64(i)
		result, err := e.Run(ctx, bench.Params{Seed: seed, Progress: s.err, Minutes: c.Minutes, Only: c.Only, Plain: c.Plain})
		if err != nil {
			return err
		}
		runs = append(runs, bench.SeedResult{Seed: seed, Result: result})
		if err := c.saveResult(e.Name, seed, result); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		if err := bench.WritePlot(c.Plot, runs[0].Result); err != nil {
			return err
		}
	}
	return c.print(s, e.Name, runs)
}

// saveResult writes the result of one seed to a file in the folder c.Keep.
func (c benchCommand) saveResult(name string, seed uint64, r bench.Result) error {
	if c.Keep == "" {
		return nil
	}
	path := filepath.Join(c.Keep, fmt.Sprintf("%s-%d.json", name, seed))
	file, err := os.Create(path)
	if err != nil {
		return &FileError{Path: path, Err: err}
	}
	if err := errors.Join(bench.WriteJSON(file, name, seed, r), file.Close()); err != nil {
		return &FileError{Path: path, Err: err}
	}
	return nil
}

// print writes one JSON object for each seed, or else a table for one seed or the
// spread over several seeds.
func (c benchCommand) print(s streams, name string, runs []bench.SeedResult) error {
	if c.JSON {
		for _, r := range runs {
			if err := bench.WriteJSON(s.out, name, r.Seed, r.Result); err != nil {
				return err
			}
		}
		return nil
	}
	if len(runs) > 1 {
		return bench.WriteSpread(s.out, name, runs)
	}
	return bench.WriteTable(s.out, name, runs[0].Seed, runs[0].Result)
}

func listExperiments(s streams) error {
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	for _, e := range bench.All() {
		fmt.Fprintf(w, "%s\t%s\n", e.Name, e.Question)
	}
	return w.Flush()
}
