package main

import (
	"bytes"
	"errors"
	"testing"

	"github.com/mulberryfork/mulberryfork/decide/settings"
)

// Guards against showing operators a value that is not the effective one, or the
// wrong line, and against showing a misspelt key as unset.
func TestExplainSettings(t *testing.T) {
	data := []byte("node = \"n\"\nzone = \"z\"\n[edge]\nstore = \"10.0.0.1:80\"\nworker = \"10.0.0.2:80\"\npoll = \"3s\"\n")
	loaded, problems := settings.Read("side.toml", data, settings.Side)
	if problems != nil {
		t.Fatal(problems)
	}
	for key, want := range map[string]string{
		"edge.poll":     "edge.poll = \"3s\"  # side.toml:6\n",
		"stop_deadline": "stop_deadline = \"1m0s\"  # default\n",
		"edge.seeds":    "edge.seeds = []  # default\n",
	} {
		var out bytes.Buffer
		if err := explain(&out, loaded, "side.toml", data, key); err != nil || out.String() != want {
			t.Errorf("%s: %q, %v", key, out.String(), err)
		}
	}
	var unknown *UnknownKeyError
	if err := explain(&bytes.Buffer{}, loaded, "side.toml", data, "edge.pol"); !errors.As(err, &unknown) || unknown.Nearest != "edge.poll" {
		t.Errorf("a misspelt key: %v", err)
	}
	if err := explain(&bytes.Buffer{}, loaded, "side.toml", data, "edge"); !errors.As(err, &unknown) {
		t.Errorf("a table: %v", err)
	}
}
