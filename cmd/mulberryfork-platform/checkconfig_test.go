package main

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mulberryfork/mulberryfork/configreport"
	"github.com/mulberryfork/mulberryfork/platform"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

const checkFolder = "../../platform/testdata/check/"

// runCheck returns the exit status, output and errors of check-config.
func runCheck(c checkConfigCommand) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	if err := c.run(&out); err != nil {
		status = printError(&errs, err)
	}
	return status, out.String(), errs.String()
}

// Guards against exit statuses and output that scripts cannot rely on, and against JSON with
// other values than the text.
func TestCheckConfigCommand(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "edge.toml")
	text := "node = \"n\"\nzone = \"z\"\nstop_deadline = \"2s\"\n[edge]\nstore = \"10.0.0.1:80\"\nready = \"0.0.0.0:81\"\nrevocation = \"5s\"\nretry_window = \"10s\"\n"
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		command checkConfigCommand
		want    int
	}{
		"clean":     {checkConfigCommand{File: "before", Options: configreport.Options{Strict: true}}, 0},
		"same":      {checkConfigCommand{File: "same", Against: "before"}, 0},
		"old":       {checkConfigCommand{File: "before", Against: "same"}, configreport.StatusErrors},
		"against":   {checkConfigCommand{File: "after", Against: "before"}, 0},
		"settings":  {checkConfigCommand{File: "after", Options: configreport.Options{Settings: settings}}, 0},
		"strict":    {checkConfigCommand{File: "after", Options: configreport.Options{Settings: settings, Strict: true}}, configreport.StatusWarnings},
		"errors":    {checkConfigCommand{File: "types"}, configreport.StatusErrors},
		"no-diff":   {checkConfigCommand{File: "splits", Against: "before"}, configreport.StatusErrors},
		"json":      {checkConfigCommand{File: "types", Options: configreport.Options{JSON: true}}, configreport.StatusErrors},
		"json-diff": {checkConfigCommand{File: "after", Against: "before", Options: configreport.Options{JSON: true}}, 0},
		"unread":    {checkConfigCommand{File: "after", Against: "syntax"}, configreport.StatusErrors},
	} {
		t.Run(name, func(t *testing.T) {
			c.command.File = checkFolder + c.command.File + ".json"
			if c.command.Against != "" {
				c.command.Against = checkFolder + c.command.Against + ".json"
			}
			status, stdout, stderr := runCheck(c.command)
			if status != c.want {
				t.Errorf("exit status %d, want %d", status, c.want)
			}
			if strings.Contains(stdout+stderr, "secret") {
				t.Error("the output contains an API key")
			}
			goldie.New(t).Assert(t, "check-config-"+name, []byte(stdout+"-- standard error\n"+stderr))
		})
	}
}

// Guards against a comparison that writes to the store, takes another entry for the
// configuration, or hides that the store cannot be read.
func TestCheckConfigAgainstStore(t *testing.T) {
	store := platformstore.New()
	methods := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		methods[r.Method+" "+r.URL.Path]++
		store.ServeHTTP(w, r)
	}))
	defer server.Close()
	c := checkConfigCommand{File: checkFolder + "after.json", Against: server.Listener.Addr().String()}
	// The store returns these for the prefix as well, on two pages.
	for _, key := range []string{"op/config-1", "op/config-2", "op/config-3"} {
		store.Put(key, []byte("{}"))
	}
	var missing *platform.NotPublishedError
	if err := c.run(&bytes.Buffer{}); !errors.As(err, &missing) {
		t.Errorf("store without a configuration: %v", err)
	}
	before, err := os.ReadFile(checkFolder + "before.json")
	if err != nil {
		t.Fatal(err)
	}
	store.Put("op/config", before)
	_, fromFile, _ := runCheck(checkConfigCommand{File: c.File, Against: checkFolder + "before.json"})
	if status, stdout, stderr := runCheck(c); status != 0 || stdout != fromFile {
		t.Errorf("status %d, output %q, errors %q", status, stdout, stderr)
	}
	if len(methods) != 1 || methods["GET /-/kv-range"] == 0 {
		t.Errorf("calls to the store: %v", methods)
	}
	store.SetFailureStatus(http.StatusServiceUnavailable)
	var unread *platform.PublishedReadError
	if err := c.run(&bytes.Buffer{}); !errors.As(err, &unread) {
		t.Errorf("failing store: %v", err)
	}
}
