package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mulberryfork/mulberryfork/configreport"
	"github.com/mulberryfork/mulberryfork/decide/burn"
)

const (
	goodFolder = "../../confdir/testdata/good"
	badFolder  = "../../confdir/testdata/bad"
)

func runCommand(args ...string) (code int, out, err string) {
	var stdout, stderr bytes.Buffer
	code = run(args, streams{out: &stdout, err: &stderr})
	return code, stdout.String(), stderr.String()
}

// Guards against unintended changes of exit codes and output that operators' scripts
// parse, and against errors on standard output.
func TestCommandLine(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want int
	}{
		{"version", []string{"version"}, exitOK},
		{"help", []string{"--help"}, exitOK},
		{"check-good", []string{"check", goodFolder}, exitOK},
		{"check-bad", []string{"check", badFolder}, configreport.StatusErrors},
		{"check-json", []string{"check", "--json", goodFolder}, exitOK},
		{"check-against", []string{"check", "--against", "testdata/in-force", "testdata/next"}, exitOK},
		{"check-against-file", []string{"check", "--against", "testdata/in-force/10-base.toml", "testdata/in-force"}, exitOK},
		{"check-against-bad", []string{"check", "--against", badFolder, goodFolder}, configreport.StatusErrors},
		{"check-settings", []string{"check", "--settings", "testdata/settings/router.toml", "testdata/next"}, exitOK},
		{"check-no-folder", []string{"check", "none"}, exitUsage},
		{"explain", []string{"explain", goodFolder, "members.north.share"}, exitOK},
		{"explain-unknown", []string{"explain", goodFolder, "members.south"}, exitInvalid},
		{"no-command", nil, exitUsage},
		{"unknown-command", []string{"frobnicate"}, exitUsage},
		{"unknown-flag", []string{"version", "--verbose"}, exitUsage},
		{"unknown-experiment", []string{"bench", "nothing"}, exitUsage},
		{"router-wrong-settings", []string{"router", "testdata/settings/wrong.toml"}, exitInvalid},
		{"agent-wrong-settings", []string{"agent", "testdata/settings/wrong.toml"}, exitInvalid},
		{"burn-no-address", []string{"burn"}, exitUsage},
		{"burn-wrong-address", []string{"burn", "--from", "localhost:9100"}, exitUsage},
	}
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := runCommand(c.args...)
			if code != c.want {
				t.Errorf("exit code %d, want %d", code, c.want)
			}
			if (code == exitOK) != (stderr == "") || code != exitOK && stdout != "" {
				t.Errorf("output %q, errors %q", stdout, stderr)
			}
			text := fmt.Sprintf("exit code %d\n-- standard output\n%s-- standard error\n%s", code, stdout, stderr)
			goldie.New(t).Assert(t, c.name, []byte(strings.ReplaceAll(text, folder, ".")))
		})
	}
}

// Guards against exit statuses that scripts cannot rely on: warnings count only with
// --strict, and with --json errors are part of the object and not of standard error.
func TestCheckStatus(t *testing.T) {
	if code, stdout, stderr := runCommand("check", "--strict", goodFolder); code != configreport.StatusWarnings ||
		!strings.Contains(stdout, "warning: ") || stderr != "mulberryfork: configreport.WarningsError: the configuration has warnings\n" {
		t.Errorf("--strict: exit code %d, output %q, errors %q", code, stdout, stderr)
	}
	code, stdout, stderr := runCommand("check", "--json", badFolder)
	var report struct {
		Status   int
		Findings []struct{ Severity, Kind, Entry, File, Field string }
	}
	if err := json.Unmarshal([]byte(stdout), &report); err != nil || code != configreport.StatusErrors || stderr != "" ||
		report.Status != code || len(report.Findings) != 3 || report.Findings[1].Entry != "members.north" || report.Findings[1].Field != "zones" {
		t.Errorf("--json: exit code %d, output %q, errors %q, %v", code, stdout, stderr, err)
	}
}

// Guards against errors without a type, and against lines of a multi-line error
// without the prefix.
func TestEachErrorLineHasAType(t *testing.T) {
	for _, args := range [][]string{{"check", badFolder}, {"router", "testdata/settings/wrong.toml"}, {"frobnicate"}} {
		_, _, stderr := runCommand(args...)
		for line := range strings.Lines(stderr) {
			parts := strings.SplitN(line, ": ", 3)
			if len(parts) != 3 || parts[0] != "mulberryfork" || !strings.Contains(parts[1], ".") {
				t.Errorf("%v: %q", args, line)
			}
		}
	}
}

// Guards against a demonstration that no longer works, interrupts requests or runs the
// retried booking twice.
func TestDemo(t *testing.T) {
	code, stdout, stderr := runCommand("demo")
	if code != exitOK || stderr != "" {
		t.Fatalf("exit code %d, errors %q", code, stderr)
	}
	for _, want := range []string{"request 9: complete response", "not a second run", "ledger_repeats=1", "stopped; no request was interrupted"} {
		if !strings.Contains(stdout, want) {
			t.Errorf("no %q in:\n%s", want, stdout)
		}
	}
}

// Guards against a report that fails because one of several routers is down, and
// against exit code 0 if no router could be read.
func TestBurnWithUnreadableRouter(t *testing.T) {
	vars, err := json.Marshal(map[string]any{"burn": burn.Published{Node: "router-1", Objectives: []burn.Objective{}}})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(vars) }))
	defer server.Close()
	stopped := httptest.NewServer(nil)
	stopped.Close()
	live, dead := address(server), address(stopped)
	page := filepath.Join(t.TempDir(), "burn.html")
	code, stdout, stderr := runCommand("burn", "--json", "--html", page, "--from", live+","+dead)
	var summary burn.Summary
	if err := json.Unmarshal([]byte(stdout), &summary); err != nil || code != exitOK || stderr != "" {
		t.Fatalf("exit code %d, %v, errors %q", code, err, stderr)
	}
	for _, r := range summary.Routers {
		if r.Read != (r.Address == live) || r.Read != (r.Reason == "") {
			t.Errorf("%+v", r)
		}
	}
	html, err := os.ReadFile(page)
	if err != nil || !bytes.Contains(html, []byte("router "+dead)) {
		t.Errorf("the page does not list the unreadable router: %v", err)
	}
	code, _, stderr = runCommand("burn", "--from", dead)
	if code != exitFailed || stderr != "mulberryfork: burnreport.NoRouterError: none of 1 routers could be read\n" {
		t.Errorf("only an unreadable router: exit code %d, %q", code, stderr)
	}
	code, _, stderr = runCommand("burn", "--html", t.TempDir(), "--from", live)
	if code != exitFailed || !strings.HasPrefix(stderr, "mulberryfork: main.FileError: ") {
		t.Errorf("unwritable file: exit code %d, %q", code, stderr)
	}
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
