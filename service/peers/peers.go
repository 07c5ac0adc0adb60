// Package peers exchanges digests and configuration content with other processes,
// both as client and as server. It passes received data to the membership service,
// the configuration store and the suspicion tracker, which make the decisions.
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
	// maxConnections bounds the pooled connections. A process regularly exchanges
	// digests with fewer than ten peers.
	maxConnections = 32
	// idleTimeout is the time after which an unused connection is closed. It exceeds
	// the time between regular exchanges with a peer.
	idleTimeout = time.Minute
)

type service struct {
	settings     *api.Settings
	trust        api.Trust
	registrar    wire.Registrar
	gossip       api.ConfigGossip
	observations api.ObservationMerger
	// suspicionTracker is nil in a process that tracks no suspicions.
	suspicionTracker api.SuspicionTracker
	clock            kernel.Clock
	role             string
	incarnation      api.Incarnation
	// lastSeq is the sequence number of the last digest sent in a call. Digests in
	// replies have none.
	lastSeq atomic.Uint64

	pool *drpcpool.Pool[string, *drpcconn.Conn]
	// peers maps names to peers. The map is replaced when the membership list
	// changes.
	peers         atomic.Pointer[map[string]*peer]
	members       []api.VM
	ctx           context.Context
	cancel        context.CancelFunc
	mu            sync.Mutex
	stopped       bool
	notifications sync.WaitGroup
	counts        counters
}

type counters struct {
	calls, failedCalls, replayedDigests, foreignDigests api.Counter
}

// incarnationProvider is implemented by the work service of an agent, whose
// incarnation is that of the process.
type incarnationProvider interface{ Incarnation() api.Incarnation }

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.trust, err = kernel.Lookup[api.Trust](c, api.ServiceTrust); err != nil {
		return err
	}
	if s.gossip, err = kernel.Lookup[api.ConfigGossip](c, api.ServiceConfigStore); err != nil {
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
	if err := s.initIdentity(c); err != nil {
		return err
	}
	if err := s.lookupSuspicionTracker(c); err != nil {
		return err
	}
	s.clock = c.Clock()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration: idleTimeout, Capacity: maxConnections, KeyCapacity: 1,
	})
	s.updatePeers(nil)
	membership.Subscribe(s.updateMembership)
	s.observations.SetUrgentSender(s.notify)
	s.gossip.SetPeerClient(s)
	return s.registrar.RegisterPeer(&server{service: s})
}

// initIdentity sets the role and the incarnation for digests and creates the
// counters.
func (s *service) initIdentity(c *kernel.Context) error {
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.counts = counters{
		calls:           metrics.Counter("peer_calls", ""),
		failedCalls:     metrics.Counter("peer_call_failures", ""),
		replayedDigests: metrics.Counter("peer_replayed", ""),
		foreignDigests:  metrics.Counter("peer_foreign", ""),
	}
	work, agent, err := kernel.LookupOptional[incarnationProvider](c, api.ServiceWork)
	if err != nil {
		return err
	}
	if agent {
		s.role, s.incarnation = api.RoleAgent, work.Incarnation()
		return nil
	}
	var b [8]byte
	// crypto/rand.Read never fails. Zero means no incarnation, so the lowest bit is
	// set.
	_, _ = rand.Read(b[:])
	s.role, s.incarnation = api.RoleRouter, api.Incarnation(binary.LittleEndian.Uint64(b[:])|1)
	return nil
}

// updateMembership handles a membership change on the control loop. It ignores an
// empty list, since the membership list is empty until it was first read.
func (s *service) updateMembership(now time.Duration, members []api.VM) {
	if len(members) == 0 || slices.Equal(members, s.members) {
		return
	}
	s.members = members
	s.updatePeers(members)
	s.gossip.UpdateMembers(now, members)
}

// notify sends digests to VMs immediately. It runs on the control loop and does
// not block.
func (s *service) notify(vms []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range vms {
		if s.stopped {
			return
		}
		s.notifications.Add(1)
		go func() {
			defer s.notifications.Done()
			ctx, cancel := context.WithTimeout(s.ctx, notifyTimeout)
			defer cancel()
			// Exchange counts failures, and the next poll of the list notifies again.
			_, _ = s.Exchange(ctx, vm)
		}()
	}
}

// notifyTimeout limits one notification. It is the interval between polls of the
// membership list, since each poll notifies the VMs again.
const notifyTimeout = time.Second

func (s *service) Stop(context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.notifications.Wait()
	// Close errors are ignored, because no connection is used any more.
	_ = s.pool.Close()
	return nil
}
