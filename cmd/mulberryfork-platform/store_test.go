package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

// awaitCalls waits until a store has received n more calls.
func awaitCalls(s *platformstore.Store, n int) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for before := s.Calls(); s.Calls() < before+n; {
		<-tick.C
	}
}

// Guards against losing changes that a watch did not deliver or that are no longer
// in the history of the store, and against returning to an older configuration.
func TestStoreChangesAreApplied(t *testing.T) {
	for name, fault := range map[string]func(*platformstore.Store, func()){
		"watched": func(_ *platformstore.Store, change func()) { change() },
		"while watches deliver nothing": func(s *platformstore.Store, change func()) {
			s.SetEventsSuppressed(true)
			change()
			// One watch ends without changes and the next begins.
			awaitCalls(s, 2)
			s.SetEventsSuppressed(false)
		},
		"with the history dropped": func(s *platformstore.Store, change func()) {
			s.SetEventsSuppressed(true)
			change()
			s.Compact()
			s.SetEventsSuppressed(false)
		},
		"while the store is down": func(s *platformstore.Store, change func()) {
			s.SetFailureStatus(http.StatusServiceUnavailable)
			change()
			s.SetFailureStatus(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			fault(f.store, func() {
				f.store.Put("op/config", fmt.Appendf(nil, configFormat, 2, 2))
				f.store.Put("op/evacuate/z9", []byte("{}"))
				f.register("w1", "127.0.0.1:1", "draining")
			})
			f.awaitView(func(v *api.View) bool {
				return v.Table.Version == 2 && v.ZonesOut["z9"] && v.Instances["w1"].Leaving
			})
			response, _, err := f.send("/u/x", "key1", "whole")
			if err != nil || response.StatusCode != http.StatusUnauthorized {
				t.Errorf("revoked key: %v, %v", response, err)
			}
		})
	}
}

// Guards against a process that is ready without a route table, and against
// responses that a graceful shutdown interrupts.
func TestReadinessAndGracefulShutdown(t *testing.T) {
	f := newFixture(t)
	if status := f.readiness(); status != http.StatusOK {
		t.Errorf("ready: %d", status)
	}
	conn, err := net.Dial("tcp", f.http)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stopped := make(chan error, 1)
	body := platformworker.Stream
	fmt.Fprintf(conn, "POST /s/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key1\r\nX-Mulberryfork-Attempt-Id: last\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { stopped <- f.process.Stop(context.Background()) }()
	text, err := io.ReadAll(response.Body)
	if err != nil || string(text) != completeStream {
		t.Errorf("%q, %v", text, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func (f *fixture) readiness() int {
	response, err := client.Get("http://" + f.ready + "/-/readiness")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against rejecting API keys too early after the store is lost: after a
// watch that ended without changes, the view is current as of the end of the watch,
// not as of its start.
func TestWatchTimeoutUpdatesAsOf(t *testing.T) {
	f := newFixture(t)
	d, err := kernel.Find[api.Discovery](f.process.Host, api.ServiceDiscovery)
	if err != nil {
		t.Fatal(err)
	}
	awaitCalls(f.store, 1)
	watchStart := kernel.BootClock{}.Now()
	awaitCalls(f.store, 1)
	// The process starts the next watch only after it has applied the response to the
	// last one.
	if asOf := d.AsOf(); asOf <= watchStart {
		t.Errorf("the view is current as of %v before the start of a watch that ended without changes", watchStart-asOf)
	}
}

// Guards against an edge that ends or stops following the list of upstreams because of
// an entry of another writer.
func TestOddEntriesAreIgnored(t *testing.T) {
	f := newFixture(t)
	const format = `{"service":"svc","address":%q,"availabilityZone":"z","version":"v1","capacitySlots":%s,"lifecycleState":"available","coldRemainingMs":%s,"sequenceNumber":1,"born":%s,"x":%s}`
	nested := strings.Repeat("[", 200000) + strings.Repeat("]", 200000)
	for i, value := range []string{
		fmt.Sprintf(format, f.address("w1"), "4", "0", "1", nested),
		nested,
		fmt.Sprintf(format, f.address("w1"), "9000000000000000000", "0", "1", "0"),
		fmt.Sprintf(format, f.address("w1"), "1e999", "0", "1", "0"),
		fmt.Sprintf(format, f.address("w1"), "4", "1e300", "1", "0"),
		fmt.Sprintf(format, f.address("w1"), "4", "0", "9000000000000000000", "0"),
		fmt.Sprintf(format, "127.0.0.1:70000", "4", "0", "1", "0"),
		fmt.Sprintf(format, "127.0.0.1:0", "4", "0", "1", "0"),
		fmt.Sprintf(strings.Replace(format, `"version":"v1",`, "", 1), f.address("w1"), "4", "0", "1", "0"),
		fmt.Sprintf(strings.Replace(format, `"version":"v1"`, `"version":1`, 1), f.address("w2"), "4", "0", "1", "0"),
		"\xff\xfe",
		"",
	} {
		f.store.Put(fmt.Sprintf("servers/odd%d", i), []byte(value))
	}
	f.store.Put("servers/", []byte("{}"))
	f.register("w3", f.address("w1"), "draining")
	f.awaitView(func(v *api.View) bool { return v.Instances["w3"].Leaving && len(v.Instances) == 3 })
	for range 5 {
		if response, body, err := f.send("/i/x", "key1", "whole x"); err != nil || response.StatusCode != http.StatusOK || body != "answer to x" {
			t.Fatalf("response %+v, body %q, error %v", response, body, err)
		}
	}
}
