package pool

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/examples"
	"github.com/mulberryfork/mulberryfork/proof"
)

const (
	soakCallers       = 12
	soakModelsPerZone = 1
	// shortestHold and longestHold bound the time that faults last. The longest
	// exceeds the silence after which a router gives a link up.
	shortestHold = time.Second
	longestHold  = 9 * time.Second
	// quiet is the time between faults, in which the pool must recover.
	quiet = time.Second
)

// SoakOptions describe a run of drawn faults.
type SoakOptions struct {
	Binary   string
	Seed     uint64
	Length   time.Duration
	Progress io.Writer
	// Only restricts the run to one deployment and to some kinds; empty means all.
	Only  string
	Kinds []string
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
		return Soaked{}, &ProcessError{Node: deployment, Err: err}
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
	random := rand.New(rand.NewPCG(seed, 0))
	for p.Now() < length && err == nil {
		s.Steps += 2
		err = o.pair(ctx, p, random)
	}
	load.Stop()
	s.Record = p.Record()
	return s, err
}

// pair draws two different kinds and applies them at once.
func (o SoakOptions) pair(ctx context.Context, p *Pool, random *rand.Rand) error {
	kinds := o.Kinds
	if len(kinds) == 0 {
		for _, k := range Kinds {
			kinds = append(kinds, k.Name)
		}
	}
	first := random.IntN(len(kinds))
	second := (first + 1 + random.IntN(max(len(kinds)-1, 1))) % len(kinds)
	chosen := []string{kinds[first], kinds[second]}
	if first == second {
		chosen = chosen[:1]
	}
	steps, err := p.Draw(random, chosen...)
	if err != nil {
		return err
	}
	var names []string
	for _, step := range steps {
		names = append(names, step.Name)
	}
	hold := shortestHold + time.Duration(random.Int64N(int64(longestHold-shortestHold)))
	fmt.Fprintf(o.Progress, "%8.3fs %s for %s\n", p.Now().Seconds(), strings.Join(names, " and "), hold.Round(time.Millisecond))
	if err := p.Apply(ctx, steps, func(ctx context.Context) error { return wait(ctx, hold) }); err != nil {
		return err
	}
	return wait(ctx, quiet)
}

// wait lets time pass.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
