package confdir

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// Check writes the problems of a folder, one per line in the form
// "file:line: key: kind: message", or a summary if there are none. It returns an
// *EmptyError, the error of Load or a *WriteError.
func Check(w io.Writer, dir string) error {
	files, err := Read(dir)
	if err == nil && len(files) == 0 {
		err = &EmptyError{Path: dir}
		return errors.Join(err, write(w, err.Error()+"\n"))
	}
	result, err := Load(dir)
	var problems *config.Errors
	if errors.As(err, &problems) {
		return errors.Join(err, write(w, problems.Error()+"\n"))
	}
	if err != nil {
		return errors.Join(err, write(w, err.Error()+"\n"))
	}
	return write(w, formatSummary(result))
}

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
	return fmt.Sprintf("ok: digest %016x, %d members, %d zones, %d upstreams, %d services, %d models, %d groups, %d objectives\n",
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
