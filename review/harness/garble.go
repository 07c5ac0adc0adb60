//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["garble"] = playGarble }

const (
	// spoiledShare is the share of its answers that the faulty worker spoils.
	spoiledShare = 0.02
	// longPieces and longGap make a stream of two seconds.
	longPieces = 20
	longGap    = 100 * time.Millisecond
)

func answerLongStream(w http.ResponseWriter, _ *http.Request, _ []byte) {
	w.Header().Set("Content-Type", "text/event-stream")
	for id := 1; id <= longPieces; id++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(longGap)
	}
}

// answerSpoiled answers with a wrong byte in the status line: "000" instead of "200".
func answerSpoiled(w http.ResponseWriter) {
	header := w.Header().Clone()
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	fmt.Fprint(buffer, "HTTP/1.1 000 OK\r\n")
	header.Set("Content-Length", "6")
	header.Set("Content-Type", "text/plain")
	_ = header.Write(buffer)
	fmt.Fprint(buffer, "\r\nanswer")
	_ = buffer.Flush()
}

// playGarble has one of three workers of the service "desk" spoil some of its answers, while
// clients read streams of sound workers of the service "pool" on kept connections.
func playGarble(s *system, trouble bool) (bool, error) {
	s.store.put("op/config", config(7, []map[string]any{
		route("draft", "/draft/", "streaming", "pool", 8000, 2),
		route("status", "/status/", "idempotent", "desk", 1000, 2),
	}, []map[string]any{serviceEntry("pool"), serviceEntry("desk")}))
	var faulty atomic.Bool
	for i, service := range []string{"pool", "pool", "desk", "desk", "desk"} {
		k := &worker{id: fmt.Sprintf("i-%d", i+1), service: service, address: "127.0.0.1:0", zone: "sk-west-a", slots: 12, born: time.Now().UnixMilli() - 60_000}
		if service == "pool" {
			k.weightVersion, k.answer = 1, answerLongStream
		}
		if i == 4 {
			k.answer = func(w http.ResponseWriter, _ *http.Request, _ []byte) {
				if faulty.Load() && rand.Float64() < spoiledShare {
					s.rec.log("worker %s: spoils a byte of the status line of its answer", k.id)
					answerSpoiled(w)
					return
				}
				_, _ = w.Write([]byte("answer"))
			}
		}
		if err := k.start(s.rec); err != nil {
			return false, err
		}
		defer k.stop()
		k.register(s.store)
	}
	if err := s.startEdges(1); err != nil {
		return false, err
	}
	edge := s.edges[0]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var whole, lost atomic.Int64
	client := func(name string, pause time.Duration, q request, counts bool) {
		clients.Go(func() {
			c := &caller{name: name, address: edge.http, rec: s.rec}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				if c.conn == nil && c.connect() != nil {
					continue
				}
				a := c.do(q)
				switch {
				case !counts:
				case a.err == nil && a.status == http.StatusOK:
					whole.Add(1)
				case a.err != nil:
					lost.Add(1)
				}
			}
		})
	}
	for i := range 10 {
		client(fmt.Sprintf("stream client %d", i), 50*time.Millisecond, request{method: "POST", target: "/draft/1", body: []byte("draft"), deadlineMs: 8000}, true)
		client(fmt.Sprintf("lookup client %d", i), 100*time.Millisecond, request{method: "GET", target: "/status/1", deadlineMs: 1000}, false)
	}
	time.Sleep(5 * time.Second)
	faulty.Store(trouble)
	ends := 0
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && ends < 3; time.Sleep(50 * time.Millisecond) {
		if !edge.ended() {
			continue
		}
		ends++
		s.rec.log("the process of %s has ended by itself: %v", edge.name, edge.command.ProcessState)
		time.Sleep(500 * time.Millisecond)
		if err := s.start(edge); err != nil {
			return false, err
		}
		_ = edge.waitReady()
	}
	close(stop)
	clients.Wait()
	s.rec.log("the process ended by itself %d times; %d streams of sound workers were whole, %d were cut off on kept connections; LOST allows three", ends, whole.Load(), lost.Load())
	return ends > 0 && lost.Load() > 3, nil
}
