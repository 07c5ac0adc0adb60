package edgepool

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

const (
	slotsPerUpstream = 8
	// eventInterval is the time between the events of a stream. It makes streams last
	// long enough that some are in flight while processes stop.
	eventInterval = 40 * time.Millisecond
	// coldRate is the rate limit of an upstream in cold start, in requests per second.
	// The cold start lasts coldDuration.
	coldRate     = 2.0
	coldDuration = 3 * time.Second
)

// upstream is an upstream address with its current incarnation.
type upstream struct {
	pool  *Pool
	name  string
	zone  string
	proxy *faultproxy.Proxy

	mu sync.Mutex
	// id identifies the current incarnation, entry is its entry in the store, and
	// incarnation is its number, starting at 1.
	id          string
	entry       platformstore.Upstream
	incarnation int
}

func (p *Pool) addUpstream(i int) error {
	u := &upstream{pool: p, name: fmt.Sprintf("upstream-%d", i), zone: zones[i%len(zones)]}
	var err error
	if u.proxy, err = p.proxy(faultproxy.Link{Source: p.sourceEdge, To: u.name}); err != nil {
		return err
	}
	p.upstreams = append(p.upstreams, u)
	return u.replace(services[i/len(zones)%len(services)], 0)
}

// replace starts a new incarnation at the address, in cold start if cold is positive.
// It resets the connections to the old incarnation and deletes its entry from the
// store.
func (u *upstream) replace(service string, cold time.Duration) error {
	old, _ := u.current()
	if err := u.renew(service, cold); err != nil {
		return err
	}
	if old != "" {
		u.pool.Store.DeleteUpstream(old)
	}
	u.pool.Store.SetUpstream(u.current())
	return nil
}

// current returns the ID and the entry of the current incarnation.
func (u *upstream) current() (id string, entry platformstore.Upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id, u.entry
}

// renew is replace without the changes of the store.
func (u *upstream) renew(service string, cold time.Duration) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.incarnation++
	u.id = fmt.Sprintf("%s.%d", u.name, u.incarnation)
	address, err := u.pool.serve(u.worker(u.id, service))
	if err != nil {
		return err
	}
	u.proxy.SetTarget(address)
	u.pool.Network.Reset(faultproxy.Any, u.name)
	u.entry = platformstore.Upstream{
		Service: service, Address: u.proxy.Address(), Zone: u.zone, Slots: slotsPerUpstream, ColdStart: cold, StartedAtMs: time.Now().UnixMilli(),
	}
	if cold > 0 {
		from := u.pool.Now()
		u.pool.UpdateRecord(func(r *proof.Record) {
			r.ColdStarts = append(r.ColdStarts, proof.ColdStart{Upstream: u.id, Rate: coldRate, From: from, Until: from + cold})
		})
	}
	return nil
}

// service returns the service of the current incarnation.
func (u *upstream) service() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.entry.Service
}

// setLeaving marks the upstream as leaving in the store, or removes the mark.
func (u *upstream) setLeaving(leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.entry.Draining, u.entry.ColdStart = leaving, 0
	id := u.id
	if leaving {
		u.pool.Store.SetUpstream(id, u.entry)
		u.pool.recordExclusion(func(r *proof.Record) *[]proof.Exclusion { return &r.Leaving }, id, true)
		return
	}
	u.pool.recordExclusion(func(r *proof.Record) *[]proof.Exclusion { return &r.Leaving }, id, false)
	u.pool.Store.SetUpstream(id, u.entry)
}

// worker returns the stand-in for one incarnation. It records the attempts that it
// receives and those that it runs.
func (u *upstream) worker(id, service string) *platformworker.Worker {
	p := u.pool
	return &platformworker.Worker{
		InstanceID: id, Once: &p.once, EventInterval: eventInterval, KeepAlive: true,
		OnArrival: func(attempt string) {
			if isCrowd(attempt) {
				return
			}
			at := p.Now()
			p.UpdateRecord(func(r *proof.Record) {
				r.Arrivals = append(r.Arrivals, proof.Arrival{Attempt: attempt, Upstream: id, At: at})
			})
		},
		OnRun: func(q platformworker.Run) func(bool) {
			if isCrowd(q.RequestID) {
				return func(bool) {}
			}
			run := proof.Run{
				Attempt: q.RequestID, Request: q.RequestID, Member: q.Member, Upstream: id, Zone: u.zone, Service: service,
				Idempotent: !strings.HasPrefix(q.RequestID, pathNonIdempotent), Begin: p.Now(),
			}
			index := 0
			p.UpdateRecord(func(r *proof.Record) { index = len(r.Runs); r.Runs = append(r.Runs, run) })
			return func(complete bool) {
				end := p.Now()
				p.UpdateRecord(func(r *proof.Record) { r.Runs[index].End, r.Runs[index].Complete = end, complete })
			}
		},
	}
}
