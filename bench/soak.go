package bench

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/examples"
	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/edgepool"
	"github.com/mulberryfork/mulberryfork/proof/pool"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
)

func init() {
	register(Experiment{
		Name:     "soak",
		Question: "Do the guarantees hold for both users and on a platform with a store while real processes, links and the platform fail, two faults at a time, with more requests than capacity and clients that nobody controls?",
		Run:      runSoak,
	})
}

const (
	defaultSoakMinutes = 1
	// maxShownViolations bounds the violations that are printed per checker.
	maxShownViolations = 10
	// edgeBinary is the program of the edges. It must be in the directory of the
	// program that runs the experiment.
	edgeBinary = "mulberryfork-platform"
)

// edgeDeployments lists the deployments of edges.
var edgeDeployments = []string{edgepool.Deployment, edgepool.OpenDeployment, edgepool.DrillDeployment}

// soakDeployments returns the deployments of a run. Edges are included only if
// their program exists; go run does not build it.
func soakDeployments(p Params, edgeProgram string) ([]string, error) {
	_, err := os.Stat(edgeProgram)
	switch {
	case slices.Contains(edgeDeployments, p.Only) && err != nil:
		return nil, eris.Wrap(err, "build both programs with go build -o DIR/ ./cmd/...")
	case p.Only != "":
		return []string{p.Only}, nil
	case err != nil:
		fmt.Fprintf(p.Progress, "skipping edges: %s does not exist; build both programs with go build -o DIR/ ./cmd/...\n", edgeProgram)
		return examples.Deployments, nil
	}
	return append(slices.Clone(examples.Deployments), edgepool.Deployment), nil
}

func runSoak(ctx context.Context, p Params) (Result, error) {
	binary, err := os.Executable()
	if err != nil {
		return Result{}, eris.Wrap(err, "find the path of this program")
	}
	minutes := p.Minutes
	if minutes <= 0 {
		minutes = defaultSoakMinutes
	}
	edgeProgram := filepath.Join(filepath.Dir(binary), edgeBinary)
	deployments, err := soakDeployments(p, edgeProgram)
	if err != nil {
		return Result{}, err
	}
	duration := time.Duration(minutes * float64(time.Minute) / float64(len(deployments)))
	var all []schedule.SoakResult
	for i, d := range deployments {
		seed := p.Seed + uint64(i)
		var s schedule.SoakResult
		switch d {
		case edgepool.Deployment:
			s, err = edgepool.Soak(ctx, edgeProgram, seed, duration, p.Progress)
		case edgepool.OpenDeployment:
			s, err = edgepool.SoakOpen(ctx, edgeProgram, seed, duration, p.Progress)
		case edgepool.DrillDeployment:
			s, err = edgepool.SoakDrills(ctx, edgeProgram, seed, duration, p.Progress)
		default:
			s, err = pool.Soak(ctx, pool.SoakOptions{Binary: binary, Deployment: d, Seed: seed, Length: duration, Overload: true, Progress: p.Progress})
		}
		if err != nil {
			return Result{}, err
		}
		all = append(all, s)
	}
	return Result{Figures: soakFigures(p, all)}, nil
}

func soakFigures(p Params, runs []schedule.SoakResult) []Figure {
	var figures []Figure
	for _, s := range runs {
		figures = violationFigures(p, s, figures)
	}
	refusals := make(map[api.Code]int)
	var sent, complete, unknown, refused, steps int
	for _, s := range runs {
		steps += s.Steps
		for _, attempt := range s.Record.Attempts {
			sent++
			switch {
			case attempt.Complete:
				complete++
			case attempt.Run == "" || attempt.Run == api.RunUnknown:
				unknown++
			case attempt.Run == api.NotRun:
				refused++
				refusals[attempt.Code]++
			}
		}
	}
	showCompetition(p, runs)
	for _, code := range slices.Sorted(maps.Keys(refusals)) {
		fmt.Fprintf(p.Progress, "refused with %s: %d\n", code, refusals[code])
	}
	return append(figures,
		Plain("requests_sent", float64(sent), "sends"),
		Plain("answers_whole", float64(complete), "answers"),
		Plain("unknown_share", float64(unknown)/float64(max(sent, 1)), "ratio"),
		Plain("refused_share", float64(refused)/float64(max(sent, 1)), "ratio"),
		Plain("faults_injected", float64(steps), "faults and operations"),
	)
}

// showCompetition prints what the competing callers of each deployment got, by priority
// and member.
func showCompetition(p Params, runs []schedule.SoakResult) {
	show := func(s schedule.SoakResult, kind string, t proof.Tally) {
		fmt.Fprintf(p.Progress, "%s %s: %d competing attempts, %d complete, %.3f refused\n", s.Deployment, kind, t.Attempts, t.Complete, t.RefusedShare())
	}
	for _, s := range runs {
		byPriority, byMember := s.Record.TalliesByPriority(), s.Record.TalliesByMember()
		for _, priority := range slices.Sorted(maps.Keys(byPriority)) {
			show(s, fmt.Sprintf("priority %d", priority), byPriority[priority])
		}
		for _, member := range slices.Sorted(maps.Keys(byMember)) {
			show(s, "member "+member, byMember[member])
		}
	}
}

// violationFigures adds the number of violations that each checker found in a
// deployment to figures. It prints the violations, and the events around the first
// violation of each checker.
func violationFigures(p Params, s schedule.SoakResult, figures []Figure) []Figure {
	for _, checker := range s.Checkers {
		found := checker.Check(s.Record)
		for i, f := range found[:min(len(found), maxShownViolations)] {
			fmt.Fprintf(p.Progress, "%s %s: %s\n", s.Deployment, checker.Name, f)
			if i > 0 {
				continue
			}
			showContext(p, s, f)
		}
		showNodes(p, s, checker, found)
		i := slices.IndexFunc(figures, func(f Figure) bool { return f.Name == checker.Name })
		if i < 0 {
			figures = append(figures, Bounded(checker.Name, float64(len(found)), "violations", Exactly, 0))
			continue
		}
		figures[i].Value += float64(len(found))
	}
	return figures
}

// showContext prints the events around a violation, or the log of its process.
func showContext(p Params, s schedule.SoakResult, f proof.Violation) {
	lines := s.Record.EventsAround(f.At)
	if s.Log != nil && f.Node != "" {
		lines = s.Log(f.Node, f.At)
	}
	for _, line := range lines {
		fmt.Fprintf(p.Progress, "    %s\n", line)
	}
}

// showNodes prints the number of violations of each process.
func showNodes(p Params, s schedule.SoakResult, checker proof.Checker, found []proof.Violation) {
	counts := make(map[string]int)
	for _, f := range found {
		if f.Node != "" {
			counts[f.Node]++
		}
	}
	for _, node := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(p.Progress, "%s %s: %d at %s\n", s.Deployment, checker.Name, counts[node], node)
	}
}
