package schedule

import (
	"fmt"
	"io"
	"os"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/process"
)

// SoakResult is the record of the soak of one deployment, and the checkers for it.
type SoakResult struct {
	Deployment string
	Record     proof.Record
	Checkers   []proof.Checker
	// Steps is the number of faults and operations.
	Steps int
}

// NewDir creates a temporary directory for the settings and logs of a run.
func NewDir(deployment string) (string, error) {
	dir, err := os.MkdirTemp("", "mulberryfork-soak")
	if err != nil {
		return "", &process.Error{Name: deployment, Err: err}
	}
	return dir, nil
}

// CleanUp removes the directory of a run without violations. After a run with
// violations, it keeps the directory for its logs.
func (s SoakResult) CleanUp(dir string, progress io.Writer) {
	for _, v := range s.Checkers {
		if len(v.Check(s.Record)) > 0 {
			fmt.Fprintf(progress, "%s: kept settings and logs in %s\n", s.Deployment, dir)
			return
		}
	}
	_ = os.RemoveAll(dir)
}
