package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/crowd"
	"github.com/mulberryfork/mulberryfork/standin/flood"
	"github.com/mulberryfork/mulberryfork/standin/plainservice"
)

const (
	// floodCallers is the number of requests for responses without end that are sent at once.
	floodCallers = 40
	floodPath    = "/schedule/flood"
	floodOK      = "HTTP/1.1 200 OK\r\n"
	floodStream  = floodOK + "Content-Type: text/event-stream\r\n\r\n"
	// headBurst and eventBurst are just below the bounds of a head and of an event.
	headBurst, eventBurst = 60 << 10, 1000 << 10
)

// Guards against responses of an upstream without end, which took the memory of its agent: an
// event of many lines had no bound at all.
func TestEndlessResponsesOfEngine(t *testing.T) {
	program, done, err := crowd.BuildAlone(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(done)
	kilobyte := strings.Repeat("x", 1<<10)
	floods := append(flood.Heads(headBurst),
		flood.Response{Name: "event of many lines", Start: floodStream, Piece: flood.Repeat("data: " + kilobyte + "\n")},
		flood.Response{Name: "events of many lines that stop", Start: floodStream, Piece: flood.Repeat("data: " + kilobyte + "\n"), Burst: eventBurst},
		flood.Response{Name: "event of one line", Start: floodStream + "data: ", Piece: flood.Repeat(kilobyte), Burst: eventBurst},
		flood.Response{Name: "comments", Start: floodStream, Piece: flood.Repeat(":" + kilobyte + "\n")},
		flood.Response{Name: "body", Start: floodOK + "\r\n", Piece: flood.Repeat(kilobyte)},
	)
	for _, r := range floods {
		t.Run(r.Name, func(t *testing.T) {
			engine, err := flood.Start(plainservice.New(plainservice.Options{Clock: kernel.BootClock{}}), func(q *http.Request) *flood.Response {
				if q.URL.Path == floodPath {
					return &r
				}
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(engine.Close)
			pool := startCrowdPoolWith(t, program, "http://"+engine.Address())
			clients := crowd.Gather(pool.router.Addresses["http"], crowd.Pattern{Name: r.Name, Clients: floodCallers, Play: func(c *crowd.Client) {
				c.Send("GET /services/booking" + floodPath + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + crowdToken + "\r\n\r\n")
				_, _ = c.Read(make([]byte, 1<<10))
			}})
			defer clients.Leave()
			served := pool.answers()
			for name, p := range map[string]*crowd.Process{"router": pool.router, "agent": pool.agent} {
				t.Logf("%s: peak %d MB resident", name, p.PeakMemory()>>20)
				if !p.Alive() {
					t.Fatalf("the %s has exited: %s", name, p.Output())
				}
				if memory := p.PeakMemory(); memory > crowdMemoryMB<<20 {
					t.Errorf("%s: %d MB resident, want at most %d", name, memory>>20, crowdMemoryMB)
				}
			}
			if !served {
				t.Error("an ordinary request got no answer")
			}
			if engine.Floods.Load() == 0 {
				t.Error("the engine was not asked")
			}
		})
	}
}

// Guards against a configuration service or a list of VMs whose responses have no end: they took
// the memory of each router and agent.
func TestEndlessResponsesOfServices(t *testing.T) {
	program, done, err := crowd.BuildAlone(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(done)
	many := strings.Repeat("{},", 340_000)
	files := func(n int) string { return fmt.Sprintf("\"%x\":\"\",", n) }
	var allFiles strings.Builder
	for allFiles.Len() < 4<<20-100 {
		allFiles.WriteString(files(allFiles.Len()))
	}
	floods := append(flood.Heads(0),
		flood.Response{Name: "many files", Start: floodOK + "\r\n{\"revision\":1,\"files\":{", Piece: files},
		flood.Response{Name: "many files with an end", Start: fmt.Sprintf("%sContent-Length: %d\r\n\r\n{\"files\":{%s\"x\":\"\"}}", floodOK, allFiles.Len()+len(`{"files":{"x":""}}`), allFiles.String()), Piece: flood.Repeat("x"), Burst: 1},
		flood.Response{Name: "many VMs", Start: floodOK + "\r\n{\"members\":[{}", Piece: flood.Repeat(",{}")},
		flood.Response{Name: "many VMs with an end", Start: fmt.Sprintf("%sContent-Length: %d\r\n\r\n{\"members\":[%s{}]}", floodOK, len(many)+len(`{"members":[{}]}`), many), Piece: flood.Repeat("x"), Burst: 1},
	)
	for _, r := range floods {
		t.Run(r.Name, func(t *testing.T) {
			var calls atomic.Int64
			service, err := flood.Start(http.NotFoundHandler(), func(*http.Request) *flood.Response { calls.Add(1); return &r })
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(service.Close)
			path := t.TempDir() + "/router.toml"
			write(t, path, fmt.Sprintf(`node = "router"
zone = "z"
listen.http = "127.0.0.1:0"
listen.link = "127.0.0.1:0"
listen.admin = "127.0.0.1:0"
config.service = "http://%[1]s"
membership.service = "http://%[1]s"
tls.plain = true
limits.memory_mb = %[2]d
[log]
format = "json"
`, service.Address(), crowdMemoryMB))
			p, err := crowd.Start(program, crowdDescriptors, "router", path)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.Kill)
			for deadline := time.Now().Add(crowdWait); calls.Load() < 6 && p.Alive() && time.Now().Before(deadline); {
				time.Sleep(20 * time.Millisecond)
			}
			answers := get("http://" + p.Addresses["admin"] + "/debug/vars")
			t.Logf("peak %d MB resident, %d calls", p.PeakMemory()>>20, calls.Load())
			if !p.Alive() {
				t.Fatalf("the router has exited: %s", p.Output())
			}
			if memory := p.PeakMemory(); memory > crowdMemoryMB<<20 {
				t.Errorf("%d MB resident, want at most %d", memory>>20, crowdMemoryMB)
			}
			if !answers {
				t.Error("the admin listener does not answer")
			}
		})
	}
}
