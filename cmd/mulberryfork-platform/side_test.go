package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/settings"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

// TestPollingSkipsConfiguration guards against a side process that reads a large
// configuration in each poll of the upstream list. These reads saturated its network
// link, so that the process could not read the reports of its group for over a
// second each time. It must still read a configuration that is first published
// after its start.
func TestPollingSkipsConfiguration(t *testing.T) {
	store := platformstore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	text := sideSettings(server.Listener.Addr().String(), "127.0.0.1:1", "10ms") + "config_poll = \"1h\"\n"
	services := []string{api.ServiceLog, api.ServiceMetrics, api.ServiceDiscovery, api.ServicePlatformStore}
	process := startProcess(t, settings.Side, text, services, func(*kernel.Registry) error { return nil })
	awaitListReads := func(n int) {
		before := store.ListCalls("servers/")
		if !waitFor(func() bool { return store.ListCalls("servers/") >= before+n }) {
			t.Fatal("the list of upstreams was not read in time")
		}
	}
	awaitListReads(3)
	store.Put("op/config", fmt.Appendf(nil, configFormat, 1, 1))
	d, err := kernel.Find[api.Discovery](process.Host, api.ServiceDiscovery)
	if err != nil {
		t.Fatal(err)
	}
	if !waitFor(func() bool { return d.View().Table != nil }) {
		t.Fatal("a configuration published after the start was not read in time")
	}
	before := store.ListCalls("op/")
	awaitListReads(5)
	if n := store.ListCalls("op/") - before; n > 0 {
		t.Errorf("%d further reads of the configuration, want none", n)
	}
}

// Guards against a side process that ends because its own engine reports a rank outside of
// its group.
func TestRankOutsideOfGroupDoesNotEndSideProcess(t *testing.T) {
	store := platformstore.New()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Put("op/config", fmt.Appendf(nil, configFormat, 1, 1))
	// The rank equals the size of the group in the first reports.
	const size, outsideReports = 3, 10
	var reports atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		rank := 0
		if reports.Add(1) <= outsideReports {
			rank = size
		}
		fmt.Fprintf(w, `{"group":{"name":"g","epoch":1,"rank":%d,"lifecycleState":"open"},"size":%d,"step":1,"pace":1}`, rank, size)
	}))
	t.Cleanup(engine.Close)
	text := sideSettings(storeServer.Listener.Addr().String(), engine.Listener.Addr().String(), "10ms") + "config_poll = \"10ms\"\n"
	startProcess(t, settings.Side, text, sideServices, func(*kernel.Registry) error { return nil })
	if !waitFor(func() bool { return reports.Load() >= 2*outsideReports }) {
		t.Errorf("%d reports were read, want the sound ones after the first %d", reports.Load(), outsideReports)
	}
}
