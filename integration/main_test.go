package integration_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary and edgeBinary are the paths of the programs that the pools run. They
// are built once for the package.
var binary, edgeBinary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mulberryfork")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary, edgeBinary = filepath.Join(dir, "mulberryfork"), filepath.Join(dir, "mulberryfork-platform")
	out, err := exec.Command("go", "build", "-o", dir+"/", "github.com/mulberryfork/mulberryfork/cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building the programs failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
