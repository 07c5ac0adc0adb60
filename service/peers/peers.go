// Package peers carries digests and content between any two processes: it
// calls peers and answers their calls. It decides nothing; what it hears goes
// to the membership and to the configuration store.
package peers

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// connections bounds the connections kept. A process exchanges regularly
	// with fewer than ten peers.
	connections = 32
	// idleLimit closes a connection that is not used. It exceeds the time
	// between regular exchanges with one neighbour.
	idleLimit = time.Minute
)

type service struct {
	settings     *api.Settings
	trust        api.Trust
	registrar    wire.Registrar
	spread       api.ConfigGossip
	observations api.ObservationMerger
	// suspects is nil in a process that knows none.
	suspects    api.SuspicionTracker
	clock       kernel.Clock
	role        string
	incarnation api.Incarnation
	// sent numbers the digests that are sent on the own initiative.
	sent atomic.Uint64

	pool *drpcpool.Pool[string, *drpcconn.Conn]
	// peers is replaced as a whole when the membership list changes.
	peers   atomic.Pointer[map[string]*peer]
	members []api.VM
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	stopped bool
	telling sync.WaitGroup
	counts  counters
}

type counters struct {
	calls, failures, replayed, foreign api.Counter
}

// incarnate is the work service of an agent, whose incarnation is that of the
// process.
type incarnate interface{ Incarnation() api.Incarnation }

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.trust, err = kernel.Lookup[api.Trust](c, api.ServiceTrust); err != nil {
		return err
	}
	if s.spread, err = kernel.Lookup[api.ConfigGossip](c, api.ServiceConfigStore); err != nil {
		return err
	}
	membership, err := kernel.Lookup[api.Membership](c, api.ServiceMembership)
	if err != nil {
		return err
	}
	if s.observations, err = kernel.Lookup[api.ObservationMerger](c, api.ServiceMembership); err != nil {
		return err
	}
	if s.registrar, err = kernel.Lookup[wire.Registrar](c, api.ServiceTransportServer); err != nil {
		return err
	}
	if err := s.identify(c); err != nil {
		return err
	}
	if err := s.findSuspects(c); err != nil {
		return err
	}
	s.clock = c.Clock()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration: idleLimit, Capacity: connections, KeyCapacity: 1,
	})
	s.keep(nil)
	membership.Subscribe(s.update)
	s.observations.SetUrgentSender(s.tell)
	s.spread.SetPeerClient(s)
	return s.registrar.RegisterPeer(&server{service: s})
}

// identify settles the role and the incarnation that digests carry.
func (s *service) identify(c *kernel.Context) error {
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.counts = counters{
		calls:    metrics.Counter("peer_calls", ""),
		failures: metrics.Counter("peer_call_failures", ""),
		replayed: metrics.Counter("peer_replayed", ""),
		foreign:  metrics.Counter("peer_foreign", ""),
	}
	work, agent, err := kernel.LookupOptional[incarnate](c, api.ServiceWork)
	if err != nil {
		return err
	}
	if agent {
		s.role, s.incarnation = api.RoleAgent, work.Incarnation()
		return nil
	}
	var b [8]byte
	// crypto/rand.Read never fails. Zero means no incarnation, so it is avoided.
	_, _ = rand.Read(b[:])
	s.role, s.incarnation = api.RoleRouter, api.Incarnation(binary.LittleEndian.Uint64(b[:])|1)
	return nil
}

// update takes a change of membership on the control loop.
func (s *service) update(now time.Duration, members []api.VM) {
	if len(members) == 0 || slices.Equal(members, s.members) {
		return
	}
	s.members = members
	s.keep(members)
	s.spread.UpdateMembers(now, members)
}

// tell sends digests to VMs at once. It runs on the control loop and does not
// wait.
func (s *service) tell(vms []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range vms {
		if s.stopped {
			return
		}
		s.telling.Add(1)
		go func() {
			defer s.telling.Done()
			ctx, cancel := context.WithTimeout(s.ctx, tellTimeout)
			defer cancel()
			// A failure is counted by the call; the next read of the list tries again.
			_, _ = s.Exchange(ctx, vm)
		}()
	}
}

// tellTimeout is the time until the next read of the list.
const tellTimeout = time.Second

func (s *service) Stop(context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.telling.Wait()
	// What the connections say while they close changes nothing.
	_ = s.pool.Close()
	return nil
}
