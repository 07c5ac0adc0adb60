package edgepool

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
)

// Deployment is the name of this pool in soak reports.
const Deployment = "edges"

const soakCallers = 12

// Soak runs a pool under random faults and operations, two at a time, and returns its
// record.
func Soak(ctx context.Context, binary string, seed uint64, length time.Duration, progress io.Writer) (schedule.SoakResult, error) {
	return soak(ctx, Deployment, Kinds, proof.EdgeCheckers(), Options{Binary: binary, Seed: seed}, length, progress)
}

// SoakOpen runs a pool with crowds among ordinary callers, under faults and operations, two at
// a time, and returns its record.
func SoakOpen(ctx context.Context, binary string, seed uint64, length time.Duration, progress io.Writer) (schedule.SoakResult, error) {
	checkers := append(proof.EdgeCheckers(), proof.OpenEdgeCheckers()...)
	return soak(ctx, OpenDeployment, OpenKinds, checkers, Options{Binary: binary, Seed: seed, Open: true}, length, progress)
}

func soak(ctx context.Context, name string, kinds []Kind, checkers []proof.Checker, o Options, length time.Duration, progress io.Writer) (schedule.SoakResult, error) {
	dir, err := schedule.NewDir(name)
	if err != nil {
		return schedule.SoakResult{}, err
	}
	o.Dir = dir
	fmt.Fprintf(progress, "soak: %s for %s, seed %d\n", name, length, o.Seed)
	p, err := Start(ctx, o)
	if err != nil {
		return schedule.SoakResult{}, err
	}
	defer p.Close()
	stopCrowds := func() {}
	if o.Open {
		stopCrowds = p.openToCrowds(ctx)
	}
	load := p.StartLoad(soakCallers, o.Seed)
	s := schedule.SoakResult{Deployment: name, Checkers: checkers}
	s.Steps, err = schedule.Run(ctx, p, kinds, rand.New(rand.NewPCG(o.Seed, 0)), length, progress)
	load.Stop()
	stopCrowds()
	s.Record = p.Record()
	for _, u := range s.Record.Usages {
		fmt.Fprintf(progress, "%s: at most %d MB of %d and %d descriptors of %d\n", u.Node, u.Memory>>20, u.MemoryLimit>>20, u.Descriptors, u.DescriptorLimit)
	}
	s.CleanUp(dir, progress)
	return s, err
}
