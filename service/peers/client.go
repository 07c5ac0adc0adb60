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

// dialTimeout bounds a dial, including the TLS handshake.
const dialTimeout = time.Second

// peer is a process that can be called. Calls to one peer are serialized, so that
// it receives digests in order.
type peer struct {
	address string
	// role is the role on the membership list, empty for an address from the
	// settings.
	role  string
	state chan *callState
}

// callState is the backoff state of a peer. It also serves as the lock that
// serializes calls: a caller takes it from peer.state and puts it back.
type callState struct {
	// failures is the number of consecutive failed calls.
	failures uint64
	// retryAt is the end of the backoff after a failed call.
	retryAt time.Duration
}

func newPeer(address, role string) *peer {
	p := &peer{address: address, role: role, state: make(chan *callState, 1)}
	p.state <- &callState{}
	return p
}

// updatePeers replaces the table of peers by those on the membership list and in the
// settings. Unchanged peers keep their backoff. A peer on the list is named by its
// VM, a peer that is only in the settings by its address.
func (s *service) updatePeers(members []api.VM) {
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

// UnknownPeerError reports a call to a peer whose address is not known.
type UnknownPeerError struct{ Peer string }

func (e *UnknownPeerError) Error() string { return "no address known for peer " + e.Peer }

// BackoffError reports a call that was not made because the peer is in backoff
// after a failure.
type BackoffError struct{ Peer string }

func (e *BackoffError) Error() string { return "peer " + e.Peer + " is in backoff after a failed call" }

// CallError reports a failed call to a peer.
type CallError struct {
	Peer string
	Err  error
}

func (e *CallError) Error() string { return "peer " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// call waits for earlier calls to the peer and calls f with a connection to it. It
// returns an UnknownPeerError, a BackoffError or a CallError.
func (s *service) call(ctx context.Context, name string, f func(wire.DRPCPeerClient) error) error {
	p := (*s.peers.Load())[name]
	if p == nil {
		return &UnknownPeerError{Peer: name}
	}
	var state *callState
	select {
	case state = <-p.state:
	case <-ctx.Done():
		return &CallError{Peer: name, Err: context.Cause(ctx)}
	}
	defer func() { p.state <- state }()
	if s.clock.Now() < state.retryAt {
		return &BackoffError{Peer: name}
	}
	s.counts.calls.Add(1)
	conn := s.pool.Get(ctx, p.address, func(ctx context.Context, address string) (*drpcconn.Conn, error) {
		return s.dial(ctx, address, p.role)
	})
	if err := f(wire.NewDRPCPeerClient(conn)); err != nil {
		s.counts.failedCalls.Add(1)
		state.failures++
		state.retryAt = s.clock.Now() + spread.RetryDelay(s.settings.Node, state.failures)
		return &CallError{Peer: name, Err: err}
	}
	state.failures = 0
	return nil
}

func (s *service) dial(ctx context.Context, address, role string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var conn net.Conn
	var err error
	if config := s.trust.Client(role); config != nil {
		conn, err = (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address)
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

// newDigest returns the current digest of this process. seq is 0 in a reply.
func (s *service) newDigest(ctx context.Context, seq uint64) api.PeerDigest {
	return api.PeerDigest{
		Node:         s.settings.Node,
		Role:         s.role,
		Zone:         s.settings.Zone,
		Incarnation:  s.incarnation,
		Seq:          seq,
		Version:      s.gossip.Version(),
		Observations: s.observations.Outgoing(),
		Suspicions:   s.nextSuspicions(ctx),
	}
}

// Exchange sends the digest of this process to a peer, merges the digest in the
// reply and returns the active version of the peer.
func (s *service) Exchange(ctx context.Context, name string) (api.ConfigVersion, error) {
	var reply api.PeerDigest
	err := s.call(ctx, name, func(c wire.DRPCPeerClient) error {
		m, err := c.Exchange(ctx, wire.FromDigest(s.newDigest(ctx, s.lastSeq.Add(1))))
		if err == nil {
			reply = wire.ToDigest(m)
		}
		return err
	})
	if err != nil {
		return api.ConfigVersion{}, err
	}
	if decision := s.observations.MergeDigest(ctx, reply, true); decision != api.DigestAccepted {
		s.countRefusal(decision)
		return api.ConfigVersion{}, &DigestError{Node: reply.Node, Decision: decision}
	}
	s.mergeSuspicions(reply.Suspicions)
	return reply.Version, nil
}

// Fetch requests configuration content of at least version want from a peer. The
// peer may send it as a delta against base.
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
