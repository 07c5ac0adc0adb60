// Package configreport writes the result of a check of a configuration as text or JSON.
package configreport

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/configcheck"
	"github.com/mulberryfork/mulberryfork/decide/connbudget"
	"github.com/mulberryfork/mulberryfork/decide/settings"
)

// Exit statuses of a check; docs/operators/commands.md documents them.
const (
	StatusWarnings = 1
	StatusErrors   = 2
)

// Report is the result of a check.
type Report struct {
	Findings []configcheck.Finding
	// Compared is true if the configuration was compared with another one.
	Compared    bool
	Differences []configcheck.Difference
	// Summary counts the entries of the configuration.
	Summary string
}

// Options selects the format and the exit status.
type Options struct {
	JSON bool `help:"Print one JSON object instead of text."`
	// Strict makes warnings set the exit status.
	Strict   bool   `help:"Exit with status 1 if there are warnings."`
	Settings string `placeholder:"FILE" help:"Settings file of a process that will use the configuration, to check limits against."`
}

// Process returns the settings to check against, nil if no file is named. The error is a
// *StatusError.
func (o Options) Process(role settings.Role) (*configcheck.Process, error) {
	if o.Settings == "" {
		return nil, nil
	}
	data, err := os.ReadFile(o.Settings)
	if err != nil {
		return nil, &StatusError{Status: StatusErrors, Err: err}
	}
	s, errs := settings.Read(o.Settings, data, role)
	if errs != nil {
		return nil, &StatusError{Status: StatusErrors, Err: errs}
	}
	return processOf(s, role), nil
}

func processOf(s *api.Settings, role settings.Role) *configcheck.Process {
	return &configcheck.Process{
		StopDeadline: time.Duration(s.StopDeadline),
		BodyBytes:    connbudget.Derive(s.MemoryLimitMB(), 0).Bytes,
		NoRetries:    role == settings.Edge && s.Edge.RetryRatio == 0 && s.Edge.RetryExtra == 0,
	}
}

// StatusError sets the exit status of a command. Err is nil if its output states the reason
// already.
type StatusError struct {
	Status int
	Err    error
}

func (e *StatusError) Error() string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}

// Unwrap returns the reason.
func (e *StatusError) Unwrap() error { return e.Err }

// ExitCode returns the exit status.
func (e *StatusError) ExitCode() int { return e.Status }

// WarningsError reports warnings under --strict.
type WarningsError struct{}

func (*WarningsError) Error() string { return "the configuration has warnings" }

// Write writes a report: as text, warnings and differences, the errors being left to the
// returned error; as JSON, everything. It returns nil, an error of w, or a *StatusError.
func Write(w io.Writer, r Report, o Options) error {
	failure := r.failure(o.Strict)
	var err error
	if o.JSON {
		err = writeJSON(w, r, failure)
	} else {
		_, err = io.WriteString(w, r.text())
	}
	if err != nil || failure == nil {
		return err
	}
	if o.JSON {
		failure.Err = nil
	}
	return failure
}

func (r Report) failure(strict bool) *StatusError {
	if err := configcheck.Refusal(r.Findings, math.MaxInt); err != nil {
		return &StatusError{Status: StatusErrors, Err: err}
	}
	if strict && len(r.Findings) > 0 {
		return &StatusError{Status: StatusWarnings, Err: &WarningsError{}}
	}
	return nil
}

func (r Report) text() string {
	var b strings.Builder
	refused := false
	for _, f := range r.Findings {
		if f.Severity == configcheck.Error {
			refused = true
			continue
		}
		fmt.Fprintf(&b, "warning: %s\n", f)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(&b, "%s\n", d)
	}
	if r.Compared && len(r.Differences) == 0 && !refused {
		b.WriteString("no differences\n")
	}
	if !refused {
		fmt.Fprintf(&b, "ok: %s\n", r.Summary)
	}
	return b.String()
}

type document struct {
	Status   int                   `json:"status"`
	Summary  string                `json:"summary"`
	Findings []configcheck.Finding `json:"findings"`
	// Differences is null if nothing was compared.
	Differences []configcheck.Difference `json:"differences"`
}

func writeJSON(w io.Writer, r Report, failure *StatusError) error {
	d := document{Summary: r.Summary, Findings: append([]configcheck.Finding{}, r.Findings...)}
	if failure != nil {
		d.Status = failure.Status
	}
	if r.Compared {
		d.Differences = append([]configcheck.Difference{}, r.Differences...)
	}
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(d)
}
