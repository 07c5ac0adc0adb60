package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// The figures are those of grown/smaes-grown.toml: the smallest edge, the number of tenants,
	// and the routes by which the configuration may grow.
	staleMemoryMB = 136
	staleMembers  = 24
	addedRoutes   = 1560
	// configApply is configApplyMs.
	configApply = 3 * time.Second
	// photos and notes are the uploads that begin together. A photo is sent at 1.1 Mbit/s and a
	// note at 0.3 Mbit/s, 15 Mbit/s in all, so that the link of the edge (28 Mbit/s) has room.
	photos     = 8
	notes      = 20
	noteBytes  = 300_000
	photoLasts = 30 * time.Second
	noteLasts  = 7500 * time.Millisecond
	// staleRounds is the number of changes of the configuration, roundTime the time in which the
	// rule is checked after each, calmTime the time before the next.
	staleRounds = 5
	roundTime   = 6500 * time.Millisecond
	calmTime    = 6 * time.Second
)

// staleConfig is a configuration in which the bookings go to a service.
func staleConfig(version int, bookings string) map[string]any {
	route := func(name, prefix, kind, service string, timeout time.Duration, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 300, "priority": 2, "maxAttempts": attempts, "anonymousAccess": false, "sessionAffinity": false,
			"streamResumption": false, "targetGapMs": 120,
		}
	}
	routes := []any{
		route("r-upload", "/lohu930/", "idempotent", "xano55b", 8*time.Second, 2),
		route("r-order", "/puxa403/", "non_idempotent", bookings, bookingTimeout, 1),
	}
	for n := range addedRoutes {
		routes = append(routes, route(fmt.Sprintf("r-%07d", n), fmt.Sprintf("/kuge%04d/2f/", n), "streaming", "xano55b", 8*time.Second, 2))
	}
	var members []any
	for n := range staleMembers {
		members = append(members, map[string]any{"name": fmt.Sprintf("hule%03d", n), "apiKeys": []any{memberKey(n)}})
	}
	members = append(members, map[string]any{"name": memberName, "apiKeys": []any{apiKey}})
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthCheckPath": "/healthz", "connectionLimit": 96}
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []any{service("xano55b"), service("wuno96b")}, "tenants": members,
		"limits": map[string]any{"maxBodyBytes": maxBodyBytes, "maxHeaderBytes": 16384, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	}
}

func memberKey(n int) string { return fmt.Sprintf("key-of-member-%d", n) }

// playStale moves a route to another service, time and again, while users of all tenants upload
// large bodies. The configuration is large.
func playStale(b *bench, trouble bool) ([]string, error) {
	store, err := b.startStore()
	if err != nil {
		return nil, err
	}
	services := []string{"xano55b", "wuno96b"}
	version := 7
	b.putJSON("op/config", staleConfig(version, services[0]))
	workers := map[string]*worker{}
	for _, name := range services {
		w := &worker{bench: b, id: "i-" + name, work: 10 * time.Millisecond}
		address, err := b.serve(w)
		if err != nil {
			return nil, err
		}
		workers[name] = w
		b.putJSON("servers/"+w.id, serverEntry(name, address, "sk-west-a", 6))
	}
	b.memoryMB = staleMemoryMB
	e, err := b.startEdge(store)
	if err != nil {
		return nil, err
	}
	sent := &sentIDs{bench: b, ids: map[string]bool{}}
	clients := &orders{bench: b, key: apiKey, prefix: "order", sentAt: map[string]time.Duration{}}
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { clients.run(e.http, stop) })
	var broken []string
	for round := range staleRounds {
		time.Sleep(calmTime + time.Duration(round)*170*time.Millisecond)
		var crowd sync.WaitGroup
		if trouble {
			startCrowd(sent, e.http, round, &crowd)
		}
		version += 2
		old, next := services[round%2], services[(round+1)%2]
		b.putJSON("op/config", staleConfig(version, next))
		changedAt := b.now()
		b.note("round %d: the store has acknowledged version %d, by which orders go to %s; no order that is sent after %.3f s may run at %s", round, version, next, (changedAt + configApply).Seconds(), old)
		time.Sleep(roundTime)
		late := 0
		for _, a := range workers[old].arrivals() {
			if at := clients.when(a.id); at > changedAt+configApply {
				late++
				broken = append(broken, fmt.Sprintf("CONFIG: %s, sent %.3f s after version %d was acknowledged, was run by the old service", a.id, (at-changedAt).Seconds(), version))
			}
		}
		b.note("round %d: %d orders were run too late by the old service", round, late)
		crowd.Wait()
	}
	close(stop)
	done.Wait()
	b.note("clients sent %d orders: %d were answered 200", clients.sent, clients.served)
	return broken, nil
}

// startCrowd starts the uploads of a round.
func startCrowd(sent *sentIDs, address string, round int, crowd *sync.WaitGroup) {
	for _, kind := range []struct {
		name    string
		n, size int
		lasts   time.Duration
	}{{"photo", photos, maxBodyBytes, photoLasts}, {"note", notes, noteBytes, noteLasts}} {
		for i := range kind.n {
			crowd.Go(func() {
				u := upload{key: memberKey(i), id: fmt.Sprintf("%s-%d-%d", kind.name, round, i), size: kind.size, lasts: kind.lasts}
				u.send(sent, address)
			})
		}
		time.Sleep(300 * time.Millisecond)
	}
}
