package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/daemon"
	"github.com/mulberryfork/mulberryfork/decide/settings"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/log"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

const configFormat = `{"version":%d,"routes":[
{"name":"s","host":"h.example","prefix":"/s/","kind":"streaming","timeoutMs":4000,"service":"svc","maxAttempts":2,"streamResumption":true},
{"name":"u","host":"h.example","prefix":"/u/","kind":"non_idempotent","timeoutMs":4000,"service":"svc","maxAttempts":1},
{"name":"i","host":"h.example","prefix":"/i/","kind":"idempotent","timeoutMs":4000,"service":"svc","maxAttempts":2}],
"services":[{"name":"svc","connectionLimit":100}],
"limits":{"maxBodyBytes":100000},"tenants":[{"name":"m","apiKeys":["key%d"]}]}`

// transport is not http.DefaultTransport: each httptest.Server closes the idle connections of
// that one at its end, also those that requests of parallel tests are about to use.
var (
	transport = &http.Transport{}
	client    = &http.Client{Transport: transport}
)

// fixture is an edge process with a store and two upstreams.
type fixture struct {
	t     *testing.T
	store *platformstore.Store
	// storeAddress is the address of the store.
	storeAddress string
	workers      []*platformworker.Worker
	addresses    map[string]string
	process      *daemon.Process
	http         string
	ready        string
	lastRequest  int
}

func newFixture(t *testing.T) *fixture { return newFixtureWithRetryBudget(t, 200) }

// newFixtureWithRetryBudget sets the number of retries that the budget allows. The
// budget does not grow with the number of requests.
func newFixtureWithRetryBudget(t *testing.T, retries int) *fixture {
	t.Helper()
	f := &fixture{t: t, store: platformstore.New(), addresses: make(map[string]string)}
	storeServer := httptest.NewServer(f.store)
	t.Cleanup(storeServer.Close)
	once := &platformworker.Once{}
	for _, id := range []string{"w1", "w2"} {
		w := &platformworker.Worker{InstanceID: id, Once: once}
		server := httptest.NewServer(w)
		t.Cleanup(server.Close)
		f.workers = append(f.workers, w)
		f.addresses[id] = server.Listener.Addr().String()
		f.register(id, server.Listener.Addr().String(), "available")
	}
	f.store.Put("op/config", fmt.Appendf(nil, configFormat, 1, 1))
	f.storeAddress = storeServer.Listener.Addr().String()
	f.process = startEdge(t, edgeSettings("n", f.storeAddress, "", retries))
	f.useProcess(f.process)
	f.awaitView(func(v *api.View) bool { return v.Table != nil && len(v.Instances) == 2 })
	f.awaitReady()
	return f
}

// edgeSettings returns the settings file of an edge. seeds is a line of settings, or
// empty.
func edgeSettings(node, store, seeds string, retries int) string {
	return fmt.Sprintf(`node = %q
zone = "z"
stop_deadline = "3s"
drain_delay = "10ms"
[listen]
http = "127.0.0.1:0"
link = "127.0.0.1:0"
admin = "127.0.0.1:0"
[edge]
%sstore = %q
ready = "127.0.0.1:0"
revocation = "5s"
retry_ratio = 0.0
retry_extra = %d
retry_window = "10s"
cold_overshoot = 1.5
cold_tolerance = 5.0
`, node, seeds, store, retries)
}

// startEdge starts an edge process with the text of a settings file.
func startEdge(t *testing.T, text string) *daemon.Process {
	t.Helper()
	return startProcess(t, settings.Edge, text, edgeServices, func(*kernel.Registry) error { return nil })
}

// startProcess starts some services of a role with the text of a settings file. change changes
// the registry before. The process is stopped at the end of the test.
func startProcess(t testing.TB, role settings.Role, text string, services []string, change func(*kernel.Registry) error) *daemon.Process {
	t.Helper()
	return startLoggingProcess(t, role, text, services, change, io.Discard)
}

// startLoggingProcess is startProcess with the log written to w.
func startLoggingProcess(t testing.TB, role settings.Role, text string, services []string, change func(*kernel.Registry) error, w io.Writer) *daemon.Process {
	t.Helper()
	loaded, problems := settings.Read("test", []byte(text), role)
	if problems != nil {
		t.Fatal(problems)
	}
	r, err := registry()
	if err != nil {
		t.Fatal(err)
	}
	if err := change(r); err != nil {
		t.Fatal(err)
	}
	process, err := daemon.StartWith(t.Context(), r, services, loaded, &log.Output{Writer: w})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = process.Stop(context.Background()) })
	return process
}

// sideSettings returns the settings of a side process. The text of further keys of its last
// table can be appended.
func sideSettings(store, worker, poll string) string {
	return fmt.Sprintf(`node = "side"
zone = "z"
[listen]
link = "127.0.0.1:0"
admin = "127.0.0.1:0"
[edge]
store = %q
worker = %q
service = "svc"
poll = %q
`, store, worker, poll)
}

func (f *fixture) address(id string) string { return f.addresses[id] }

func (f *fixture) register(id, address, state string) {
	f.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":"svc","address":%q,"availabilityZone":"z","version":"v1",
"capacitySlots":4,"lifecycleState":%q,"coldRemainingMs":0,"sequenceNumber":1}`, address, state))
}

// awaitView waits until the view of the process meets a condition.
func (f *fixture) awaitView(condition func(*api.View) bool) {
	f.t.Helper()
	d, err := kernel.Find[api.Discovery](f.process.Host, api.ServiceDiscovery)
	if err != nil {
		f.t.Fatal(err)
	}
	if !waitFor(func() bool { return condition(d.View()) }) {
		f.t.Fatalf("timeout; the view is %+v", d.View())
	}
}

// awaitReady waits until the process is ready. The view alone is not enough: the
// process accepts API keys only if it knows the age of the view, which is published
// later.
func (f *fixture) awaitReady() {
	f.t.Helper()
	ready := func() bool {
		response, err := client.Get("http://" + f.ready + "/-/readiness")
		if err != nil {
			f.t.Fatal(err)
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	if !waitFor(ready) {
		f.t.Fatal("the process did not become ready in time")
	}
}

// waitFor waits until a condition is met. It returns false on timeout.
func waitFor(condition func() bool) bool {
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline:
			return false
		}
	}
	return true
}

// send sends a request and returns the response, its body and any error while
// reading it.
func (f *fixture) send(path, key, body string) (*http.Response, string, error) {
	f.t.Helper()
	f.lastRequest++
	r, err := http.NewRequest(http.MethodPost, "http://"+f.http+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Mulberryfork-Attempt-Id", fmt.Sprintf("id%d", f.lastRequest))
	r.Header.Set("X-Mulberryfork-Deadline-Remaining", "3000")
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Mulberryfork-Tenant-Name", "forged")
	response, err := transport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// runs returns how many times upstreams ran the last request.
func (f *fixture) runs() int {
	n := 0
	for _, w := range f.workers {
		n += w.Runs(fmt.Sprintf("id%d", f.lastRequest))
	}
	return n
}
