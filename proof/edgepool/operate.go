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
	maxSends     = 2
	members      = 2
	// maxRevokedKeys bounds the revoked keys that callers still use.
	maxRevokedKeys = 2
)

// Path prefixes. The ID of a request begins with the prefix of its path.
const (
	pathOnce   = "/once/"
	pathRepeat = "/repeat/"
	pathStream = "/stream/"
	// pathMoved is the path that operators route to the other service during a run.
	pathMoved = "/moved/"
)

var services = []string{"svc-a", "svc-b"}

// operator writes configurations to the store and keeps the current one.
type operator struct {
	mu      sync.Mutex
	pool    *Pool
	version uint64
	movedTo int
	keys    map[string]string
	issued  int
	// revoked holds the revoked keys that callers still use.
	revoked []credential
}

// credential is an API key of a member.
type credential struct{ member, key string }

func newOperator(p *Pool) *operator {
	o := &operator{pool: p, version: 1, keys: make(map[string]string)}
	for i := range members {
		o.keys[fmt.Sprintf("member-%d", i)] = fmt.Sprintf("key-%d", i)
	}
	o.issued = members
	o.write()
	p.UpdateRecord(func(r *proof.Record) {
		for path, service := range o.routes() {
			r.RouteChanges = append(r.RouteChanges, proof.RouteChange{Path: path, Service: service})
		}
	})
	return o
}

// routes returns the service of each path.
func (o *operator) routes() map[string]string {
	return map[string]string{
		pathOnce: services[0], pathRepeat: services[1], pathStream: services[0], pathMoved: services[o.movedTo],
	}
}

func (o *operator) write() {
	c := platformstore.Config{
		Version: o.version, Host: host, Keys: make(map[string][]string), ColdRate: make(map[string]float64),
	}
	for path, kind := range map[string]string{
		pathOnce: "non_idempotent", pathRepeat: "idempotent", pathStream: "streaming", pathMoved: "idempotent",
	} {
		r := platformstore.Route{Prefix: path, Kind: kind, Service: o.routes()[path], Timeout: routeTimeout, MaxAttempts: maxSends, Resumable: true}
		if path == pathOnce {
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

// move routes pathMoved to the other service.
func (o *operator) move() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 3
	o.movedTo = 1 - o.movedTo
	// Recorded before the write, since a process may apply the configuration before
	// the write returns.
	o.pool.UpdateRecord(func(r *proof.Record) {
		r.RouteChanges = append(r.RouteChanges, proof.RouteChange{Path: pathMoved, Service: services[o.movedTo], At: o.pool.Now()})
	})
	o.write()
}

// revoke replaces the key of a member and records the revocation of the old one.
func (o *operator) revoke(member string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	old := o.keys[member]
	o.keys[member] = fmt.Sprintf("key-%d", o.issued)
	o.issued++
	o.write()
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
