package schedule

import (
	"context"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/process"
)

// Process is a child process that steps kill, pause and restart.
type Process interface {
	// ID identifies the process in steps and records.
	ID() string
	Signal(os.Signal) error
	// Kill sends SIGKILL and waits for the exit.
	Kill() error
	Start(ctx context.Context) error
	// Restart shuts the process down gracefully and starts it again.
	Restart(ctx context.Context) error
}

// WatchExit waits for the exit of a process and records it, unless the process was ended
// deliberately.
func WatchExit(now func() time.Duration, update func(func(*proof.Record)), node string, p *process.Process, deliberate func() bool) {
	<-p.Exited()
	if deliberate() {
		return
	}
	exit := proof.Exit{Node: node, At: now(), Code: p.ExitCode()}
	update(func(r *proof.Record) { r.Exits = append(r.Exits, exit) })
}

// Pause returns a step that suspends a process with SIGSTOP and resumes it with
// SIGCONT.
func Pause(p Process) Step {
	return Step{
		Name: "pause " + p.ID(), Nodes: []string{p.ID()}, BlocksUpdates: true, Targets: []string{p.ID()},
		Begin: func(context.Context) error { return p.Signal(syscall.SIGSTOP) },
		End:   func(context.Context) error { return p.Signal(syscall.SIGCONT) },
	}
}

// Kill returns a step that kills a process and starts it again when the step ends.
func Kill(p Process) Step {
	return Step{
		Name: "kill " + p.ID(), Nodes: []string{p.ID()}, Targets: []string{p.ID()},
		Begin: func(context.Context) error { return p.Kill() },
		End:   p.Start,
	}
}

// RollingRestart returns a step that restarts processes gracefully, one after the
// other.
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
