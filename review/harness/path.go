//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["slashes"] = playSlashes
	cases["escapes"] = playEscapes
}

// startDesk starts an edge before workers of the services "pool" and "desk".
func startDesk(s *system, routes []map[string]any) (map[string]*worker, error) {
	s.store.put("op/config", config(7, routes, []map[string]any{serviceEntry("pool"), serviceEntry("desk")}))
	workers := map[string]*worker{}
	for i, service := range []string{"pool", "desk"} {
		k := &worker{id: fmt.Sprintf("i-%d", i+1), service: service, address: "127.0.0.1:0", zone: "sk-west-a", slots: 12, born: time.Now().UnixMilli() - 60_000}
		if err := k.start(s.rec); err != nil {
			return workers, err
		}
		k.register(s.store)
		workers[service] = k
	}
	return workers, s.startEdges(1)
}

// playSlashes sends paths that begin with two slashes on a route with the prefix "/".
func playSlashes(s *system, trouble bool) (bool, error) {
	workers, err := startDesk(s, []map[string]any{route("all", "/", "non_idempotent", "desk", 1000, 1)})
	for _, k := range workers {
		defer k.stop()
	}
	if err != nil {
		return false, err
	}
	changed := 0
	for i := range 5 {
		target := fmt.Sprintf("/orders/%d", i)
		if trouble {
			target = "/" + target
		}
		c := &caller{name: "client", address: s.edges[0].http, rec: s.rec}
		a := c.do(request{method: http.MethodPost, target: target, body: []byte("paper"), deadlineMs: 1000})
		c.close()
		runs := workers["desk"].ran(a.id)
		if len(runs) == 0 {
			return false, fmt.Errorf("the request did not run: %v", a)
		}
		if runs[0].target != target || runs[0].host != host {
			s.rec.log("request %s: sent as %s to host %s, run as %s on host %s", a.id, target, host, runs[0].target, runs[0].host)
			changed++
		}
	}
	s.rec.log("%d of 5 requests ran with another path", changed)
	return changed > 0, nil
}

// playEscapes sends a path that begins with no prefix but "/", until it is unescaped.
func playEscapes(s *system, trouble bool) (bool, error) {
	workers, err := startDesk(s, []map[string]any{
		route("all", "/", "non_idempotent", "desk", 1000, 1),
		route("draft", "/draft/", "non_idempotent", "pool", 1000, 1),
	})
	for _, k := range workers {
		defer k.stop()
	}
	if err != nil {
		return false, err
	}
	wrong := 0
	for i := range 5 {
		target := fmt.Sprintf("/draft-%d", i)
		if trouble {
			target = fmt.Sprintf("/draft%%2F%d", i)
		}
		c := &caller{name: "client", address: s.edges[0].http, rec: s.rec}
		a := c.do(request{method: http.MethodPost, target: target, body: []byte("paper"), deadlineMs: 1000})
		c.close()
		if len(workers["desk"].ran(a.id))+len(workers["pool"].ran(a.id)) == 0 {
			return false, fmt.Errorf("the request did not run: %v", a)
		}
		if len(workers["pool"].ran(a.id)) > 0 {
			s.rec.log("request %s: %s ran on the service of the route /draft/", a.id, target)
			wrong++
		}
	}
	s.rec.log("%d of 5 requests ran on a service to which no route sends them", wrong)
	return wrong > 0, nil
}
