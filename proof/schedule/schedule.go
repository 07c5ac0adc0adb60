// Package schedule draws random faults and operations for a run of real processes
// and applies several at a time.
package schedule

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
)

const (
	minFaultDuration = time.Second
	// maxFaultDuration exceeds the time after which a link without traffic is closed.
	maxFaultDuration = 9 * time.Second
	// recoveryPause is the time between faults, in which the processes recover.
	recoveryPause = time.Second
	// maxDraws bounds the attempts to draw a step whose targets are free.
	maxDraws = 100
)

// Step is a fault or an operation with the targets drawn for it.
type Step struct {
	Name string
	// Nodes are the affected processes; empty means all.
	Nodes []string
	// BlocksUpdates reports whether the step keeps published changes from Nodes.
	BlocksUpdates bool
	// Operation marks a deliberate action of operators, which is not recorded as a
	// fault.
	Operation bool
	// Targets names the processes, links and services that only one step may use at
	// a time.
	Targets []string
	// Begin applies the step and End reverts it. Either may be nil.
	Begin func(context.Context) error
	End   func(context.Context) error
}

// Kind is a kind of fault or operation. Make returns a step of this kind with random
// targets.
type Kind[E any] struct {
	Name string
	Make func(E, *rand.Rand) Step
}

// Environment is the deployment that steps act on.
type Environment interface {
	// Now returns the time since the start of the record.
	Now() time.Duration
	// UpdateRecord applies a change to the record.
	UpdateRecord(change func(*proof.Record))
	// Settle waits until all processes are ready.
	Settle(ctx context.Context) error
}

// UnknownKindError reports a kind of step that does not exist.
type UnknownKindError struct{ Name string }

func (e *UnknownKindError) Error() string { return "unknown kind of fault or operation " + e.Name }

// Draw returns one step of each named kind. The steps have no common target, so that
// they can run at the same time.
func Draw[E any](environment E, kinds []Kind[E], random *rand.Rand, names ...string) ([]Step, error) {
	var steps []Step
	taken := make(map[string]bool)
	for _, name := range names {
		index := slices.IndexFunc(kinds, func(k Kind[E]) bool { return k.Name == name })
		if index < 0 {
			return nil, &UnknownKindError{name}
		}
		s := draw(environment, kinds[index], random, taken)
		for _, t := range s.Targets {
			taken[t] = true
		}
		steps = append(steps, s)
	}
	return steps, nil
}

// draw returns a step whose targets are not taken. If maxDraws draws give none, it
// returns a step that does nothing.
func draw[E any](environment E, kind Kind[E], random *rand.Rand, taken map[string]bool) Step {
	for range maxDraws {
		s := kind.Make(environment, random)
		if !slices.ContainsFunc(s.Targets, func(t string) bool { return taken[t] }) {
			return s
		}
	}
	return Step{Name: "no " + kind.Name, Operation: true}
}

// Pick returns a random element of a list.
func Pick[T any](list []T, random *rand.Rand) T { return list[random.IntN(len(list))] }

// Apply begins steps in order, calls hold while they are active, ends them in reverse
// order and waits until the environment has settled. It records faults.
func Apply(ctx context.Context, environment Environment, steps []Step, hold func(context.Context) error) error {
	for _, s := range steps {
		from := environment.Now()
		if !s.Operation {
			environment.UpdateRecord(func(r *proof.Record) {
				r.Faults = append(r.Faults, proof.Fault{Name: s.Name, From: from, Nodes: s.Nodes, BlocksUpdates: s.BlocksUpdates})
			})
		}
		if s.Begin == nil {
			continue
		}
		if err := s.Begin(ctx); err != nil {
			return err
		}
		defer recordFaultEnd(environment, s, from)
	}
	if err := hold(ctx); err != nil {
		return err
	}
	for i := len(steps) - 1; i >= 0; i-- {
		if steps[i].End == nil {
			continue
		}
		if err := steps[i].End(ctx); err != nil {
			return err
		}
	}
	return environment.Settle(ctx)
}

// recordFaultEnd records the end of a fault. It is called after Settle, since the
// effects of a fault last until all processes have settled.
func recordFaultEnd(environment Environment, s Step, from time.Duration) {
	environment.UpdateRecord(func(r *proof.Record) {
		for i := range r.Faults {
			if f := &r.Faults[i]; f.Name == s.Name && f.From == from {
				f.Until = environment.Now()
			}
		}
	})
}

// Run draws pairs of steps of different kinds and applies them until the length has
// passed. It returns the number of steps drawn.
func Run[E Environment](ctx context.Context, environment E, kinds []Kind[E], random *rand.Rand, length time.Duration, progress io.Writer) (int, error) {
	steps := 0
	for environment.Now() < length {
		pair, err := drawPair(environment, kinds, random)
		if err != nil {
			return steps, err
		}
		steps += len(pair)
		var names []string
		for _, step := range pair {
			names = append(names, step.Name)
		}
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		fmt.Fprintf(progress, "%8.3fs %s for %s\n", environment.Now().Seconds(), strings.Join(names, " and "), duration.Round(time.Millisecond))
		if err := Apply(ctx, environment, pair, func(ctx context.Context) error { return Sleep(ctx, duration) }); err != nil {
			return steps, err
		}
		if err := Sleep(ctx, recoveryPause); err != nil {
			return steps, err
		}
	}
	return steps, nil
}

func drawPair[E any](environment E, kinds []Kind[E], random *rand.Rand) ([]Step, error) {
	first := random.IntN(len(kinds))
	second := (first + 1 + random.IntN(max(len(kinds)-1, 1))) % len(kinds)
	names := []string{kinds[first].Name, kinds[second].Name}
	if first == second {
		names = names[:1]
	}
	return Draw(environment, kinds, random, names...)
}

// Sleep waits for a duration or until the context is done. In the latter case, it
// returns the cause.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
