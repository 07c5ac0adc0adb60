package main

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/daemon"
	"github.com/mulberryfork/mulberryfork/decide/settings"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/log"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

// Guards against a side process that reads a large configuration with each list of
// upstreams. That saturated its network link, and its group was not read for over a
// second each time. The first configuration may be published after the process
// started.
func TestPollingSkipsConfiguration(t *testing.T) {
	store := platformstore.New()
	server := httptest.NewServer(store)
	defer server.Close()
	text := fmt.Sprintf(`node = "n"
zone = "z"
[listen]
link = "127.0.0.1:0"
admin = "127.0.0.1:0"
[edge]
store = %q
worker = "127.0.0.1:1"
service = "svc"
poll = "10ms"
config_poll = "1h"
`, server.Listener.Addr())
	loaded, problems := settings.Read("test", []byte(text), settings.Side)
	if problems != nil {
		t.Fatal(problems)
	}
	r, err := registry()
	if err != nil {
		t.Fatal(err)
	}
	names := []string{api.ServiceLog, api.ServiceMetrics, api.ServiceDiscovery, api.ServicePlatformStore}
	process, err := daemon.StartWith(t.Context(), r, names, loaded, &log.Output{Writer: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = process.Stop(context.Background()) }()
	awaitReads := func(more int) {
		begin := store.ListCalls("servers/")
		if !poll(func() bool { return store.ListCalls("servers/") >= begin+more }) {
			t.Fatal("the list of upstreams is not read")
		}
	}
	awaitReads(3)
	store.Put("op/config", fmt.Appendf(nil, config, 1, 1))
	d, err := kernel.Find[api.Discovery](process.Host, api.ServiceDiscovery)
	if err != nil {
		t.Fatal(err)
	}
	if !poll(func() bool { return d.View().Table != nil }) {
		t.Fatal("a configuration published after the start is not read")
	}
	before := store.ListCalls("op/")
	awaitReads(5)
	if n := store.ListCalls("op/") - before; n > 0 {
		t.Errorf("the configuration was read %d times again", n)
	}
}
