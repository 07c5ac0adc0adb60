package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"text/tabwriter"

	"github.com/mulberryfork/mulberryfork/bench"
	"github.com/mulberryfork/mulberryfork/confdir"
)

type checkCommand struct {
	Dir string `arg:"" type:"existingdir" help:"Folder of configuration files."`
}

func (c checkCommand) Run(s streams) error {
	// Problems are reported on standard error, a sound folder on standard output.
	var summary bytes.Buffer
	if err := confdir.Check(&summary, c.Dir); err != nil {
		return &InvalidInputError{Err: err}
	}
	_, err := s.out.Write(summary.Bytes())
	return err
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
	Seed    uint64  `default:"1" help:"Seed of everything that is random."`
	Minutes float64 `help:"Length of experiments that run for a given time."`
	Plain   bool    `help:"Run the plain version, where an experiment has one."`
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
	result, err := e.Run(ctx, bench.Params{Seed: c.Seed, Progress: s.err, Minutes: c.Minutes, Plain: c.Plain})
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := bench.WritePlot(c.Plot, result); err != nil {
			return err
		}
	}
	if c.JSON {
		return bench.WriteJSON(s.out, e.Name, c.Seed, result)
	}
	return bench.WriteTable(s.out, e.Name, c.Seed, result)
}

func listExperiments(s streams) error {
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	for _, e := range bench.All() {
		fmt.Fprintf(w, "%s\t%s\n", e.Name, e.Asks)
	}
	return w.Flush()
}
