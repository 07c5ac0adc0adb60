package daemon_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/mulberryfork/mulberryfork/daemon"
)

var (
	nameConstant = regexp.MustCompile(`(Service[A-Za-z]+) += "([a-z.]+)"`)
	registration = regexp.MustCompile(`\.Register\(api\.(Service[A-Za-z]+)`)
	lookup       = regexp.MustCompile(`kernel\.Lookup[^(]*\(\w+, api\.(Service[A-Za-z]+)`)
	mailbox      = regexp.MustCompile(`kernel\.NewMailbox\([^"]*"([a-z.]+)"`)
	metric       = regexp.MustCompile(`etrics\.(?:Counter|Gauge|Observe)\("([a-z_]+)"`)
)

// Guards against undocumented services: the README of a service must list its name,
// look-ups, mailboxes and metrics.
func TestEachServiceHasAReadme(t *testing.T) {
	names := make(map[string]string)
	for _, m := range nameConstant.FindAllStringSubmatch(read(t, "../api/names.go"), -1) {
		names[m[1]] = m[2]
	}
	folders, err := filepath.Glob("../service/*")
	if err != nil || len(folders) == 0 {
		t.Fatalf("%d service folders, %v", len(folders), err)
	}
	documented := make(map[string]bool)
	for _, folder := range folders {
		page := read(t, filepath.Join(folder, "README.md"))
		source := sources(t, folder)
		for _, m := range registration.FindAllStringSubmatch(source, -1) {
			expectText(t, folder, page, "Registered as: `"+names[m[1]]+"`")
			documented[names[m[1]]] = true
		}
		for _, m := range lookup.FindAllStringSubmatch(source, -1) {
			expectText(t, folder, page, "`"+names[m[1]]+"`")
		}
		for _, m := range append(mailbox.FindAllStringSubmatch(source, -1), metric.FindAllStringSubmatch(source, -1)...) {
			expectText(t, folder, page, "`"+m[1]+"`")
		}
	}
	for _, name := range append(daemon.RouterServices(), daemon.AgentServices()...) {
		if !documented[name] {
			t.Errorf("no README documents service %s", name)
		}
	}
}

func expectText(t *testing.T, folder, page, text string) {
	t.Helper()
	if !strings.Contains(page, text) {
		t.Errorf("%s/README.md does not contain %s", folder, text)
	}
}

// sources returns the Go code of a folder without tests.
func sources(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, f := range files {
		if !strings.HasSuffix(f, "_test.go") {
			b.WriteString(read(t, f))
		}
	}
	return b.String()
}

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
