package edgepool

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

const (
	host         = "pool.example"
	routeTimeout = 4 * time.Second
	maxAttempts  = 2
	memberCount  = 2
	// maxRevokedKeys bounds the number of revoked keys that callers still use.
	maxRevokedKeys = 2
)

// Path prefixes. The ID of a request begins with the prefix of its path.
const (
	pathNonIdempotent = "/once/"
	pathIdempotent    = "/repeat/"
	pathStream        = "/stream/"
	// pathMoved is the prefix whose route operators switch between the two services
	// during a run.
	pathMoved = "/moved/"
)

var services = []string{"svc-a", "svc-b"}

// operator changes the configuration and writes it to the store.
type operator struct {
	mu           sync.Mutex
	pool         *Pool
	version      uint64
	movedService int
	keys         map[string]string
	issuedKeys   int
	// revoked holds the revoked keys that callers still use.
	revoked []credential
	// headerTimeout and idleTimeout are the published time limits of connections.
	headerTimeout, idleTimeout time.Duration
}

// credential is an API key of a member.
type credential struct{ member, key string }

func newOperator(p *Pool) *operator {
	o := &operator{pool: p, version: 1, keys: make(map[string]string)}
	for i := range memberCount {
		o.keys[fmt.Sprintf("member-%d", i)] = fmt.Sprintf("key-%d", i)
	}
	o.issuedKeys = memberCount
	o.writeConfig()
	p.UpdateRecord(func(r *proof.Record) {
		for path, service := range o.routes() {
			r.RouteChanges = append(r.RouteChanges, proof.RouteChange{Path: path, Service: service})
		}
	})
	return o
}

// routes returns the service to which each path is routed.
func (o *operator) routes() map[string]string {
	return map[string]string{
		pathNonIdempotent: services[0], pathIdempotent: services[1], pathStream: services[0], pathMoved: services[o.movedService],
	}
}

func (o *operator) writeConfig() {
	c := platformstore.Config{
		Version: o.version, Host: host, Keys: make(map[string][]string), ColdRate: make(map[string]float64),
		HeaderTimeout: o.headerTimeout, IdleTimeout: o.idleTimeout,
	}
	for path, kind := range map[string]string{
		pathNonIdempotent: "non_idempotent", pathIdempotent: "idempotent", pathStream: "streaming", pathMoved: "idempotent",
	} {
		r := platformstore.Route{Prefix: path, Kind: kind, Service: o.routes()[path], Timeout: routeTimeout, MaxAttempts: maxAttempts, Resumable: true}
		if path == pathNonIdempotent {
			r.MaxAttempts, r.Resumable = 1, false
		}
		c.Routes = append(c.Routes, r)
	}
	for _, s := range services {
		c.ColdRate[s] = coldRate
	}
	for member, key := range o.keys {
		c.Keys[member] = []string{key}
	}
	o.pool.Store.SetConfig(c)
}

// moveRoute routes pathMoved to the other service.
func (o *operator) moveRoute() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 3
	o.movedService = 1 - o.movedService
	// The change is recorded before the write, since a process may apply the
	// configuration before the write returns.
	o.pool.UpdateRecord(func(r *proof.Record) {
		r.RouteChanges = append(r.RouteChanges, proof.RouteChange{Path: pathMoved, Service: services[o.movedService], At: o.pool.Now()})
	})
	o.writeConfig()
}

// setTimes publishes other time limits for connections.
func (o *operator) setTimes(header, idle time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	o.headerTimeout, o.idleTimeout = header, idle
	o.writeConfig()
}

// revokeKey replaces the key of a member and records the revocation of the old one.
func (o *operator) revokeKey(member string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	old := o.keys[member]
	o.keys[member] = fmt.Sprintf("key-%d", o.issuedKeys)
	o.issuedKeys++
	o.writeConfig()
	o.revoked = append(o.revoked, credential{member, old})
	o.revoked = o.revoked[max(len(o.revoked)-maxRevokedKeys, 0):]
	o.pool.UpdateRecord(func(r *proof.Record) {
		r.Revoked = append(r.Revoked, proof.Exclusion{Name: old, From: o.pool.Now()})
	})
}

// credentials returns the valid keys, sorted by member, and the latest revoked keys.
func (o *operator) credentials() (valid, revoked []credential) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for member, key := range o.keys {
		valid = append(valid, credential{member, key})
	}
	slices.SortFunc(valid, func(a, b credential) int { return strings.Compare(a.member, b.member) })
	return valid, slices.Clone(o.revoked)
}

// setZoneOut takes a zone out of service or returns it to service.
func (p *Pool) setZoneOut(zone string, out bool) {
	list := func(r *proof.Record) *[]proof.Exclusion { return &r.Zones }
	if !out {
		p.recordExclusion(list, zone, false)
	}
	p.Store.SetZoneEvacuated(zone, out)
	if out {
		p.recordExclusion(list, zone, true)
	}
}

// recordExclusion records the start or the end of an exclusion.
func (p *Pool) recordExclusion(list func(*proof.Record) *[]proof.Exclusion, name string, excluded bool) {
	now := p.Now()
	p.UpdateRecord(func(r *proof.Record) {
		exclusions := list(r)
		if excluded {
			*exclusions = append(*exclusions, proof.Exclusion{Name: name, From: now})
			return
		}
		for i := range *exclusions {
			if t := &(*exclusions)[i]; t.Name == name && t.Until == 0 {
				t.Until = now
			}
		}
	})
}
