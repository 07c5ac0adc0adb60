package pool

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/mulberryfork/mulberryfork/examples"
	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/process"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
)

const (
	soakCallers       = 12
	soakModelsPerZone = 1
)

// SoakOptions describe a run of drawn faults.
type SoakOptions struct {
	Binary   string
	Seed     uint64
	Length   time.Duration
	Progress io.Writer
	// Only restricts the run to one deployment; empty means all.
	Only string
}

// Soaked is the record of one deployment.
type Soaked struct {
	Deployment string
	Record     proof.Record
	// Steps counts faults and operations.
	Steps int
}

// Soak runs the example deployments one after the other under drawn faults and
// operations, two at a time.
func Soak(ctx context.Context, o SoakOptions) ([]Soaked, error) {
	deployments := examples.Deployments
	if o.Only != "" {
		deployments = []string{o.Only}
	}
	var all []Soaked
	for i, d := range deployments {
		s, err := o.soak(ctx, d, o.Length/time.Duration(len(deployments)), o.Seed+uint64(i))
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

func (o SoakOptions) soak(ctx context.Context, deployment string, length time.Duration, seed uint64) (Soaked, error) {
	dir, err := os.MkdirTemp("", "mulberryfork")
	if err != nil {
		return Soaked{}, &process.Error{Name: deployment, Err: err}
	}
	defer os.RemoveAll(dir)
	fmt.Fprintf(o.Progress, "soak: %s for %s, seed %d\n", deployment, length, seed)
	p, err := Start(ctx, Options{Binary: o.Binary, Dir: dir, Deployment: deployment, ModelsPerZone: soakModelsPerZone, Seed: seed})
	if err != nil {
		return Soaked{}, err
	}
	defer p.Close()
	load := p.StartLoad(soakCallers, seed)
	s := Soaked{Deployment: deployment}
	s.Steps, err = schedule.Run(ctx, p, Kinds, rand.New(rand.NewPCG(seed, 0)), length, o.Progress)
	load.Stop()
	s.Record = p.Record()
	return s, err
}
