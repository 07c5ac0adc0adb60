package integration_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the program that all pools of this package run. It is built once.
var binary string

func TestMain(m *testing.M) { os.Exit(build(m)) }

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mulberryfork")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "mulberryfork")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/mulberryfork/mulberryfork/cmd/mulberryfork").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
