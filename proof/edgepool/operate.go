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
	// maxRevokedKeys is how many revoked keys callers go on to use.
	maxRevokedKeys = 2
)

// Prefixes of paths. A request's id begins with that of its path.
const (
	pathOnce   = "/once/"
	pathRepeat = "/repeat/"
	pathStream = "/stream/"
	// pathMoved is sent from one service to the other by operators.
	pathMoved = "/moved/"
)

var services = []string{"svc-a", "svc-b"}

// operator writes configurations and keeps what is in force.
type operator struct {
	mu      sync.Mutex
	pool    *Pool
	version uint64
	movedTo int
	keys    map[string]string
	issued  int
	// revoked are keys that callers still try.
	revoked []credential
}

// credential is an API key and its member.
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

// routes is the service of each path.
func (o *operator) routes() map[string]string {
	return map[string]string{
		pathOnce: services[0], pathRepeat: services[1], pathStream: services[0], pathMoved: services[o.movedTo],
	}
}

func (o *operator) write() {
	c := platformstore.Config{
		Version: o.version, Host: host, Keys: make(map[string][]string), ColdPerSecond: make(map[string]float64),
	}
	for path, kind := range map[string]string{
		pathOnce: "non_idempotent", pathRepeat: "idempotent", pathStream: "streaming", pathMoved: "idempotent",
	} {
		r := platformstore.Route{Prefix: path, Kind: kind, Service: o.routes()[path], Timeout: routeTimeout, MaxSends: maxSends, Resumable: true}
		if path == pathOnce {
			r.MaxSends, r.Resumable = 1, false
		}
		c.Routes = append(c.Routes, r)
	}
	for _, s := range services {
		c.ColdPerSecond[s] = coldRate
	}
	for member, key := range o.keys {
		c.Keys[member] = []string{key}
	}
	o.pool.Store.SetConfig(c)
}

// move sends the requests of a path to the other service.
func (o *operator) move() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 3
	o.movedTo = 1 - o.movedTo
	// A process may act on the configuration before the write returns.
	o.pool.UpdateRecord(func(r *proof.Record) {
		r.RouteChanges = append(r.RouteChanges, proof.RouteChange{Path: pathMoved, Service: services[o.movedTo], At: o.pool.Now()})
	})
	o.write()
}

// revoke takes the key of a member away and gives it another.
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

// credentials are the keys in force, in the order of members, and those that were
// revoked lately.
func (o *operator) credentials() (valid, revoked []credential) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for member, key := range o.keys {
		valid = append(valid, credential{member, key})
	}
	slices.SortFunc(valid, func(a, b credential) int { return strings.Compare(a.member, b.member) })
	return valid, slices.Clone(o.revoked)
}

// setZoneOut takes a zone out of service, or puts it back.
func (p *Pool) setZoneOut(zone string, out bool) {
	list := func(r *proof.Record) *[]proof.Exclusion { return &r.Zones }
	if !out {
		p.recordExclusion(list, zone, false)
	}
	p.Store.SetZoneOut(zone, out)
	if out {
		p.recordExclusion(list, zone, true)
	}
}

// recordExclusion records that something is out of new work from now on, or until now.
func (p *Pool) recordExclusion(list func(*proof.Record) *[]proof.Exclusion, name string, out bool) {
	now := p.Now()
	p.UpdateRecord(func(r *proof.Record) {
		all := list(r)
		if out {
			*all = append(*all, proof.Exclusion{Name: name, From: now})
			return
		}
		for i := range *all {
			if t := &(*all)[i]; t.Name == name && t.Until == 0 {
				t.Until = now
			}
		}
	})
}
