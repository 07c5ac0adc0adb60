// Command 7 asks for streams from workers of which some send bytes without end that are no
// event, and watches the memory of the edge.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/review/stage"
)

const (
	folder = "review/7"
	// The smallest edge of the sheets in force: 136 MB, 2,870 descriptors.
	memoryMB, descriptors = 136, 2870
	// The model workers of one group of 24 with 10 slots each, and a queue. troubled of them, a
	// third, send bytes without end.
	workers, troubled, slots, queue = 24, 8, 10, 24
	// events and eventInterval make a stream of 2.4 s.
	events        = 24
	eventInterval = 100 * time.Millisecond
	deadline      = 8 * time.Second
	// Clients that ask for streams at once, over and over, and wait until their deadline.
	streamClients = 200
	// ordinaryClients send a request a second to a plain service.
	ordinaryClients = 28
	calm, load      = 3 * time.Second, 12 * time.Second
	// burstBytes are sent at once of each kind of bytes, trickleBytes at intervals from then on.
	burstBytes, lineBytes, trickleBytes = 1_000_000, 16 << 10, 64
	trickleInterval                     = 250 * time.Millisecond
)

type counts struct{ sent, answered, refused, lost atomic.Int64 }

func (c *counts) text() string {
	return fmt.Sprintf("sent %d, answered %d, refused or failed %d, lost %d", c.sent.Load(), c.answered.Load(), c.refused.Load(), c.lost.Load())
}

func main() { os.Exit(run()) }

func run() int {
	record, err := stage.NewRecord(folder)
	if err != nil {
		return stage.NotRun
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return stage.NotRun
	}
	defer func() { _ = os.RemoveAll(temp) }()
	platform, err := stage.StartPlatform()
	if err != nil {
		record.Line("no store: %v", err)
		return stage.NotRun
	}
	defer platform.Stop()
	var inTrouble atomic.Bool
	for i := range workers + 1 {
		w := &stage.Worker{ID: fmt.Sprintf("i-%d", i), Service: "pool", Zone: "z", Slots: slots, Queue: queue, Work: 30 * time.Millisecond}
		bad := i < troubled
		w.Respond = func(out http.ResponseWriter, r *http.Request) bool {
			if bad && inTrouble.Load() {
				sendWithoutEnd(w, out, r)
				return true
			}
			sendStream(w, out, r)
			return true
		}
		if i == workers {
			w.Service, w.Respond = "app", nil
		}
		if err := w.Start(); err != nil {
			record.Line("no worker: %v", err)
			return stage.NotRun
		}
		defer w.Stop()
		w.Register(platform.Store)
	}
	route := func(name, kind, service string, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeoutMs": deadline.Milliseconds(), "maxAttempts": 2, "streamResumption": resume,
		}
	}
	err = platform.PutJSON("op/config", map[string]any{
		"version":  1,
		"routes":   []any{route("stream", "streaming", "pool", true), route("order", "non_idempotent", "app", false)},
		"services": []any{map[string]any{"name": "pool", "connectionLimit": 836}, map[string]any{"name": "app", "connectionLimit": 220}},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{"key1"}}, map[string]any{"name": "t2", "apiKeys": []string{"key2"}}},
		"limits":   map[string]any{"maxBodyBytes": 4 << 20, "maxHeaderBytes": 16384, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	})
	if err != nil {
		return stage.NotRun
	}
	edge, err := stage.StartEdge(temp, stage.EdgeOptions{Name: "edge-1", Zone: "z", Store: platform.Address, MemoryMB: memoryMB, Descriptors: descriptors})
	if err != nil {
		record.Line("no edge: %v", err)
		return stage.NotRun
	}
	defer edge.Kill()
	if err := edge.AwaitReady(); err != nil {
		record.Line("%v", err)
		return stage.NotRun
	}
	return play(record, edge, &inTrouble)
}

func play(record *stage.Record, edge *stage.Edge, inTrouble *atomic.Bool) int {
	var ordinary, streams counts
	stop := make(chan struct{})
	var group sync.WaitGroup
	loop := func(pause time.Duration, f func(n int)) {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
					f(n)
				}
			}
		})
	}
	for c := range ordinaryClients {
		loop(time.Second, func(n int) { request(edge.Front, "order", fmt.Sprintf("o%d-%d", c, n), "key1", &ordinary) })
	}
	for c := range streamClients {
		loop(300*time.Millisecond, func(n int) { request(edge.Front, "stream", fmt.Sprintf("s%d-%d", c, n), "key2", &streams) })
	}
	time.Sleep(calm)
	record.Line("calm: ordinary %s | streams %s | peak memory %d MB", ordinary.text(), streams.text(), edge.PeakMB())
	inTrouble.Store(stage.Troubled())
	for end := time.Now().Add(load); time.Now().Before(end) && !edge.Exited(); {
		time.Sleep(time.Second)
		record.Line("ordinary %s | streams %s | peak memory %d MB", ordinary.text(), streams.text(), edge.PeakMB())
	}
	if edge.Exited() {
		time.Sleep(time.Second)
	}
	close(stop)
	group.Wait()
	record.Line("ordinary %s | streams %s | peak memory %d MB of %d MB | ended for its memory: %t",
		ordinary.text(), streams.text(), edge.PeakMB(), memoryMB, edge.KilledForMemory())
	switch {
	case edge.KilledForMemory():
		record.Line("broken: the process exceeded the memory of its machine")
		return stage.Broken
	case edge.Exited():
		record.Line("broken: the process ended by itself")
		return stage.Broken
	case ordinary.answered.Load() == 0 || streams.answered.Load() == 0:
		record.Line("nothing was served")
		return stage.NotRun
	}
	return stage.Held
}

// beginStream sends the head of a stream.
func beginStream(w *stage.Worker, out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Mulberryfork-Response-Signature", "sig."+w.ID+"."+r.Header.Get("X-Mulberryfork-Attempt-Id"))
	out.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(out).Flush()
}

func sendStream(w *stage.Worker, out http.ResponseWriter, r *http.Request) {
	beginStream(w, out, r)
	for id := 1; id <= events; id++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 60))
		_ = http.NewResponseController(out).Flush()
	}
}

// sendWithoutEnd sends lines that are no event, then a line without an end, until the caller
// closes the connection.
func sendWithoutEnd(w *stage.Worker, out http.ResponseWriter, r *http.Request) {
	beginStream(w, out, r)
	line := ":" + strings.Repeat("x", lineBytes-2) + "\n"
	for sent := 0; sent < burstBytes; sent += len(line) {
		_, _ = io.WriteString(out, line)
	}
	for sent := 0; sent < burstBytes; sent += len(line) {
		_, _ = io.WriteString(out, line[:len(line)-1])
	}
	for r.Context().Err() == nil {
		_ = http.NewResponseController(out).Flush()
		time.Sleep(trickleInterval)
		if _, err := io.WriteString(out, line[:trickleBytes]); err != nil {
			return
		}
	}
}

// request sends a request on a connection of its own and waits for the whole answer.
func request(address, path, id, key string, c *counts) {
	c.sent.Add(1)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.lost.Add(1)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	body := strings.Repeat("x", 800)
	_, err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Mulberryfork-Attempt-Id: %s\r\n"+
		"X-Mulberryfork-Deadline-Remaining: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, id, deadline.Milliseconds(), key, len(body), body)
	if err != nil {
		c.lost.Add(1)
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	switch {
	case err != nil:
		c.lost.Add(1)
	case response.StatusCode/100 == 2:
		c.answered.Add(1)
	default:
		c.refused.Add(1)
	}
}
