//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["forged"] = playForged }

// playForged has another writer put an entry without a version beside that of each worker,
// with the worker's address and a later start.
func playForged(s *system, trouble bool) (bool, error) {
	s.store.put("op/config", config(7, []map[string]any{route("status", "/status/", "idempotent", "desk", 1000, 2)}, []map[string]any{serviceEntry("desk")}))
	var workers []*worker
	for i := range 3 {
		k := &worker{id: fmt.Sprintf("i-%d", i+1), service: "desk", address: "127.0.0.1:0", zone: "sk-west-a", slots: 12, born: time.Now().UnixMilli() - 60_000}
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
	if trouble {
		for _, k := range workers {
			entry := k.entry()
			delete(entry, "version")
			entry["born"] = k.born + 1000
			s.store.put("servers/other-"+k.id, entry)
		}
		time.Sleep(2 * time.Second)
	}
	sent, served := 0, 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); sent++ {
		c := &caller{name: "client", address: s.edges[0].http, rec: s.rec}
		if a := c.do(request{method: "GET", target: "/status/1", deadlineMs: 1000}); a.err == nil && a.status == 200 {
			served++
		}
		c.close()
		time.Sleep(200 * time.Millisecond)
	}
	s.rec.log("%d of %d requests were served", served, sent)
	return served == 0, nil
}
