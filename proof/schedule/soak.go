package schedule

import (
	"fmt"
	"io"
	"os"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/process"
)

// Soaked is the record of one deployment, and the verdicts on it.
type Soaked struct {
	Deployment string
	Record     proof.Record
	Verdicts   []proof.Verdict
	// Steps counts faults and operations.
	Steps int
}

// NewDir makes a folder for the settings and logs of a run.
func NewDir(deployment string) (string, error) {
	dir, err := os.MkdirTemp("", "mulberryfork-soak")
	if err != nil {
		return "", &process.Error{Name: deployment, Err: err}
	}
	return dir, nil
}

// CleanUp removes the folder of a run without violations; one with any keeps its
// logs.
func (s Soaked) CleanUp(dir string, progress io.Writer) {
	for _, v := range s.Verdicts {
		if len(v.Judge(s.Record)) > 0 {
			fmt.Fprintf(progress, "%s: settings and logs are kept in %s\n", s.Deployment, dir)
			return
		}
	}
	_ = os.RemoveAll(dir)
}
