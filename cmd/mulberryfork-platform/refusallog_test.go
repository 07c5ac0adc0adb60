package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"testing"

	"github.com/mulberryfork/mulberryfork/decide/settings"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Guards against a refusal whose log line doesn't tell which configuration it follows: a
// configuration that is too old can't be told from a route or a key that was removed.
func TestRefusalByConfigurationNamesItsRead(t *testing.T) {
	f := newFixture(t)
	f.store.SetEra(7)
	reader, writer := io.Pipe()
	lines := make(chan map[string]any, 100)
	go func() {
		for scanner := bufio.NewScanner(reader); scanner.Scan(); {
			var line map[string]any
			if json.Unmarshal(scanner.Bytes(), &line) == nil && line["msg"] == "request failed" {
				lines <- line
			}
		}
	}()
	text := edgeSettings("n2", f.storeAddress, "", 200) + "[log]\nformat = \"json\"\nlevel = \"info\"\n"
	f.useProcess(startLoggingProcess(t, settings.Edge, text, edgeServices, func(*kernel.Registry) error { return nil }, writer))
	f.awaitReady()
	for _, c := range []struct {
		path, key string
		status    int
	}{{"/none/x", "key1", 404}, {"/u/x", "other", 401}} {
		response, _, err := f.send(c.path, c.key, "whole")
		if err != nil || response.StatusCode != c.status {
			t.Fatalf("%s with %s: %v, %v", c.path, c.key, response, err)
		}
		line := <-lines
		got := fmt.Sprint(line["status"], line["config"], line["config_era"], line["full"])
		if want := fmt.Sprint(c.status, 1, 7, true); got != want {
			t.Errorf("status, version, era and kind of read are %s, want %s", got, want)
		}
		for _, field := range []string{"config_revision", "config_age_ms", "view_age_ms"} {
			if value, ok := line[field].(float64); !ok || value < 0 || field == "config_revision" && value == 0 {
				t.Errorf("%s is %v", field, line[field])
			}
		}
	}
}
