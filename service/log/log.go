// Package log writes structured lines: one for each change of what the process
// believes and one for each decision that touches a request.
//
// Lines are handed to a writer goroutine through bounded queues, so nothing
// waits for whoever reads them. Routine decisions have a budget of lines a
// second; changes and failures have a queue of their own. What is dropped is
// counted and said.
package log

import (
	"context"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	// importantQueue and routineQueue bound the lines that wait to be written:
	// a few seconds of the routine budget, and a burst of failures.
	importantQueue = 1024
	routineQueue   = 256
	// routinePerSecond bounds routine lines. At about 20 us a line it is 0.2%
	// of a core.
	routinePerSecond = 100
	routineBurst     = 200
	// droppedInterval is the time between lines that say how many were dropped.
	droppedInterval = 5 * time.Second
)

// Output is where lines go; a host value that replaces standard output.
type Output struct{ io.Writer }

// LevelError reports a log level that does not exist.
type LevelError struct{ Level string }

func (e *LevelError) Error() string { return "no log level " + e.Level }

type line struct {
	at     time.Time
	event  string
	fields api.Fields
}

type service struct {
	logger    *logrus.Logger
	important chan line
	routine   chan line
	budget    *rate.Limiter
	dropped   atomic.Int64
	stop      chan struct{}
	done      chan struct{}
}

func newService() *service {
	s := &service{
		logger:    logrus.New(),
		important: make(chan line, importantQueue),
		routine:   make(chan line, routineQueue),
		budget:    rate.NewLimiter(routinePerSecond, routineBurst),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	s.logger.SetOutput(os.Stdout)
	return s
}

func (s *service) Provision(c *kernel.Context) error {
	settings, err := kernel.Value[*api.Settings](c)
	if err != nil {
		return err
	}
	if out, err := kernel.Value[*Output](c); err == nil {
		s.logger.SetOutput(out.Writer)
	}
	if settings.Log.Format == "json" {
		s.logger.SetFormatter(&logrus.JSONFormatter{})
	}
	if settings.Log.Level == "" {
		return nil
	}
	level, err := logrus.ParseLevel(settings.Log.Level)
	if err != nil {
		return &LevelError{Level: settings.Log.Level}
	}
	s.logger.SetLevel(level)
	return nil
}

// Start begins to write.
func (s *service) Start(context.Context) error {
	go s.write()
	return nil
}

// Stop writes what is queued, within the deadline of ctx.
func (s *service) Stop(ctx context.Context) error {
	close(s.stop)
	select {
	case <-s.done:
	case <-ctx.Done():
	}
	return nil
}

// Change queues a line for a change of state.
func (s *service) Change(event string, fields api.Fields) {
	s.queue(s.important, line{at: time.Now(), event: event, fields: fields})
}

// Decision queues a line for a decision that touches a request.
func (s *service) Decision(event string, kind api.DecisionKind, fields api.Fields) {
	if kind != api.DecisionRoutine {
		s.Change(event, fields)
		return
	}
	if !s.budget.Allow() {
		s.dropped.Add(1)
		return
	}
	s.queue(s.routine, line{at: time.Now(), event: event, fields: fields})
}

func (s *service) queue(to chan line, l line) {
	select {
	case to <- l:
	default:
		s.dropped.Add(1)
	}
}

func (s *service) write() {
	defer close(s.done)
	report := time.NewTicker(droppedInterval)
	defer report.Stop()
	for {
		select {
		case l := <-s.important:
			s.emit(l)
		case l := <-s.routine:
			s.emit(l)
		case <-report.C:
			s.reportDropped()
		case <-s.stop:
			s.drain()
			return
		}
	}
}

func (s *service) drain() {
	for {
		select {
		case l := <-s.important:
			s.emit(l)
		case l := <-s.routine:
			s.emit(l)
		default:
			s.reportDropped()
			return
		}
	}
}

func (s *service) reportDropped() {
	if n := s.dropped.Swap(0); n > 0 {
		s.emit(line{at: time.Now(), event: "lines dropped", fields: api.Fields{"count": n}})
	}
}

func (s *service) emit(l line) {
	s.logger.WithTime(l.at).WithFields(logrus.Fields(l.fields)).Info(l.event)
}
