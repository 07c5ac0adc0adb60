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
	serviceNamePattern  = regexp.MustCompile(`(Service[A-Za-z]+) += "([a-z.]+)"`)
	registrationPattern = regexp.MustCompile(`\.Register\(api\.(Service[A-Za-z]+)`)
	lookupPattern       = regexp.MustCompile(`kernel\.Lookup[^(]*\(\w+, api\.(Service[A-Za-z]+)`)
	mailboxPattern      = regexp.MustCompile(`kernel\.NewMailbox\([^"]*"([a-z.]+)"`)
	metricPattern       = regexp.MustCompile(`etrics\.(?:Counter|Gauge|Observe)\("([a-z_]+)"`)
)

// Guards against services with a missing or outdated README. It must list the name
// of the service, the services that it looks up, its mailboxes and its metrics.
func TestServiceReadmesAreComplete(t *testing.T) {
	names := make(map[string]string)
	for _, m := range serviceNamePattern.FindAllStringSubmatch(read(t, "../api/names.go"), -1) {
		names[m[1]] = m[2]
	}
	folders, err := filepath.Glob("../service/*")
	if err != nil || len(folders) == 0 {
		t.Fatalf("found %d service folders, error %v", len(folders), err)
	}
	documented := make(map[string]bool)
	for _, folder := range folders {
		readme := read(t, filepath.Join(folder, "README.md"))
		source := sources(t, folder)
		for _, m := range registrationPattern.FindAllStringSubmatch(source, -1) {
			expectText(t, folder, readme, "Registered as: `"+names[m[1]]+"`")
			documented[names[m[1]]] = true
		}
		for _, m := range lookupPattern.FindAllStringSubmatch(source, -1) {
			expectText(t, folder, readme, "`"+names[m[1]]+"`")
		}
		for _, m := range append(mailboxPattern.FindAllStringSubmatch(source, -1), metricPattern.FindAllStringSubmatch(source, -1)...) {
			expectText(t, folder, readme, "`"+m[1]+"`")
		}
	}
	for _, name := range append(daemon.RouterServices(), daemon.AgentServices()...) {
		if !documented[name] {
			t.Errorf("no README documents service %s", name)
		}
	}
}

func expectText(t *testing.T, folder, readme, text string) {
	t.Helper()
	if !strings.Contains(readme, text) {
		t.Errorf("%s/README.md does not contain %s", folder, text)
	}
}

// sources returns the concatenated Go files of a folder, without tests.
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
