package kernel_test

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/mulberryfork/mulberryfork/"

// allowedImports lists the top-level folders of this module that each layer may
// import. Layers that are not listed may import any.
var allowedImports = map[string][]string{
	"kernel":  {},
	"api":     {},
	"wire":    {"api", "kernel"},
	"decide":  {"api", "decide"},
	"service": {"api", "kernel", "decide", "wire", "confdir"},
	"standin": {"api", "standin", "kernel"},
	// The adapter translates names and encodings. It may use decisions but must
	// not import services.
	"platform": {"api", "kernel", "decide"},
}

// TestLayerImports guards against services that import the implementation of
// another service instead of looking it up by name, and against decision packages
// that use transport or I/O.
func TestLayerImports(t *testing.T) {
	for path, imports := range packageImports(t) {
		layer, _, _ := strings.Cut(path, "/")
		allowed, ok := allowedImports[layer]
		if !ok {
			continue
		}
		for _, imported := range imports {
			checkImport(t, path, layer, allowed, imported)
		}
	}
}

func checkImport(t *testing.T, path, layer string, allowed []string, imported string) {
	t.Helper()
	if layer == "decide" && isIOPackage(imported) {
		t.Errorf("%s imports %s: decision packages must not do I/O", path, imported)
	}
	name, inModule := strings.CutPrefix(imported, module)
	if !inModule {
		return
	}
	folder, _, _ := strings.Cut(name, "/")
	for _, a := range allowed {
		if a == folder {
			return
		}
	}
	t.Errorf("%s imports %s: not allowed in layer %s", path, name, layer)
}

func isIOPackage(path string) bool {
	switch path {
	case "net", "net/http", "os", "storj.io/drpc", "io/ioutil", "syscall":
		return true
	}
	return false
}

func packageImports(t *testing.T) map[string][]string {
	t.Helper()
	cmd := exec.Command("go", "list", "-f", "{{.ImportPath}}{{range .Imports}} {{.}}{{end}}", module+"...")
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	imports := make(map[string][]string)
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		path := strings.TrimPrefix(fields[0], module)
		imports[path] = fields[1:]
	}
	return imports
}
