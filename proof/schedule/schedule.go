// Package schedule draws faults and operations for a run of real processes and
// applies them, several at a time.
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
	// minFaultDuration and longestHold bound the time that faults last. The longest
	// exceeds the silence after which a link is given up.
	minFaultDuration = time.Second
	maxFaultDuration = 9 * time.Second
	// recoveryPause is the time between faults, in which a run must recover.
	recoveryPause = time.Second
	// maxDraws bounds the draws for steps that don't take hold of the same targets.
	maxDraws = 100
)

// Step is one fault or operation with the targets drawn for it.
type Step struct {
	Name string
	// Nodes are the processes that it touches, empty for all.
	Nodes []string
	// BlocksUpdates says that it keeps publications from these processes.
	BlocksUpdates bool
	// Operation marks what operators do on purpose; it is no fault.
	Operation bool
	// Targets are what the step takes hold of; two steps with a common one
	// can't run beside each other.
	Targets []string
	// Begin and End may be nil.
	Begin func(context.Context) error
	End   func(context.Context) error
}

// Kind makes a step in a world, with targets that it draws.
type Kind[W any] struct {
	Name string
	Make func(W, *rand.Rand) Step
}

// Environment is what steps act on.
type Environment interface {
	// Now is the clock of the record.
	Now() time.Duration
	// UpdateRecord changes the record.
	UpdateRecord(change func(*proof.Record))
	// Settle waits until all processes are ready.
	Settle(ctx context.Context) error
}

// UnknownKindError reports a step of a kind that does not exist.
type UnknownKindError struct{ Name string }

func (e *UnknownKindError) Error() string { return "no fault of kind " + e.Name }

// Draw makes steps that can run beside each other, one of each kind.
func Draw[W any](world W, kinds []Kind[W], random *rand.Rand, names ...string) ([]Step, error) {
	var steps []Step
	taken := make(map[string]bool)
	for _, name := range names {
		at := slices.IndexFunc(kinds, func(k Kind[W]) bool { return k.Name == name })
		if at < 0 {
			return nil, &UnknownKindError{name}
		}
		s := draw(world, kinds[at], random, taken)
		for _, t := range s.Targets {
			taken[t] = true
		}
		steps = append(steps, s)
	}
	return steps, nil
}

// draw makes one step. One that finds all its targets taken is left out.
func draw[W any](world W, kind Kind[W], random *rand.Rand, taken map[string]bool) Step {
	for range maxDraws {
		s := kind.Make(world, random)
		if !slices.ContainsFunc(s.Targets, func(t string) bool { return taken[t] }) {
			return s
		}
	}
	return Step{Name: "no " + kind.Name, Operation: true}
}

// Pick draws one of a list.
func Pick[T any](list []T, random *rand.Rand) T { return list[random.IntN(len(list))] }

// Apply begins steps, holds them and ends them in reverse order.
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

// recordFaultEnd records the end of a fault, which is when all processes have settled.
func recordFaultEnd(w Environment, s Step, from time.Duration) {
	w.UpdateRecord(func(r *proof.Record) {
		for i := range r.Faults {
			if f := &r.Faults[i]; f.Name == s.Name && f.From == from {
				f.Until = w.Now()
			}
		}
	})
}

// Run draws pairs of different kinds and applies them until the time is over.
// It returns the number of steps.
func Run[W Environment](ctx context.Context, w W, kinds []Kind[W], random *rand.Rand, length time.Duration, progress io.Writer) (int, error) {
	steps := 0
	for w.Now() < length {
		drawn, err := drawPair(w, kinds, random)
		if err != nil {
			return steps, err
		}
		steps += len(drawn)
		var names []string
		for _, step := range drawn {
			names = append(names, step.Name)
		}
		hold := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		fmt.Fprintf(progress, "%8.3fs %s for %s\n", w.Now().Seconds(), strings.Join(names, " and "), hold.Round(time.Millisecond))
		if err := Apply(ctx, w, drawn, func(ctx context.Context) error { return Sleep(ctx, hold) }); err != nil {
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

// Sleep lets time pass.
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
