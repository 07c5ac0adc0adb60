package bench

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/pool"
)

func init() {
	register(Experiment{
		Name: "soak",
		Asks: "Do the nine promises hold for both users while real processes, links and the platform fail, two faults at a time?",
		Run:  runSoak,
	})
}

const (
	soakMinutes = 1
	// shownViolations bounds the lines about one verdict.
	shownViolations = 10
)

func runSoak(ctx context.Context, p Params) (Result, error) {
	binary, err := os.Executable()
	if err != nil {
		return Result{}, eris.Wrap(err, "find the program")
	}
	minutes := p.Minutes
	if minutes <= 0 {
		minutes = soakMinutes
	}
	soaked, err := pool.Soak(ctx, pool.SoakOptions{
		Binary: binary, Seed: p.Seed, Progress: p.Progress, Length: time.Duration(minutes * float64(time.Minute)),
	})
	if err != nil {
		return Result{}, err
	}
	return Result{Figures: soakFigures(p, soaked)}, nil
}

func soakFigures(p Params, soaked []pool.Soaked) []Figure {
	var figures []Figure
	for _, v := range proof.Verdicts() {
		count := 0
		for _, s := range soaked {
			found := v.Judge(s.Record)
			count += len(found)
			for _, f := range found[:min(len(found), shownViolations)] {
				fmt.Fprintf(p.Progress, "%s %s: %s\n", s.Deployment, v.Name, f)
			}
		}
		figures = append(figures, Bounded(v.Name, float64(count), "violations", Exactly, 0))
	}
	var sent, whole, unknown, refused, steps int
	for _, s := range soaked {
		steps += s.Steps
		for _, send := range s.Record.Sends {
			sent++
			switch {
			case send.Whole:
				whole++
			case send.Run == "" || send.Run == api.Unknown:
				unknown++
			case send.Run == api.NotRun:
				refused++
			}
		}
	}
	return append(figures,
		Plain("requests_sent", float64(sent), "sends"),
		Plain("answers_whole", float64(whole), "answers"),
		Plain("unknown_share", float64(unknown)/float64(max(sent, 1)), "ratio"),
		Plain("refused_share", float64(refused)/float64(max(sent, 1)), "ratio"),
		Plain("faults_injected", float64(steps), "faults and operations"),
	)
}
