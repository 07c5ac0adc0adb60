// Package log writes structured log lines: one for each state change of the process
// and one for each decision on a request.
//
// A goroutine writes the lines from bounded queues, so that slow output never blocks
// a caller. Lines on routine decisions are rate limited. Lines on state changes and
// failures have a separate queue. Lines that do not fit are dropped, and the number
// of dropped lines is logged.
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
	// importantQueueSize is enough for a burst of failures, routineQueueSize for a few
	// seconds of routine lines.
	importantQueueSize = 1024
	routineQueueSize   = 256
	// routinePerSecond limits the rate of routine lines. At about 20 us per line they
	// use 0.2% of a core.
	routinePerSecond = 100
	routineBurst     = 200
	// droppedInterval is the time between log lines with the number of dropped lines.
	droppedInterval = 5 * time.Second
)

// Output is a host value that replaces standard output as the destination of the
// log.
type Output struct{ io.Writer }

// LevelError reports an unknown log level.
type LevelError struct{ Level string }

func (e *LevelError) Error() string { return "unknown log level " + e.Level }

type line struct {
	at     time.Time
	event  string
	fields api.Fields
}

type service struct {
	logger         *logrus.Logger
	important      chan line
	routine        chan line
	routineLimiter *rate.Limiter
	dropped        atomic.Int64
	stop           chan struct{}
	done           chan struct{}
}

func newService() *service {
	s := &service{
		logger:         logrus.New(),
		important:      make(chan line, importantQueueSize),
		routine:        make(chan line, routineQueueSize),
		routineLimiter: rate.NewLimiter(routinePerSecond, routineBurst),
		stop:           make(chan struct{}),
		done:           make(chan struct{}),
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

// Start starts the writer goroutine.
func (s *service) Start(context.Context) error {
	go s.write()
	return nil
}

// Stop writes the queued lines. It returns once they are written or ctx ends.
func (s *service) Stop(ctx context.Context) error {
	close(s.stop)
	select {
	case <-s.done:
	case <-ctx.Done():
	}
	return nil
}

// Change queues a line on a state change, or drops it if the queue is full.
func (s *service) Change(event string, fields api.Fields) {
	s.enqueue(s.important, line{at: time.Now(), event: event, fields: fields})
}

// Decision queues a line on a decision on a request. Routine lines above the rate
// limit are dropped.
func (s *service) Decision(event string, kind api.DecisionKind, fields api.Fields) {
	if kind != api.DecisionRoutine {
		s.Change(event, fields)
		return
	}
	if !s.routineLimiter.Allow() {
		s.dropped.Add(1)
		return
	}
	s.enqueue(s.routine, line{at: time.Now(), event: event, fields: fields})
}

func (s *service) enqueue(queue chan line, l line) {
	select {
	case queue <- l:
	default:
		s.dropped.Add(1)
	}
}

func (s *service) write() {
	defer close(s.done)
	ticker := time.NewTicker(droppedInterval)
	defer ticker.Stop()
	for {
		select {
		case l := <-s.important:
			s.emit(l)
		case l := <-s.routine:
			s.emit(l)
		case <-ticker.C:
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
