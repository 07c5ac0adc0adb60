package peers

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/wire"
)

// dialTimeout bounds one connection with its handshake.
const dialTimeout = time.Second

// peer is a process that can be called. Calls to it are made one at a time, so
// that it gets digests in order.
type peer struct {
	address string
	// role is that of the list, empty for an address from the settings.
	role string
	turn chan *calls
}

// calls is what the holder of a peer's turn knows of earlier calls.
type calls struct {
	failures uint64
	// resume is when a peer that could not be reached may be dialled again.
	resume time.Duration
}

func newPeer(address, role string) *peer {
	p := &peer{address: address, role: role, turn: make(chan *calls, 1)}
	p.turn <- &calls{}
	return p
}

// keep replaces the table of peers. Those that stay keep their state, so that
// backoff goes on. A peer of the settings that is on the list has the name of
// its VM.
func (s *service) keep(members []api.VM) {
	next := make(map[string]*peer, len(members)+len(s.settings.Peers))
	var old map[string]*peer
	if table := s.peers.Load(); table != nil {
		old = *table
	}
	add := func(name, address, role string) {
		if p := old[name]; p != nil && p.address == address && p.role == role {
			next[name] = p
			return
		}
		next[name] = newPeer(address, role)
	}
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Address] = true
		if m.Name != s.settings.Node {
			add(m.Name, m.Address, m.Role)
		}
	}
	for _, address := range s.settings.Peers {
		if !listed[address] {
			add(address, address, "")
		}
	}
	s.peers.Store(&next)
}

// UnknownPeerError reports a call to a VM whose address is not known.
type UnknownPeerError struct{ Peer string }

func (e *UnknownPeerError) Error() string { return "no address is known for peer " + e.Peer }

// BackoffError reports a call to a peer that failed shortly before.
type BackoffError struct{ Peer string }

func (e *BackoffError) Error() string { return "peer " + e.Peer + " failed and is not called yet" }

// CallError reports a call to a peer that failed.
type CallError struct {
	Peer string
	Err  error
}

func (e *CallError) Error() string { return "peer " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// call makes one call in the peer's turn.
func (s *service) call(ctx context.Context, name string, f func(wire.DRPCPeerClient) error) error {
	p := (*s.peers.Load())[name]
	if p == nil {
		return &UnknownPeerError{Peer: name}
	}
	var turn *calls
	select {
	case turn = <-p.turn:
	case <-ctx.Done():
		return &CallError{Peer: name, Err: context.Cause(ctx)}
	}
	defer func() { p.turn <- turn }()
	if s.clock.Now() < turn.resume {
		return &BackoffError{Peer: name}
	}
	s.counts.calls.Add(1)
	conn := s.pool.Get(ctx, p.address, func(ctx context.Context, address string) (*drpcconn.Conn, error) {
		return s.dial(ctx, address, p.role)
	})
	if err := f(wire.NewDRPCPeerClient(conn)); err != nil {
		s.counts.failures.Add(1)
		turn.failures++
		turn.resume = s.clock.Now() + spread.RetryDelay(s.settings.Node, turn.failures)
		return &CallError{Peer: name, Err: err}
	}
	turn.failures = 0
	return nil
}

func (s *service) dial(ctx context.Context, address, role string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var conn net.Conn
	var err error
	if secure := s.trust.Client(role); secure != nil {
		conn, err = (&tls.Dialer{Config: secure}).DialContext(ctx, "tcp", address)
	} else {
		conn, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: wire.MaxPeerMessageBytes},
	}}), nil
}

// digest is what this process says of itself.
func (s *service) digest(ctx context.Context, seq uint64) api.PeerDigest {
	return api.PeerDigest{
		Node:         s.settings.Node,
		Role:         s.role,
		Zone:         s.settings.Zone,
		Incarnation:  s.incarnation,
		Seq:          seq,
		Version:      s.spread.Version(),
		Observations: s.observations.Outgoing(),
		Suspicions:   s.suspicions(ctx),
	}
}

// Exchange sends the own digest and takes the peer's.
func (s *service) Exchange(ctx context.Context, name string) (api.ConfigVersion, error) {
	var reply api.PeerDigest
	err := s.call(ctx, name, func(c wire.DRPCPeerClient) error {
		m, err := c.Exchange(ctx, wire.FromDigest(s.digest(ctx, s.sent.Add(1))))
		if err == nil {
			reply = wire.ToDigest(m)
		}
		return err
	})
	if err != nil {
		return api.ConfigVersion{}, err
	}
	if verdict := s.observations.MergeDigest(ctx, reply, true); verdict != api.DigestAccepted {
		s.count(verdict)
		return api.ConfigVersion{}, &DigestError{Node: reply.Node, Verdict: verdict}
	}
	s.mergeSuspicions(reply.Suspicions)
	return reply.Version, nil
}

// Fetch asks a peer for content.
func (s *service) Fetch(ctx context.Context, name string, want, base api.ConfigVersion) (api.ConfigContent, error) {
	var content api.ConfigContent
	err := s.call(ctx, name, func(c wire.DRPCPeerClient) error {
		m, err := c.Fetch(ctx, wire.FromFetch(want, base))
		if err == nil {
			content = wire.ToContent(m)
		}
		return err
	})
	return content, err
}
