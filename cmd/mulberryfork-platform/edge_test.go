package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
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

const config = `{"version":%d,"routes":[
{"name":"s","host":"h.example","prefix":"/s/","kind":"streaming","timeoutMs":4000,"service":"svc","maxAttempts":2,"streamResumption":true},
{"name":"u","host":"h.example","prefix":"/u/","kind":"non_idempotent","timeoutMs":4000,"service":"svc","maxAttempts":1},
{"name":"i","host":"h.example","prefix":"/i/","kind":"idempotent","timeoutMs":4000,"service":"svc","maxAttempts":2}],
"services":[{"name":"svc","connectionLimit":100}],
"limits":{"maxBodyBytes":100000},"tenants":[{"name":"m","apiKeys":["key%d"]}]}`

// bed is one edge with a store and two upstreams.
type bed struct {
	t       *testing.T
	store   *platformstore.Store
	workers []*platformworker.Worker
	process *daemon.Process
	http    string
	ready   string
	next    int
}

func newBed(t *testing.T) *bed { return newBedWithRetries(t, 200) }

// newBedWithRetries has a budget of repeats beside a part of the requests.
func newBedWithRetries(t *testing.T, extra int) *bed {
	t.Helper()
	b := &bed{t: t, store: platformstore.New()}
	storeServer := httptest.NewServer(b.store)
	t.Cleanup(storeServer.Close)
	once := &platformworker.Once{}
	for _, id := range []string{"w1", "w2"} {
		w := &platformworker.Worker{InstanceID: id, Once: once}
		server := httptest.NewServer(w)
		t.Cleanup(server.Close)
		b.workers = append(b.workers, w)
		b.register(id, server.Listener.Addr().String(), "available")
	}
	b.store.Put("op/config", fmt.Appendf(nil, config, 1, 1))
	text := fmt.Sprintf(`node = "n"
zone = "z"
stop_deadline = "3s"
drain_delay = "10ms"
[listen]
http = "127.0.0.1:0"
link = "127.0.0.1:0"
admin = "127.0.0.1:0"
[edge]
store = %q
ready = "127.0.0.1:0"
revocation = "5s"
retry_ratio = 0.0
retry_extra = %d
retry_window = "10s"
cold_overshoot = 1.5
cold_tolerance = 5.0
`, storeServer.Listener.Addr(), extra)
	loaded, problems := settings.Read("test", []byte(text), settings.Edge)
	if problems != nil {
		t.Fatal(problems)
	}
	r, err := registry()
	if err != nil {
		t.Fatal(err)
	}
	if b.process, err = daemon.StartWith(t.Context(), r, edgeServices, loaded, &log.Output{Writer: io.Discard}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.process.Stop(context.Background()) })
	if b.http, err = b.process.Address(api.ServiceFrontendHTTP); err != nil {
		t.Fatal(err)
	}
	if b.ready, err = b.process.Address(api.ServicePlatformReady); err != nil {
		t.Fatal(err)
	}
	b.await(func(v *api.View) bool { return v.Table != nil && len(v.Instances) == 2 })
	b.awaitReady()
	return b
}

func (b *bed) register(id, address, state string) {
	b.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":"svc","address":%q,"availabilityZone":"z","version":"v1",
"capacitySlots":4,"lifecycleState":%q,"coldRemainingMs":0,"sequenceNumber":1}`, address, state))
}

// await waits until the process believes something.
func (b *bed) await(holds func(*api.View) bool) {
	b.t.Helper()
	d, err := kernel.Find[api.Discovery](b.process.Host, api.ServiceDiscovery)
	if err != nil {
		b.t.Fatal(err)
	}
	if !poll(func() bool { return holds(d.View()) }) {
		b.t.Fatalf("the process still believes %+v", d.View())
	}
}

// awaitReady waits until the process accepts API keys: the age of its view is
// published after the view.
func (b *bed) awaitReady() {
	b.t.Helper()
	ready := func() bool {
		answer, err := http.Get("http://" + b.ready + "/-/readiness")
		if err != nil {
			b.t.Fatal(err)
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}
	if !poll(ready) {
		b.t.Fatal("the process does not get ready")
	}
}

// poll asks until something holds, and returns false if it does not get to.
func poll(holds func() bool) bool {
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-deadline:
			return false
		}
	}
	return true
}

// send sends a request and returns its status, header and body, and the error
// of an answer that broke off.
func (b *bed) send(path, key, body string) (*http.Response, string, error) {
	b.t.Helper()
	b.next++
	r, err := http.NewRequest(http.MethodPost, "http://"+b.http+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Mulberryfork-Attempt-Id", fmt.Sprintf("id%d", b.next))
	r.Header.Set("X-Mulberryfork-Deadline-Remaining", "3000")
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Mulberryfork-Tenant-Name", "forged")
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return answer, string(data), err
}

func (b *bed) runs() int {
	n := 0
	for _, w := range b.workers {
		n += w.Runs(fmt.Sprintf("id%d", b.next))
	}
	return n
}

const whole = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n"

// Guards against answers that are not the upstream's own or not whole, requests
// that run twice, and refusals that promise what is not so.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name, path, key, body string
		status                int
		text                  string
		runs                  int
	}{
		{"whole", "/u/x", "key1", platformworker.Complete, 200, "answer", 1},
		{"unknown key", "/u/x", "other", platformworker.Complete, 401, "", 0},
		{"unknown route", "/none/x", "key1", platformworker.Complete, 404, "", 0},
		{"refused, must not repeat", "/u/x", "key1", platformworker.Refuse, 503, "", 0},
		{"refused", "/i/x", "key1", platformworker.Refuse, 200, "answer", 1},
		{"failed, must not repeat", "/u/x", "key1", platformworker.Fail, 500, "failed", 1},
		{"failed", "/i/x", "key1", platformworker.Fail, 200, "answer", 2},
		{"truncated, must not repeat", "/u/x", "key1", platformworker.Truncated, 502, "", 1},
		{"truncated", "/i/x", "key1", platformworker.Truncated, 200, "answer", 2},
		{"reset, must not repeat", "/u/x", "key1", platformworker.Reset, 502, "", 1},
		{"reset", "/i/x", "key1", platformworker.Reset, 200, "answer", 2},
		{"unsigned", "/u/x", "key1", platformworker.Unsigned, 502, "", 1},
		{"of another request", "/u/x", "key1", platformworker.ForeignID, 502, "", 1},
		{"without a length", "/u/x", "key1", platformworker.Unframed, 200, "answer", 1},
		{"stream", "/s/x", "key1", platformworker.Stream, 200, whole, 1},
		{"stream broken off", "/s/x", "key1", platformworker.BreakStream, 200, whole, 2},
		{"stream broken off inside an event", "/s/x", "key1", platformworker.BreakMidEvent, 200, whole, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t)
			answer, text, err := b.send(c.path, c.key, c.body)
			if err != nil {
				t.Fatal(err)
			}
			if answer.StatusCode != c.status || c.text != "" && text != c.text {
				t.Errorf("%d %q, want %d %q", answer.StatusCode, text, c.status, c.text)
			}
			if signed := answer.Header.Get("X-Mulberryfork-Response-Signature") != ""; signed != (c.text != "") {
				t.Errorf("signed: %v", signed)
			}
			if b.runs() != c.runs {
				t.Errorf("%d runs, want %d", b.runs(), c.runs)
			}
			if c.status == 503 && answer.Header.Get("Retry-After") == "" {
				t.Error("no time to come back")
			}
		})
	}
}

// Guards against repeats beside the budget: a request that reaches another
// upstream at an address is an arrival there.
func TestAMisplacedRequestCountsAsASend(t *testing.T) {
	b := newBedWithRetries(t, 0)
	for _, w := range b.workers {
		w.InstanceID += "-new"
	}
	answer, _, err := b.send("/i/x", "key1", "whole")
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, %v", answer, err)
	}
	if n := b.workers[0].Arrivals() + b.workers[1].Arrivals(); n != 1 {
		t.Errorf("%d arrivals without a budget for repeats", n)
	}
}

// Guards against a member that a caller chose itself, and a key that leaks.
func TestUpstreamsGetTheMemberAndNotTheKey(t *testing.T) {
	b := newBed(t)
	if _, _, err := b.send("/u/x?q=1", "key1", "whole"); err != nil {
		t.Fatal(err)
	}
	for _, w := range b.workers {
		h := w.LastHeader()
		if h == nil {
			continue
		}
		if h.Get("X-Mulberryfork-Tenant-Name") != "m" || h.Get("X-Api-Key") != "" || h.Get("X-Mulberryfork-Expected-Instance") != w.InstanceID {
			t.Errorf("%v", h)
		}
	}
}

// Guards against work that goes on after its caller left.
func TestACallerThatLeavesEndsTheRun(t *testing.T) {
	b := newBed(t)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.http+"/i/x", strings.NewReader(platformworker.Hang))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Api-Key", "key1")
	r.Header.Set("X-Mulberryfork-Attempt-Id", "leaver")
	if answer, err := http.DefaultTransport.RoundTrip(r); err == nil {
		answer.Body.Close()
		t.Fatal("answered")
	}
	b.await(func(*api.View) bool { return b.workers[0].Disconnects()+b.workers[1].Disconnects() == 1 })
}

// awaitCalls waits until a store has got a number of further calls.
func awaitCalls(s *platformstore.Store, more int) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for begin := s.Calls(); s.Calls() < begin+more; {
		<-tick.C
	}
}

// Guards against changes that a watch did not tell, a history that is gone, and
// a configuration that goes back.
func TestChangesOfTheStore(t *testing.T) {
	for name, trouble := range map[string]func(*platformstore.Store, func()){
		"watched": func(_ *platformstore.Store, change func()) { change() },
		"while watches hear nothing": func(s *platformstore.Store, change func()) {
			s.SuppressEvents(true)
			change()
			// One watch ends without news and the next begins.
			awaitCalls(s, 2)
			s.SuppressEvents(false)
		},
		"with the history dropped": func(s *platformstore.Store, change func()) {
			s.SuppressEvents(true)
			change()
			s.Compact()
			s.SuppressEvents(false)
		},
		"while the store is down": func(s *platformstore.Store, change func()) {
			s.SetFailureStatus(http.StatusServiceUnavailable)
			change()
			s.SetFailureStatus(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			trouble(b.store, func() {
				b.store.Put("op/config", fmt.Appendf(nil, config, 2, 2))
				b.store.Put("op/evacuate/z9", []byte("{}"))
				b.register("w1", "127.0.0.1:1", "draining")
			})
			b.await(func(v *api.View) bool {
				return v.Table.Version == 2 && v.ZonesOut["z9"] && v.Instances["w1"].Leaving
			})
			answer, _, err := b.send("/u/x", "key1", "whole")
			if err != nil || answer.StatusCode != http.StatusUnauthorized {
				t.Errorf("a revoked key: %v, %v", answer, err)
			}
		})
	}
}

// Guards against a process that is ready without knowing routes, and against
// connections that a graceful stop cuts.
func TestReadinessAndStop(t *testing.T) {
	b := newBed(t)
	if status := b.readiness(); status != http.StatusOK {
		t.Errorf("ready: %d", status)
	}
	conn, err := net.Dial("tcp", b.http)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stopped := make(chan error, 1)
	body := platformworker.Stream
	fmt.Fprintf(conn, "POST /s/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key1\r\nX-Mulberryfork-Attempt-Id: last\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { stopped <- b.process.Stop(context.Background()) }()
	text, err := io.ReadAll(answer.Body)
	if err != nil || string(text) != whole {
		t.Errorf("%q, %v", text, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func (b *bed) readiness() int {
	answer, err := http.Get("http://" + b.ready + "/-/readiness")
	if err != nil {
		b.t.Fatal(err)
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// Guards against keys that close sooner than they must once the store is lost: a
// watch that ends without news after its whole wait was current at its end, not
// only when it was sent.
func TestAQuietWatchIsCurrentAtItsEnd(t *testing.T) {
	b := newBed(t)
	d, err := kernel.Find[api.Discovery](b.process.Host, api.ServiceDiscovery)
	if err != nil {
		t.Fatal(err)
	}
	awaitCalls(b.store, 1)
	begun := kernel.BootClock{}.Now()
	awaitCalls(b.store, 1)
	// The next watch begins after the process took the answer of the last one.
	if asOf := d.AsOf(); asOf <= begun {
		t.Errorf("known as of %v before a watch that ended without news began", begun-asOf)
	}
}
