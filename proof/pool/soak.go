package pool

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
)

const (
	soakCallers       = 12
	soakModelsPerZone = 1
)

// SoakOptions configure a soak.
type SoakOptions struct {
	Binary     string
	Deployment string
	Seed       uint64
	Length     time.Duration
	Progress   io.Writer
}

// Soak runs an example deployment under random faults and operations, two at a
// time.
func Soak(ctx context.Context, o SoakOptions) (schedule.SoakResult, error) {
	dir, err := schedule.NewDir(o.Deployment)
	if err != nil {
		return schedule.SoakResult{}, err
	}
	fmt.Fprintf(o.Progress, "soak: %s for %s, seed %d\n", o.Deployment, o.Length, o.Seed)
	p, err := Start(ctx, Options{Binary: o.Binary, Dir: dir, Deployment: o.Deployment, ModelsPerZone: soakModelsPerZone, Seed: o.Seed})
	if err != nil {
		return schedule.SoakResult{}, err
	}
	defer p.Close()
	load := p.StartLoad(soakCallers, o.Seed)
	s := schedule.SoakResult{Deployment: o.Deployment, Checkers: proof.Checkers()}
	s.Steps, err = schedule.Run(ctx, p, Kinds, rand.New(rand.NewPCG(o.Seed, 0)), o.Length, o.Progress)
	load.Stop()
	s.Record = p.Record()
	s.CleanUp(dir, o.Progress)
	return s, err
}
