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
	// maxDraws bounds the draws of a step whose targets are free.
	maxDraws = 100
)

// Step is a fault or operation and its drawn targets.
type Step struct {
	Name string
	// Nodes are the affected processes; empty means all.
	Nodes []string
	// BlocksUpdates reports whether the step keeps published changes from Nodes.
	BlocksUpdates bool
	// Operation marks a deliberate action of operators, which is not recorded as a
	// fault.
	Operation bool
	// Targets are the processes, links and services that the step needs for itself.
	// Steps with a common target can't run at the same time.
	Targets []string
	// Begin and End may be nil.
	Begin func(context.Context) error
	End   func(context.Context) error
}

// Kind is a kind of fault or operation. Make returns a step of it with random
// targets.
type Kind[W any] struct {
	Name string
	Make func(W, *rand.Rand) Step
}

// Environment is the deployment that steps act on.
type Environment interface {
	// Now returns the time by the clock of the record.
	Now() time.Duration
	// UpdateRecord applies a change to the record.
	UpdateRecord(change func(*proof.Record))
	// Settle waits until all processes are ready.
	Settle(ctx context.Context) error
}

// UnknownKindError reports a kind of step that does not exist.
type UnknownKindError struct{ Name string }

func (e *UnknownKindError) Error() string { return "unknown kind of fault or operation " + e.Name }

// Draw returns steps that can run at the same time, one of each named kind.
func Draw[W any](environment W, kinds []Kind[W], random *rand.Rand, names ...string) ([]Step, error) {
	var steps []Step
	taken := make(map[string]bool)
	for _, name := range names {
		index := slices.IndexFunc(kinds, func(k Kind[W]) bool { return k.Name == name })
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

// draw returns one step whose targets are not taken. If it finds none within
// maxDraws, it returns a step that does nothing.
func draw[W any](environment W, kind Kind[W], random *rand.Rand, taken map[string]bool) Step {
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

// Apply begins steps, calls hold while they last, ends them in reverse order and
// waits until the environment has settled.
func Apply(ctx context.Context, w Environment, steps []Step, hold func(context.Context) error) error {
	for _, s := range steps {
		from := w.Now()
		if !s.Operation {
			w.UpdateRecord(func(r *proof.Record) {
				r.Faults = append(r.Faults, proof.Fault{Name: s.Name, From: from, Nodes: s.Nodes, BlocksUpdates: s.BlocksUpdates})
			})
		}
		if s.Begin == nil {
			continue
		}
		if err := s.Begin(ctx); err != nil {
			return err
		}
		defer recordFaultEnd(w, s, from)
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
	return w.Settle(ctx)
}

// recordFaultEnd records the end of a fault. A fault lasts until all processes have
// settled.
func recordFaultEnd(w Environment, s Step, from time.Duration) {
	w.UpdateRecord(func(r *proof.Record) {
		for i := range r.Faults {
			if f := &r.Faults[i]; f.Name == s.Name && f.From == from {
				f.Until = w.Now()
			}
		}
	})
}

// Run draws pairs of steps of different kinds and applies them until length has
// passed. It returns the number of steps.
func Run[W Environment](ctx context.Context, w W, kinds []Kind[W], random *rand.Rand, length time.Duration, progress io.Writer) (int, error) {
	steps := 0
	for w.Now() < length {
		pair, err := drawPair(w, kinds, random)
		if err != nil {
			return steps, err
		}
		steps += len(pair)
		var names []string
		for _, step := range pair {
			names = append(names, step.Name)
		}
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		fmt.Fprintf(progress, "%8.3fs %s for %s\n", w.Now().Seconds(), strings.Join(names, " and "), duration.Round(time.Millisecond))
		if err := Apply(ctx, w, pair, func(ctx context.Context) error { return Sleep(ctx, duration) }); err != nil {
			return steps, err
		}
		if err := Sleep(ctx, recoveryPause); err != nil {
			return steps, err
		}
	}
	return steps, nil
}

func drawPair[W any](w W, kinds []Kind[W], random *rand.Rand) ([]Step, error) {
	first := random.IntN(len(kinds))
	second := (first + 1 + random.IntN(max(len(kinds)-1, 1))) % len(kinds)
	names := []string{kinds[first].Name, kinds[second].Name}
	if first == second {
		names = names[:1]
	}
	return Draw(w, kinds, random, names...)
}

// Sleep pauses for a duration or until the context is done.
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
