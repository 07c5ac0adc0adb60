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

// Deployment is the name of the pool in reports.
const Deployment = "edges"

const soakCallers = 12

// Soak runs a pool under random faults and operations, two at a time.
func Soak(ctx context.Context, binary string, seed uint64, length time.Duration, progress io.Writer) (schedule.SoakResult, error) {
	dir, err := schedule.NewDir(Deployment)
	if err != nil {
		return schedule.SoakResult{}, err
	}
	fmt.Fprintf(progress, "soak: %s for %s, seed %d\n", Deployment, length, seed)
	p, err := Start(ctx, Options{Binary: binary, Dir: dir, Seed: seed})
	if err != nil {
		return schedule.SoakResult{}, err
	}
	defer p.Close()
	load := p.StartLoad(soakCallers, seed)
	s := schedule.SoakResult{Deployment: Deployment, Checkers: proof.EdgeCheckers()}
	s.Steps, err = schedule.Run(ctx, p, Kinds, rand.New(rand.NewPCG(seed, 0)), length, progress)
	load.Stop()
	s.Record = p.Record()
	s.CleanUp(dir, progress)
	return s, err
}
