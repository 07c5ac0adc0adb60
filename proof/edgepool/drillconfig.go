package edgepool

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

// firstKey and firstPath are in all versions of the configuration.
const (
	firstKey  = "key-0"
	firstPath = pathIdempotent
)

// configState is a version of the configuration during drills. The newest route and key are
// the last ones.
type configState struct {
	number uint64
	// routes and keys are those that versions add and remove, beside firstPath and firstKey.
	routes []configRoute
	keys   []string
	// removedRoute and withdrawnKey are the latest ones that a version took away.
	removedRoute, withdrawnKey string
}

type configRoute struct{ path, service string }

// next returns the version after this one. It adds a route, and at times removes or moves an
// older one, and adds a key or withdraws one.
func (c configState) next(r *rand.Rand) configState {
	c.routes, c.keys = slices.Clone(c.routes), slices.Clone(c.keys)
	c.number += 1 + uint64(r.IntN(3))
	if older := len(c.routes); older > 0 {
		i := r.IntN(older)
		switch r.IntN(4) {
		case 0:
			c.removedRoute = c.routes[i].path
			c.routes = slices.Delete(c.routes, i, i+1)
		case 1:
			c.routes[i].service = services[1-slices.Index(services, c.routes[i].service)]
		}
	}
	c.routes = append(c.routes, configRoute{fmt.Sprintf("/route-%d/", c.number), schedule.Pick(services, r)})
	switch {
	case r.IntN(3) == 0:
		c.keys = append(c.keys, fmt.Sprintf("new-key-%d", c.number))
	case len(c.keys) > 0 && r.IntN(4) == 0:
		i := r.IntN(len(c.keys))
		c.withdrawnKey = c.keys[i]
		c.keys = slices.Delete(c.keys, i, i+1)
	}
	return c
}

// version returns the routes and keys as the record has them.
func (c configState) version() proof.ConfigVersion {
	v := proof.ConfigVersion{Number: c.number, Routes: map[string]string{firstPath: services[1]}, Keys: map[string]bool{firstKey: true}}
	for _, r := range c.routes {
		v.Routes[r.path] = r.service
	}
	for _, k := range c.keys {
		v.Keys[k] = true
	}
	return v
}

// document returns the configuration as the operator writes it.
func (c configState) document() platformstore.Config {
	v := c.version()
	d := platformstore.Config{Version: c.number, Host: host, ColdRate: make(map[string]float64)}
	for _, path := range slices.Sorted(maps.Keys(v.Routes)) {
		d.Routes = append(d.Routes, platformstore.Route{
			Prefix: path, Kind: "idempotent", Service: v.Routes[path], Timeout: routeTimeout, MaxAttempts: maxAttempts,
		})
	}
	for _, s := range services {
		d.ColdRate[s] = coldRate
	}
	d.Keys = map[string][]string{"member-0": slices.Sorted(maps.Keys(v.Keys))}
	return d
}

// drillRequest is the route and key of a request.
type drillRequest struct{ path, key string }

// Kinds of requests during drills, sent in parallel.
const (
	requestNewestRoute = iota
	requestOlderRoute
	requestNewestKey
	drillRequestKinds
)

// draw returns a request of a kind under this version. Some requests for older routes and
// keys use one that was taken away.
func (c configState) draw(kind int, r *rand.Rand) drillRequest {
	q := drillRequest{firstPath, firstKey}
	switch kind {
	case requestNewestRoute:
		if n := len(c.routes); n > 0 {
			q.path = c.routes[n-1].path
		}
	case requestOlderRoute:
		if i := r.IntN(len(c.routes) + 1); i > 0 {
			q.path = c.routes[i-1].path
		}
		if c.removedRoute != "" && r.IntN(4) == 0 {
			q.path = c.removedRoute
		}
	case requestNewestKey:
		if n := len(c.keys); n > 0 {
			q.key = c.keys[n-1]
		}
		if c.withdrawnKey != "" && r.IntN(4) == 0 {
			q.key = c.withdrawnKey
		}
	}
	return q
}
