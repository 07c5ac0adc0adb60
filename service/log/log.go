// Package log writes a line for each change of state. Events that happen with
// every request are counted instead, see package metrics.
package log

import (
	"io"

	"github.com/sirupsen/logrus"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Output is where lines go; a host value that replaces standard error.
type Output struct{ io.Writer }

// LevelError reports a log level that does not exist.
type LevelError struct{ Level string }

func (e *LevelError) Error() string { return "no log level " + e.Level }

type service struct{ logger *logrus.Logger }

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

// Change writes one line.
func (s *service) Change(event string, fields api.Fields) {
	s.logger.WithFields(logrus.Fields(fields)).Info(event)
}
