//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["misdirect"] = playMisdirect }

// playMisdirect has one client ask for a version of the weights that the workers don't
// have, and come again as its 503 says. Then the other clients of the model send requests.
func playMisdirect(s *system, trouble bool) (bool, error) {
	s.store.put("op/config", config(7, []map[string]any{route("draft", "/draft/", "streaming", "pool", 8000, 2)}, []map[string]any{serviceEntry("pool")}))
	for i := range 4 {
		k := &worker{id: fmt.Sprintf("i-%d", i+1), service: "pool", address: "127.0.0.1:0", zone: "sk-west-a", slots: 12,
			born: time.Now().UnixMilli() - 60_000, weightVersion: 1, answer: answerStream}
		if err := k.start(s.rec); err != nil {
			return false, err
		}
		defer k.stop()
		k.register(s.store)
	}
	if err := s.startEdges(2); err != nil {
		return false, err
	}
	version := "1"
	if trouble {
		version = "2"
	}
	for i := range 6 {
		one := &caller{name: "client that expects version " + version, address: s.edges[i%2].http, rec: s.rec}
		a := one.do(request{method: "POST", target: "/draft/1", body: []byte("draft"), deadlineMs: 8000,
			headers: map[string]string{"X-Mulberryfork-Expected-Version": version}})
		one.close()
		if !trouble && a.status != 200 {
			return false, fmt.Errorf("a request for the version of the workers failed: %v", a)
		}
		time.Sleep(time.Second)
	}
	sent, served := 0, 0
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); sent++ {
		other := &caller{name: "another client", address: s.edges[sent%2].http, rec: s.rec}
		if a := other.do(request{method: "POST", target: fmt.Sprintf("/draft/%d", sent+2), body: []byte("draft"), deadlineMs: 8000}); a.err == nil && a.status == 200 {
			served++
		}
		other.close()
		time.Sleep(500 * time.Millisecond)
	}
	s.rec.log("%d of %d requests of the other clients were served", served, sent)
	return served == 0, nil
}
