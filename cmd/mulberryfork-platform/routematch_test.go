package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
)

// addUpstream registers an upstream of a service of its own and returns it.
func (f *fixture) addUpstream(service string) *targetUpstream {
	f.t.Helper()
	u := newTargetUpstream(f.t)
	f.store.Put("servers/"+service, fmt.Appendf(nil, `{"service":%q,"address":%q,"availabilityZone":"z","version":"v1",
"capacitySlots":4,"lifecycleState":"available","coldRemainingMs":0,"sequenceNumber":1}`, service, u.address))
	return u
}

// publishRoutes publishes a configuration whose first routes lead from prefixes to services.
func (f *fixture) publishRoutes(version uint64, services map[string]string) {
	f.t.Helper()
	var routes strings.Builder
	for prefix, service := range services {
		fmt.Fprintf(&routes, `{"name":%q,"host":"h.example","prefix":%q,"kind":"idempotent","timeoutMs":4000,"service":%q,"maxAttempts":1},`, prefix, prefix, service)
	}
	text := fmt.Sprintf(configFormat, version, 1)
	f.store.Put("op/config", []byte(strings.Replace(text, `"routes":[`, `"routes":[`+routes.String(), 1)))
	f.awaitView(func(v *api.View) bool { return v.Table.Version == version })
}

// Guards against a request on a kept connection that is decided by the configuration with which
// the connection began: by its routes, prefixes or keys.
func TestKeptConnectionFollowsConfiguration(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	other := f.addUpstream("other")
	c := f.dial()
	get := func(path string) int {
		t.Helper()
		c.write("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key1\r\nX-Mulberryfork-Attempt-Id: " + strings.ReplaceAll(path, "/", "-") + "\r\n\r\n")
		response, _, err := c.read()
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode
	}
	if status := get("/new/1"); status != http.StatusNotFound {
		t.Errorf("before the route: %d", status)
	}
	f.publishRoutes(2, map[string]string{"/new/": "other", "/new/a/": "svc"})
	if status := get("/new/a/b"); status == http.StatusNotFound || other.take() != "" {
		t.Errorf("longer prefix: %d", status)
	}
	if status := get("/new/a"); status != http.StatusOK || other.take() != "/new/a" {
		t.Errorf("shorter prefix: %d", status)
	}
	f.publishRoutes(3, map[string]string{"/new/": "other", "/new/a/": "svc", "/new/a/b/": "other"})
	if status := get("/new/a/b/c"); status != http.StatusOK || other.take() != "/new/a/b/c" {
		t.Errorf("prefix added under another: %d", status)
	}
	f.publishRoutes(4, nil)
	if status := get("/new/2"); status != http.StatusNotFound || other.take() != "" {
		t.Errorf("removed: %d", status)
	}
	f.store.Put("op/config", fmt.Appendf(nil, configFormat, 5, 5))
	f.awaitView(func(v *api.View) bool { return v.Table.Version == 5 })
	if status := get("/i/1"); status != http.StatusUnauthorized {
		t.Errorf("key that was taken away: %d", status)
	}
}

// Guards against a request that waits behind another one on its connection and is decided by
// the configuration of that one. The request whose body is on its way keeps the route by which
// it was taken.
func TestRequestBehindAnotherFollowsConfiguration(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	before, after := f.addUpstream("before"), f.addUpstream("after")
	f.publishRoutes(2, map[string]string{"/moved/": "before"})
	conn, err := net.Dial("tcp", f.http)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	const head = "POST /moved/%d HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key1\r\nX-Mulberryfork-Attempt-Id: r%d\r\nContent-Length: 4\r\n%s\r\n"
	reader := bufio.NewReader(conn)
	fmt.Fprintf(conn, head, 1, 1, "Expect: 100-continue\r\n")
	// The edge asks for the body once the request has its route.
	if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusContinue {
		t.Fatalf("%+v, %v", response, err)
	}
	f.publishRoutes(3, map[string]string{"/moved/": "after"})
	fmt.Fprint(conn, "abcd")
	fmt.Fprintf(conn, head+"abcd", 2, 2, "")
	for i := range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %+v, %v", i+1, response, err)
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Fatal(err)
		}
	}
	if first, second := before.take(), after.take(); first != "/moved/1" || second != "/moved/2" {
		t.Errorf("the service of before got %q, the one of after %q", first, second)
	}
}

// Guards against a proper request that is refused with 404 for another spelling of its host:
// hosts have no case, and a port or the dot of the root name no other host.
func TestHostIsMatchedInAnySpelling(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for host, want := range map[string]int{
		"h.example": 200, "H.Example": 200, "h.example:80": 200, "h.example:8636": 200, "h.example.": 200, "H.EXAMPLE.:80": 200, "h.example:": 200,
		"example": 404, "g.h.example": 404, "h.example.x": 404, "h.example..": 404, "[::1]:80": 404, ":80": 404,
	} {
		r, err := http.NewRequest(http.MethodPost, "http://"+f.http+"/i/x", strings.NewReader("whole"))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = host
		r.Header.Set("X-Mulberryfork-Attempt-Id", "host "+host)
		r.Header.Set("X-Api-Key", "key1")
		response, err := transport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("%q: status %d, want %d", host, response.StatusCode, want)
		}
	}
}
