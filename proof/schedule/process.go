package schedule

import (
	"context"
	"os"
	"strings"
	"syscall"
)

// Process is the place of a process that steps end, pause and start again.
type Process interface {
	// ID names the process in steps and records.
	ID() string
	Signal(os.Signal) error
	// Kill ends the process without warning, Restart by a planned stop.
	Kill() error
	Start(ctx context.Context) error
	Restart(ctx context.Context) error
}

// Pause is a step in which a process stands still.
func Pause(p Process) Step {
	return Step{
		Name: "pause " + p.ID(), Nodes: []string{p.ID()}, BlocksUpdates: true, Targets: []string{p.ID()},
		Begin: func(context.Context) error { return p.Signal(syscall.SIGSTOP) },
		End:   func(context.Context) error { return p.Signal(syscall.SIGCONT) },
	}
}

// Kill is a step in which a process is gone without warning.
func Kill(p Process) Step {
	return Step{
		Name: "kill " + p.ID(), Targets: []string{p.ID()},
		Begin: func(context.Context) error { return p.Kill() },
		End:   p.Start,
	}
}

// RollingRestart is a step that restarts processes one after the other by planned stops.
func RollingRestart[P Process](processes []P) Step {
	var names []string
	for _, p := range processes {
		names = append(names, p.ID())
	}
	return Step{
		Name: "roll " + strings.Join(names, " "), Operation: true, Targets: names,
		Begin: func(ctx context.Context) error {
			for _, p := range processes {
				if err := p.Restart(ctx); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
