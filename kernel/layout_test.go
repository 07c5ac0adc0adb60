package kernel_test

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/mulberryfork/mulberryfork/"

// allowed lists what each layer may import from this module.
var allowed = map[string][]string{
	"kernel":  {},
	"api":     {},
	"wire":    {"api", "kernel"},
	"decide":  {"api", "decide"},
	"service": {"api", "kernel", "decide", "wire", "confdir"},
	"standin": {"api", "standin", "kernel"},
	// The adapter names and encodes; it may ask decisions but not services.
	"platform": {"api", "kernel", "decide"},
}

// TestLayersKeepApart guards against a service that imports another service's
// implementation instead of finding it by name, and against decisions that
// reach for transport or I/O.
func TestLayersKeepApart(t *testing.T) {
	for path, imports := range packages(t) {
		layer, _, _ := strings.Cut(path, "/")
		rule, ok := allowed[layer]
		if !ok {
			continue
		}
		for _, imported := range imports {
			checkImport(t, path, layer, rule, imported)
		}
	}
}

func checkImport(t *testing.T, path, layer string, rule []string, imported string) {
	t.Helper()
	if layer == "decide" && ioPackage(imported) {
		t.Errorf("%s imports %s: decisions do no I/O", path, imported)
	}
	inner, ours := strings.CutPrefix(imported, module)
	if !ours {
		return
	}
	target, _, _ := strings.Cut(inner, "/")
	for _, a := range rule {
		if a == target {
			return
		}
	}
	t.Errorf("%s imports %s, which the %s layer may not", path, inner, layer)
}

func ioPackage(path string) bool {
	switch path {
	case "net", "net/http", "os", "storj.io/drpc", "io/ioutil", "syscall":
		return true
	}
	return false
}

func packages(t *testing.T) map[string][]string {
	t.Helper()
	cmd := exec.Command("go", "list", "-f", "{{.ImportPath}}{{range .Imports}} {{.}}{{end}}", module+"...")
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	found := make(map[string][]string)
	for line := range strings.Lines(string(out)) {
		words := strings.Fields(line)
		path := strings.TrimPrefix(words[0], module)
		found[path] = words[1:]
	}
	return found
}
