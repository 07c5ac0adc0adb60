package schedule

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/process"
)

// SoakResult is the record of the soak of one deployment, and the checkers for it.
type SoakResult struct {
	Deployment string
	Record     proof.Record
	Checkers   []proof.Checker
	// Steps is the number of faults and operations that were applied.
	Steps int
	// Log returns what a process logged around a time. It is nil if that isn't shown.
	Log func(node string, at time.Duration) []string
}

// NewDir creates a temporary directory for the settings and logs of a soak and
// returns its path.
func NewDir(deployment string) (string, error) {
	dir, err := os.MkdirTemp("", "mulberryfork-soak")
	if err != nil {
		return "", &process.Error{Name: deployment, Err: err}
	}
	return dir, nil
}

// CleanUp removes the directory of a soak that found no violation. Otherwise it keeps
// the directory for its logs and writes its path to progress.
func (s SoakResult) CleanUp(dir string, progress io.Writer) {
	for _, c := range s.Checkers {
		if len(c.Check(s.Record)) > 0 {
			fmt.Fprintf(progress, "%s: kept settings and logs in %s\n", s.Deployment, dir)
			return
		}
	}
	_ = os.RemoveAll(dir)
}
