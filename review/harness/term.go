//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term"] = playTerm }

// termClients is the number of clients, each with one kept connection.
const termClients = 71

// playTerm stops edges with SIGTERM while clients send request after request on kept
// connections, and starts them again.
func playTerm(s *system, trouble bool) (bool, error) {
	s.store.put("op/config", config(7, []map[string]any{route("orders", "/orders/", "non_idempotent", "desk", 3000, 1)}, []map[string]any{serviceEntry("desk")}))
	var workers []*worker
	for i := range 3 {
		k := &worker{id: fmt.Sprintf("i-%d", i+1), service: "desk", address: "127.0.0.1:0", zone: "sk-west-a", slots: 60, born: time.Now().UnixMilli() - 60_000}
		k.answer = func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			time.Sleep(30 * time.Millisecond)
			_, _ = w.Write([]byte("ordered"))
		}
		if err := k.start(&record{}); err != nil {
			return false, err
		}
		defer k.stop()
		k.register(s.store)
		workers = append(workers, k)
	}
	if err := s.startEdges(2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	cut, sent := []answer{}, 0
	quiet := &record{file: nil}
	for n := range termClients {
		clients.Go(func() {
			c := &caller{name: "client", address: s.edges[n%2].http, rec: quiet}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c.conn == nil && c.connect() != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				began := time.Since(s.rec.start)
				a := c.do(request{method: http.MethodPost, target: "/orders/1", body: []byte("paper"), deadlineMs: 3000})
				mu.Lock()
				sent++
				if a.err != nil {
					s.rec.log("client of %s: request %s, sent at %.6f s: %v", s.edges[n%2].name, a.id, began.Seconds(), a)
					cut = append(cut, a)
				}
				mu.Unlock()
			}
		})
	}
	var edges sync.WaitGroup
	failures := make(chan error, 2)
	end := time.Now().Add(80 * time.Second)
	for i, e := range s.edges {
		edges.Go(func() {
			time.Sleep(time.Duration(i) * 1500 * time.Millisecond)
			for time.Now().Before(end) {
				time.Sleep(500 * time.Millisecond)
				if !trouble {
					continue
				}
				s.rec.log("SIGTERM to %s", e.name)
				e.signal(syscall.SIGTERM)
				<-e.done
				s.rec.log("%s has ended: %v", e.name, e.command.ProcessState)
				if err := s.start(e); err != nil {
					failures <- err
					return
				}
				if err := e.waitReady(); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	edges.Wait()
	close(stop)
	clients.Wait()
	select {
	case err := <-failures:
		return false, err
	default:
	}
	ran := 0
	for _, a := range cut {
		for _, k := range workers {
			if len(k.ran(a.id)) > 0 {
				s.rec.log("worker %s ran request %s, which got no answer", k.id, a.id)
				ran++
			}
		}
	}
	s.rec.log("%d requests; %d connections ended without an answer, %d of these requests had been passed on to a worker", sent, len(cut), ran)
	return ran > 0, nil
}
