package confdir

import (
	"fmt"
	"io"
	"strings"

	"github.com/mulberryfork/mulberryfork/configreport"
	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/decide/configcheck"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// Check checks a folder. Its result is nil if the folder has errors, which are among the
// findings. It returns an *EmptyError, a *ReadError or a *TooLargeError. p is nil if the
// settings of the processes are unknown.
func Check(dir string, p *configcheck.Process) (*config.Result, configreport.Report, error) {
	files, err := Read(dir)
	if err == nil && len(files) == 0 {
		err = &EmptyError{Path: dir}
	}
	if err != nil {
		return nil, configreport.Report{}, err
	}
	result, errs := config.Merge(files)
	if errs != nil {
		return nil, configreport.Report{Findings: config.Findings(errs)}, nil
	}
	return result, configreport.Report{Findings: configcheck.Check(result.Model(), p), Summary: formatSummary(result)}, nil
}

// Compare adds the differences from the configuration in another folder or file to the
// report of a result. It returns an *AgainstError.
func Compare(report *configreport.Report, result *config.Result, against string) error {
	before, err := Load(against)
	if err != nil {
		return &AgainstError{Path: against, Err: err}
	}
	report.Compared, report.Differences = true, configcheck.Diff(before.Model(), result.Model())
	return nil
}

// AgainstError reports that the configuration to compare with cannot be read or is invalid.
type AgainstError struct {
	Path string
	Err  error
}

func (e *AgainstError) Error() string {
	return "cannot compare with " + e.Path + ": " + e.Err.Error()
}

// Unwrap returns the error of Load.
func (e *AgainstError) Unwrap() error { return e.Err }

// Explain writes the value of a key, the file and line that set it, and the files and
// lines whose values it overrides. For a table, it does so for each key in it. It
// returns the error of Load, or a *config.UnknownKeyError.
func Explain(w io.Writer, dir, key string) error {
	result, err := Load(dir)
	if err != nil {
		return err
	}
	found, err := result.Explain(key)
	if err != nil {
		return err
	}
	var b strings.Builder
	for _, e := range found {
		b.WriteString(formatExplanation(e))
	}
	return write(w, b.String())
}

// WriteError reports an error while writing the output.
type WriteError struct{ Err error }

func (e *WriteError) Error() string { return "cannot write the result: " + e.Err.Error() }

// Unwrap returns the error of the writer.
func (e *WriteError) Unwrap() error { return e.Err }

func write(w io.Writer, text string) error {
	if _, err := io.WriteString(w, text); err != nil {
		return &WriteError{Err: err}
	}
	return nil
}

func formatSummary(r *config.Result) string {
	c := r.Config
	return fmt.Sprintf("digest %016x, %d members, %d zones, %d upstreams, %d services, %d models, %d groups, %d objectives",
		r.Digest, len(c.Members), len(c.Zones), len(c.Upstreams), len(c.Services), len(c.Models), len(c.Groups), len(c.Objectives))
}

func formatExplanation(e config.Explanation) string {
	if e.Default {
		return fmt.Sprintf("%s = %s (default)\n", e.Key, e.Value)
	}
	text := fmt.Sprintf("%s = %s (%s)\n", e.Key, e.Value, formatOrigin(e.Origin))
	for _, o := range e.Overridden {
		text += fmt.Sprintf("  overrides %s\n", formatOrigin(o))
	}
	return text
}

func formatOrigin(o tomltree.Origin) string { return fmt.Sprintf("%s:%d", o.File, o.Line) }
