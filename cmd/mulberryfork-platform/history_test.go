package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/settings"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

// Guards against a store that answers that it has dropped its history and is taken for one that
// can't be read, so that removals are applied late.
func TestDroppedHistoryIsNoFailureToReachStore(t *testing.T) {
	f := newFixture(t)
	reader, writer := io.Pipe()
	lines := make(chan map[string]any, 100)
	go func() {
		for scanner := bufio.NewScanner(reader); scanner.Scan(); {
			var line map[string]any
			if json.Unmarshal(scanner.Bytes(), &line) == nil {
				lines <- line
			}
		}
	}()
	text := edgeSettings("n2", f.storeAddress, "", 200) + "[log]\nformat = \"json\"\nlevel = \"info\"\n"
	process := startLoggingProcess(t, settings.Edge, text, edgeServices, func(*kernel.Registry) error { return nil }, writer)
	f.useProcess(process)
	f.awaitReady()
	lists := f.store.ListCalls("servers/")
	dropHistory(f.store, func() { f.store.Put("op/config", fmt.Appendf(nil, configFormat, 2, 1)) })
	f.awaitView(func(v *api.View) bool { return v.Table.Version == 2 })
	if f.store.ListCalls("servers/") == lists {
		t.Error("the history was not missed")
	}
	for line := range lines {
		switch {
		case line["msg"] == "platform store unreachable":
			t.Errorf("%v", line)
		case line["msg"] == "view changed" && line["config"] == 2.0:
			return
		}
	}
}

// dropHistory makes a change that no watch returns before it is dropped from the history.
func dropHistory(s *platformstore.Store, change func()) {
	s.SetEventsSuppressed(true)
	change()
	s.Compact()
	s.SetEventsSuppressed(false)
}
