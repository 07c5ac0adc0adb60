package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/mulberryfork/mulberryfork/internal/rawserver"
	"github.com/mulberryfork/mulberryfork/standin/crowd"
	"github.com/mulberryfork/mulberryfork/standin/flood"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// floodConfig has routes to upstreams that send bytes without end, beside the ordinary one.
	floodConfig = `{"version":1,"routes":[
{"name":"u","host":"h.example","prefix":"/u/","kind":"non_idempotent","timeoutMs":60000,"service":"svc","maxAttempts":1},
{"name":"n","host":"h.example","prefix":"/n/","kind":"non_idempotent","timeoutMs":60000,"service":"flood","maxAttempts":1},
{"name":"s","host":"h.example","prefix":"/s/","kind":"streaming","timeoutMs":60000,"service":"flood","maxAttempts":2,"streamResumption":true}],
"services":[{"name":"svc","connectionLimit":10000},{"name":"flood","connectionLimit":10000}],
"limits":{"maxBodyBytes":1048576},"tenants":[{"name":"m","apiKeys":["key1"]},{"name":"n","apiKeys":["key2"]}]}`
	// floodCallers is the number of requests for responses without end that are sent at once.
	floodCallers = 90
	floodID      = "flood"
	floodHead    = "X-Mulberryfork-Attempt-Id: " + floodID + "\r\nX-Mulberryfork-Response-Signature: sig\r\n"
	floodStream  = "HTTP/1.1 200 OK\r\n" + floodHead + "Content-Type: text/event-stream\r\n\r\n"
	// headBurst and eventBurst are just below the bounds of a head and of an event.
	headBurst, eventBurst = 60 << 10, 1000 << 10
)

// putUpstream registers an upstream in the store.
func putUpstream(store *platformstore.Store, id, service, address string) {
	store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"availabilityZone":"z","version":"v1",
"capacitySlots":10000,"lifecycleState":"available","coldRemainingMs":0,"sequenceNumber":1}`, service, address))
}

// startFlood starts a server that sends responses without end to requests that it selects.
func startFlood(t *testing.T, handler http.Handler, respond func(*http.Request) *flood.Response) *flood.Server {
	t.Helper()
	s, err := flood.Start(handler, respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// newFloodFixture starts a store, with a handler in front of it, and upstreams. The upstreams of
// the service flood send the response that is stored.
func newFloodFixture(t *testing.T, front func(http.Handler) http.Handler) (*crowdFixture, *atomic.Pointer[flood.Response]) {
	t.Helper()
	program, done, err := crowd.BuildAlone(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(done)
	store := platformstore.New()
	var response atomic.Pointer[flood.Response]
	all := func(*http.Request) *flood.Response { return response.Load() }
	none := func(*http.Request) *flood.Response { return nil }
	putUpstream(store, "w1", "svc", startFlood(t, &platformworker.Worker{InstanceID: "w1"}, none).Address())
	putUpstream(store, "flood", "flood", startFlood(t, http.NotFoundHandler(), all).Address())
	store.Put("op/config", []byte(floodConfig))
	return &crowdFixture{t: t, program: program, content: store, store: startFlood(t, front(store), none).Address()}, &response
}

func unchanged(h http.Handler) http.Handler { return h }

// Guards against responses without end of which each stays within its bounds and all together
// exceed the memory of the edge, with the requests of everyone else.
func TestEndlessResponsesOfUpstreams(t *testing.T) {
	f, response := newFloodFixture(t, unchanged)
	line := "data: " + strings.Repeat("x", 1<<10) + "\n"
	type kind struct {
		flood.Response
		path string
	}
	kinds := []kind{
		{flood.Response{Name: "event of one line", Start: floodStream + "data: ", Piece: flood.Repeat(strings.Repeat("x", 1<<10)), Burst: eventBurst}, "/s/x"},
		{flood.Response{Name: "event of many lines", Start: floodStream, Piece: flood.Repeat(line), Burst: eventBurst}, "/s/x"},
		{flood.Response{Name: "comments before the first event", Start: floodStream, Piece: flood.Repeat(":" + strings.Repeat("x", 1<<10) + "\n"), Burst: eventBurst}, "/s/x"},
		{flood.Response{Name: "body", Start: "HTTP/1.1 200 OK\r\n" + floodHead + "\r\n", Piece: flood.Repeat(strings.Repeat("x", 1<<10)), Burst: 250 << 10}, "/n/x"},
		{flood.Response{Name: "unsigned body", Start: "HTTP/1.1 200 OK\r\n\r\n", Piece: flood.Repeat(strings.Repeat("x", 1<<10))}, "/n/x"},
	}
	for _, head := range flood.Heads(headBurst) {
		kinds = append(kinds, kind{head, "/n/x"})
	}
	for _, k := range kinds {
		t.Run(k.Name, func(t *testing.T) {
			response.Store(&k.Response)
			g := &crowdFixture{t: t, program: f.program, store: f.store}
			p := g.startEdge(0)
			clients := crowd.Gather(p.Addresses["http"], crowd.Pattern{Name: k.Name, Clients: floodCallers, Play: func(c *crowd.Client) {
				c.Send("POST " + k.path + " HTTP/1.1\r\n" + crowdHead + "X-Mulberryfork-Attempt-Id: " + floodID + "\r\nContent-Length: 0\r\n\r\n")
				_, _ = c.Read(make([]byte, 1<<10))
			}})
			defer clients.Leave()
			check(t, p, maxOpenFiles, func() bool { return ordinary(p) })
		})
	}
}

// Guards against a store whose responses have no end, in one response or over many pages: they
// took the memory of the edge.
func TestEndlessResponsesOfStore(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	floods := append(flood.Heads(0),
		flood.Response{Name: "many values", Start: ok + "\r\n{\"at\":1,\"entries\":[{}", Piece: flood.Repeat(",{}")},
		flood.Response{Name: "one text", Start: ok + "\r\n{\"at\":1,\"entries\":[{\"payload\":\"", Piece: flood.Repeat(strings.Repeat("x", 1<<10))},
		flood.Response{Name: "blanks", Start: ok + "\r\n", Piece: flood.Repeat(strings.Repeat(" ", 1<<10))},
	)
	for _, r := range floods {
		t.Run(r.Name, func(t *testing.T) { playFaultyStore(t, &r, nil, 5) })
	}
	t.Run("many values with an end", func(t *testing.T) {
		playFaultyStore(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"at":1,"entries":[%s{}]}`, strings.Repeat("{},", 5_000_000))
		}, 5)
	})
	t.Run("pages", func(t *testing.T) {
		const entries = 3000
		var page atomic.Int64
		playFaultyStore(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			first := page.Add(1) * entries
			_, _ = fmt.Fprint(w, `{"at":1,"hasMore":true,"entries":[`)
			for i := range int64(entries) {
				// The payload is no entry: all that is kept of it is an error.
				_, _ = fmt.Fprintf(w, `{"key":"servers/%012d","revision":1,"payload":"e30="},`, first+i)
			}
			_, _ = fmt.Fprintf(w, `{"key":"servers/%012d","revision":1,"payload":"e30="}]}`, first+entries)
		}, 100)
	})
}

// playFaultyStore starts an edge, lets its store answer with a response without end or by a
// handler until it was called often enough, and checks the edge with a sound store again.
func playFaultyStore(t *testing.T, response *flood.Response, handler http.HandlerFunc, calls int64) {
	t.Helper()
	var faulty atomic.Bool
	var faults atomic.Int64
	f, _ := newFloodFixture(t, func(store http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case !faulty.Load():
				store.ServeHTTP(w, r)
				return
			case strings.HasSuffix(r.URL.Path, "watch"):
				// Without its history, the store is read in full.
				w.WriteHeader(http.StatusGone)
				return
			case handler != nil:
				faults.Add(1)
				handler(w, r)
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			faults.Add(1)
			response.Send(conn)
		})
	})
	p := f.startEdge(0)
	faulty.Store(true)
	called := false
	for range 2 {
		// After a failed read the edge waits for up to 0.4 s, so that one wait may be too short.
		called = called || waitFor(func() bool { return faults.Load() >= calls || !p.Alive() })
	}
	if !called {
		t.Fatalf("the store was called %d times", faults.Load())
	}
	faulty.Store(false)
	check(t, p, maxOpenFiles, func() bool { return ordinary(p) })
}

// Guards against an engine whose reports have no end: they took the memory of the process beside
// it.
func TestEndlessResponsesOfRank(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	f, response := newFloodFixture(t, unchanged)
	floods := append(flood.Heads(0),
		flood.Response{Name: "many values", Start: ok + "\r\n{\"preloaded\":[[]", Piece: flood.Repeat(",[]")},
		flood.Response{Name: "one text", Start: ok + "\r\n{\"group\":{\"name\":\"", Piece: flood.Repeat(strings.Repeat("x", 1<<10))},
	)
	engine := startFlood(t, http.NotFoundHandler(), func(*http.Request) *flood.Response { return response.Load() })
	for _, r := range floods {
		t.Run(r.Name, func(t *testing.T) {
			response.Store(&r)
			g := &crowdFixture{t: t, program: f.program, store: f.store}
			before := engine.Floods.Load()
			p := g.start("side", sideSettings(f.store, engine.Address(), "10ms")+crowdSettings(), 0)
			if !waitFor(func() bool { return engine.Floods.Load() >= before+20 || !p.Alive() }) {
				t.Fatalf("the engine was asked %d times", engine.Floods.Load()-before)
			}
			check(t, p, maxOpenFiles, func() bool {
				return status("http://"+p.Addresses["admin"]+"/debug/vars") == http.StatusOK && callRank(p)
			})
		})
	}
}

// Guards against bounds that refuse what the platform allows: the largest configuration, pages
// of 500 entries, and long events and bodies, at an edge with little memory.
func TestLargeResponsesArrive(t *testing.T) {
	const entries, keys, eventBytes, bodyBytes = 1200, 30_000, 900 << 10, 6 << 20
	f, _ := newFloodFixture(t, unchanged)
	event := "id: 1\ndata: " + strings.Repeat("e", eventBytes) + "\n\n"
	body := strings.Repeat("b", bodyBytes)
	upstream := startFlood(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Mulberryfork-Attempt-Id", r.Header.Get("X-Mulberryfork-Attempt-Id"))
		w.Header().Set("X-Mulberryfork-Response-Signature", "sig")
		if strings.HasPrefix(r.URL.Path, "/s/") {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, event)
			return
		}
		_, _ = io.WriteString(w, body)
	}), func(*http.Request) *flood.Response { return nil })
	putUpstream(f.content, "flood", "flood", upstream.Address())
	for i := range entries {
		putUpstream(f.content, fmt.Sprintf("other%d", i), "other", fmt.Sprintf("127.0.1.%d:%d", i%250+1, i+1))
	}
	var more strings.Builder
	for i := range keys {
		fmt.Fprintf(&more, `"%028d",`, i)
	}
	f.content.Put("op/config", []byte(strings.Replace(floodConfig, `["key1"]`, `[`+more.String()+`"key1"]`, 1)))
	p := f.startEdge(0)
	for path, want := range map[string]string{"/s/x": event, "/n/x": body} {
		r, err := http.NewRequest(http.MethodPost, "http://"+p.Addresses["http"]+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h.example"
		r.Header.Set("X-Api-Key", "key1")
		r.Header.Set("X-Mulberryfork-Attempt-Id", "large")
		response, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || string(got) != want {
			t.Errorf("%s: status %d, %d of %d bytes, %v", path, response.StatusCode, len(got), len(want), err)
		}
	}
	check(t, p, maxOpenFiles, func() bool { return ordinary(p) })
}

// floodFrames answers each call at an address with frames that a crowd sends.
func floodFrames(t *testing.T, address string, play func(*crowd.Client), calls *atomic.Int64) string {
	t.Helper()
	return rawserver.Listen(t, address, func(conn *net.TCPConn) {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		calls.Add(1)
		play(&crowd.Client{Conn: conn})
		_, _ = io.Copy(io.Discard, conn)
	})
}

// Guards against replies of other edges and of side processes whose end does not come: each stays
// within the bound of a message, all together must fit the memory of the edge.
func TestEndlessRepliesOfProcesses(t *testing.T) {
	const seeds, sides = 3, 24
	frames := crowd.Frames(wire.MaxRankMessageBytes)
	for _, pattern := range []crowd.Pattern{frames[1], frames[2], frames[3]} {
		t.Run(pattern.Name, func(t *testing.T) {
			f, _ := newFloodFixture(t, unchanged)
			var fleetCalls, rankCalls atomic.Int64
			var list []string
			for range seeds {
				list = append(list, strconv.Quote(floodFrames(t, rawserver.AnyPort, pattern.Play, &fleetCalls)))
			}
			_, port, err := net.SplitHostPort(floodFrames(t, "127.0.0.2:0", pattern.Play, &rankCalls))
			if err != nil {
				t.Fatal(err)
			}
			for i := range sides {
				host := fmt.Sprintf("127.0.0.%d", i+2)
				if i > 0 {
					floodFrames(t, host+":"+port, pattern.Play, &rankCalls)
				}
				putUpstream(f.content, host, "engine", host+":1")
			}
			f.content.Put("op/config", []byte(strings.Replace(floodConfig, `"services":[`, `"services":[{"name":"engine","connectionLimit":100,"engineProfile":{"experts":96,"expertSets":3}},`, 1)))
			text := edgeSettings("crowd", f.store, "seeds = ["+strings.Join(list, ",")+"]\nside_port = "+port+"\n", 200) + crowdSettings()
			p := f.start("edge", text, 0)
			if !waitFor(func() bool { return fleetCalls.Load() >= 2*seeds && rankCalls.Load() >= seeds || !p.Alive() }) {
				t.Errorf("%d calls of edges and %d of side processes", fleetCalls.Load(), rankCalls.Load())
			}
			check(t, p, maxOpenFiles, func() bool { return ordinary(p) })
		})
	}
}
