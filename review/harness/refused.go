//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["refused"] = playRefused }

const (
	// failedShare is the share of its requests that the faulty worker fails.
	failedShare = 0.4
	// deskWorkers is the number of workers of the ordering service, of smaes-grown.
	deskWorkers = 7
	orders      = 200
)

// playRefused has one of seven workers fail part of its requests after it has run them, with
// the status 429 of its own: signed, and without the header that says that it did not run
// them. The clients order once more where a status promises that the order has not run.
func playRefused(s *system, trouble bool) (bool, error) {
	s.store.put("op/config", config(7, []map[string]any{route("orders", "/orders/", "non_idempotent", "desk", 1000, 1)}, []map[string]any{serviceEntry("desk")}))
	var faulty atomic.Bool
	var workers []*worker
	for i := range deskWorkers {
		k := &worker{id: fmt.Sprintf("i-%d", i+1), service: "desk", address: "127.0.0.1:0", zone: "sk-west-a", slots: 6, born: time.Now().UnixMilli() - 60_000}
		k.answer = func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			time.Sleep(30 * time.Millisecond)
			if i == 0 && faulty.Load() && rand.Float64() < failedShare {
				w.WriteHeader(http.StatusTooManyRequests)
				_, _ = w.Write([]byte("too many orders"))
				return
			}
			_, _ = w.Write([]byte("ordered"))
		}
		if err := k.start(s.rec); err != nil {
			return false, err
		}
		defer k.stop()
		k.register(s.store)
		workers = append(workers, k)
	}
	if err := s.startEdges(1); err != nil {
		return false, err
	}
	faulty.Store(trouble)
	ran := func(id string) (n int) {
		for _, k := range workers {
			n += len(k.ran(id))
		}
		return n
	}
	falsely, twice := 0, 0
	for i := range orders {
		c := &caller{name: "client", address: s.edges[0].http, rec: s.rec}
		total := 0
		for attempt := range 2 {
			a := c.do(request{method: http.MethodPost, target: fmt.Sprintf("/orders/%d", i), body: []byte("paper"), deadlineMs: 1000})
			runs := ran(a.id)
			total += runs
			if a.err != nil || a.status != http.StatusTooManyRequests && a.status != http.StatusServiceUnavailable {
				break
			}
			if runs > 0 {
				s.rec.log("request %s: answered %d, which promises that it has not run, and has run", a.id, a.status)
				falsely++
			}
			if attempt == 0 {
				s.rec.log("client: order %d has not run by that promise, and is sent again", i)
			}
		}
		c.close()
		if total > 1 {
			twice++
		}
	}
	s.rec.log("%d requests that had run were answered with a promise that they had not; %d of %d orders ran twice", falsely, twice, orders)
	return falsely > 0, nil
}
