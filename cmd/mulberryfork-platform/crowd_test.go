package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/standin/crowd"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// crowdMemoryMB is the memory limit in the settings of the processes. The platform ends a
	// process that exceeds it.
	crowdMemoryMB = 64
	// crowdDescriptors is the limit of descriptors where they run short, of which
	// reservedDescriptors are for files.
	crowdDescriptors    = 800
	reservedDescriptors = 200
	// fewDescriptors bound connections before the memory does.
	fewDescriptors = 500
	// crowdStallTime is less than by default, so that the tests are short.
	crowdStallTime = "500ms"
	// crowdBodyBytes is the largest body in the configuration.
	crowdBodyBytes = 1 << 20
	// crowdConfigFormat lets requests take so long that time ends none during a test.
	crowdConfigFormat = `{"version":1,"routes":[
{"name":"s","host":"h.example","prefix":"/s/","kind":"streaming","timeoutMs":60000,"service":"svc","maxAttempts":2,"streamResumption":true},
{"name":"u","host":"h.example","prefix":"/u/","kind":"non_idempotent","timeoutMs":60000,"service":"svc","maxAttempts":1}],
"services":[{"name":"svc","connectionLimit":10000}],
"limits":{"maxBodyBytes":%d,"maxHeaderBytes":65536,"headerTimeoutMs":10000,"idleTimeoutMs":60000},
"tenants":[{"name":"m","apiKeys":["key1"]},{"name":"n","apiKeys":["key2"]}]}`
	crowdHead = "Host: h.example\r\nX-Api-Key: key1\r\n"
	// longAnswer and longStream make the upstream send responses that no buffer holds.
	longAnswer = "long-answer"
	longStream = "long-stream"
	longBytes  = 2 << 20
	// ordinaryBodyBytes is larger than what is read without a budget.
	ordinaryBodyBytes = 100 << 10
)

// crowdFixture is an edge and a side process with a store and an upstream.
type crowdFixture struct {
	t       *testing.T
	program string
	// content is that of the store, at the address store.
	content *platformstore.Store
	store   string
}

func newCrowdFixture(t *testing.T) *crowdFixture {
	t.Helper()
	program, done, err := crowd.BuildAlone(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(done)
	store := platformstore.New()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	worker := httptest.NewServer(&longWorker{Worker: platformworker.Worker{InstanceID: "w1"}})
	// A connection without a reader would delay a graceful end.
	t.Cleanup(func() { _ = worker.Config.Close() })
	store.Put("servers/w1", fmt.Appendf(nil, `{"service":"svc","address":%q,"availabilityZone":"z","version":"v1",
"capacitySlots":10000,"lifecycleState":"available","coldRemainingMs":0,"sequenceNumber":1}`, worker.Listener.Addr()))
	store.Put("op/config", fmt.Appendf(nil, crowdConfigFormat, crowdBodyBytes))
	return &crowdFixture{t: t, program: program, content: store, store: storeServer.Listener.Addr().String()}
}

// longWorker is an upstream with long responses.
type longWorker struct{ platformworker.Worker }

func (w *longWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	start := make([]byte, len(longAnswer))
	n, _ := io.ReadFull(r.Body, start)
	text := string(start[:n])
	if text != longAnswer && text != longStream {
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(text), r.Body))
		w.Worker.ServeHTTP(out, r)
		return
	}
	h := out.Header()
	h.Set("X-Mulberryfork-Attempt-Id", r.Header.Get("X-Mulberryfork-Attempt-Id"))
	h.Set("X-Mulberryfork-Response-Signature", "sig")
	const part = 16 << 10
	chunk := strings.Repeat("x", part)
	if text == longStream {
		h.Set("Content-Type", "text/event-stream")
		chunk = "id: %d\ndata: " + chunk + "\n\n"
	}
	for i := range longBytes / part {
		if text == longStream {
			_, _ = fmt.Fprintf(out, chunk, i+1)
			continue
		}
		_, _ = io.WriteString(out, chunk)
	}
}

// start starts a process in a role. A limit of descriptors of 0 is that of the test.
func (f *crowdFixture) start(role, text string, descriptors int) *crowd.Process {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), role+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	p, err := crowd.Start(f.program, descriptors, role, "--settings", path)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.Kill)
	return p
}

func (f *crowdFixture) startEdge(descriptors int) *crowd.Process {
	f.t.Helper()
	text := edgeSettings("crowd", f.store, "", 200) + crowdSettings()
	p := f.start("edge", text, descriptors)
	if !waitFor(func() bool { return status("http://"+p.Addresses["ready"]+"/-/readiness") == http.StatusOK }) {
		f.t.Fatalf("the edge is not ready: %s", p.Output())
	}
	return p
}

func (f *crowdFixture) startSide(descriptors int) *crowd.Process {
	f.t.Helper()
	text := sideSettings(f.store, "127.0.0.1:1", "1s") + crowdSettings()
	return f.start("side", text, descriptors)
}

// crowdSettings returns the settings of both roles that follow those of their last table.
func crowdSettings() string {
	return fmt.Sprintf("memory_mb = %d\n[limits]\nstall_time = %q\n[log]\nformat = \"json\"\n", crowdMemoryMB, crowdStallTime)
}

// status returns the status of a GET request on a connection of its own, 0 without a response.
func status(url string) int {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// ordinary sends an ordinary request of the member whose callers are the crowd, and one of
// another member, and reports whether both were answered.
func ordinary(p *crowd.Process) bool { return answers(p, "key1") && answers(p, "key2") }

func answers(p *crowd.Process, key string) bool {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	body := platformworker.Complete + " " + strings.Repeat("y", ordinaryBodyBytes)
	r, err := http.NewRequest(http.MethodPost, "http://"+p.Addresses["http"]+"/u/x", strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Host = "h.example"
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Mulberryfork-Attempt-Id", fmt.Sprintf("ordinary%d", time.Now().UnixNano()))
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && len(text) > ordinaryBodyBytes
}

// check checks what a process held during a crowd, and that it serves.
func check(t *testing.T, p *crowd.Process, descriptors int64, serves func() bool) {
	t.Helper()
	served := waitFor(serves)
	memory, open := p.PeakMemory(), p.PeakDescriptors()
	t.Logf("peak: %d MB resident, %d descriptors", memory>>20, open)
	if !p.Alive() {
		t.Fatalf("the process has exited: %s", p.Output())
	}
	if memory > crowdMemoryMB<<20 {
		t.Errorf("%d MB resident, want at most %d", memory>>20, crowdMemoryMB)
	}
	if open > descriptors {
		t.Errorf("%d open descriptors, want at most %d", open, descriptors)
	}
	if !served {
		t.Error("an ordinary request got no answer")
	}
}

// edgePatterns are the crowds that the listener for callers is exposed to.
func edgePatterns() []crowd.Pattern {
	target := crowd.Target{
		Path: "/u/x", Head: crowdHead, BodyBytes: crowdBodyBytes,
		Answer: longAnswer, Stream: longStream, StreamPath: "/s/x",
	}
	patterns := append(crowd.Bodies(target), crowd.Connections("/u/x", crowdHead)...)
	return append(patterns, crowd.Responses(target)...)
}

// maxOpenFiles bounds the descriptors where the settings set no limit.
const maxOpenFiles = 1 << 20

// Guards against callers that send many requests without end or many connections, and make an
// edge exceed the memory of its VM or keep ordinary callers out.
func TestCrowdOfCallers(t *testing.T) {
	f := newCrowdFixture(t)
	patterns := edgePatterns()
	play := func(name string, patterns ...crowd.Pattern) {
		t.Run(name, func(t *testing.T) {
			g := &crowdFixture{t: t, program: f.program, store: f.store}
			p := g.startEdge(0)
			clients := crowd.Gather(p.Addresses["http"], patterns...)
			defer clients.Leave()
			check(t, p, maxOpenFiles, func() bool { return ordinary(p) })
		})
	}
	for _, pattern := range patterns {
		play(pattern.Name, pattern)
	}
	play("all together", crowd.Part(patterns, 4)...)
}

// Guards against connections that use up the descriptors, so that an edge reaches neither its
// upstreams nor the store.
func TestCrowdTakesDescriptors(t *testing.T) {
	f := newCrowdFixture(t)
	for _, pattern := range crowd.Connections("/u/x", crowdHead) {
		if !strings.HasPrefix(pattern.Name, "connections") && pattern.Name != "heads that stop" {
			continue
		}
		t.Run(pattern.Name, func(t *testing.T) {
			g := &crowdFixture{t: t, program: f.program, store: f.store}
			p := g.startEdge(fewDescriptors)
			clients := crowd.Gather(p.Addresses["http"], pattern)
			defer clients.Leave()
			check(t, p, fewDescriptors-reservedDescriptors, func() bool { return ordinary(p) })
		})
	}
}

// Guards against connections to the other listeners of an edge that take what its callers
// need.
func TestCrowdAtOtherListenersOfEdge(t *testing.T) {
	f := newCrowdFixture(t)
	for name, patterns := range map[string][]crowd.Pattern{
		"ready": crowd.Part(crowd.Connections("/-/readiness", "Host: h\r\n"), 2),
		"admin": crowd.Part(crowd.Connections("/debug/vars", "Host: h\r\n"), 2),
		"link":  crowd.Frames(wire.MaxFleetMessageBytes),
	} {
		t.Run(name, func(t *testing.T) {
			g := &crowdFixture{t: t, program: f.program, store: f.store}
			p := g.startEdge(crowdDescriptors)
			clients := crowd.Gather(p.Addresses[name], patterns...)
			defer clients.Leave()
			check(t, p, crowdDescriptors-reservedDescriptors, func() bool {
				return ordinary(p) && status("http://"+p.Addresses["ready"]+"/-/readiness") == http.StatusOK &&
					status("http://"+p.Addresses["admin"]+"/debug/vars") == http.StatusOK && callFleet(p)
			})
		})
	}
}

// callFleet calls an edge as another edge does.
func callFleet(p *crowd.Process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := wire.DialPlaintext(ctx, p.Addresses["link"], time.Second, wire.MaxFleetMessageBytes)
	if err != nil {
		return false
	}
	defer conn.Close()
	_, err = wire.NewDRPCFleetClient(conn).Call(ctx, &wire.FleetCall{Node: "other", Address: "127.0.0.1:1"})
	return err == nil
}

// Guards against connections that make a side process exceed the memory of its VM, or that
// keep edges and other side processes out.
func TestCrowdAtSide(t *testing.T) {
	f := newCrowdFixture(t)
	frames := crowd.Frames(wire.MaxRankMessageBytes)
	for _, c := range []struct {
		name, listener string
		patterns       []crowd.Pattern
	}{
		{"admin", "admin", crowd.Part(crowd.Connections("/debug/vars", "Host: h\r\n"), 2)},
		{"link", "link", frames},
		{"link, large frames", "link", frames[2:3]},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &crowdFixture{t: t, program: f.program, store: f.store}
			p := g.startSide(crowdDescriptors)
			clients := crowd.Gather(p.Addresses[c.listener], c.patterns...)
			defer clients.Leave()
			check(t, p, crowdDescriptors-reservedDescriptors, func() bool {
				return status("http://"+p.Addresses["admin"]+"/debug/vars") == http.StatusOK && callRank(p)
			})
		})
	}
}

// callRank asks a side process for the load of its group, as an edge does.
func callRank(p *crowd.Process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := wire.DialPlaintext(ctx, p.Addresses["link"], time.Second, wire.MaxRankMessageBytes)
	if err != nil {
		return false
	}
	defer conn.Close()
	_, err = wire.ReadLoad(ctx, conn)
	return err == nil
}
