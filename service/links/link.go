package links

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

const outboundQueueSize = 1024

// link maintains the connection to one agent and redials after a connection loss. Its
// fields are constant or atomic. A session protects its exchanges and queries in flight
// by a mutex.
type link struct {
	service  *service
	upstream string
	address  string
	vm       string
	ctx      context.Context
	cancel   context.CancelFunc
	state    atomic.Pointer[api.LinkState]
	session  atomic.Pointer[session]
	// upNotify holds the channel that is closed the next time the link comes up.
	upNotify atomic.Pointer[chan struct{}]
}

// session is one connection of a link, from dial to loss.
type session struct {
	link     *link
	outbound chan *wire.RouterFrame
	lost     chan struct{}
	lostOnce sync.Once

	mu          sync.Mutex
	closed      bool
	exchanges   map[api.AttemptID]*exchange
	queries     map[uint64]chan api.Outcome
	lastQueryID uint64

	// sentOrders is the total number of orders passed to the writer.
	sentOrders atomic.Uint64
	// stall is owned by the reader.
	stall stallDetector
}

func newLink(s *service, upstream string, u api.Upstream) *link {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &link{service: s, upstream: upstream, address: u.Agent, vm: u.VM, ctx: ctx, cancel: cancel}
	l.state.Store(&api.LinkState{})
	notify := make(chan struct{})
	l.upNotify.Store(&notify)
	return l
}

// run serves one session after another, with exponential backoff between dials,
// until the link is canceled.
func (l *link) run() {
	delay := minRedialDelay
	for l.ctx.Err() == nil {
		if l.connect() {
			delay = minRedialDelay
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// connect serves one session until it is lost, and reports whether the link came up.
func (l *link) connect() bool {
	conn, err := l.dial()
	if err != nil {
		l.service.counts.dialFailures.Add(1)
		return false
	}
	client := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: wire.MaxMessageBytes},
	}})
	defer client.Close()
	stream, err := wire.NewDRPCLinkClient(client).Open(l.ctx)
	if err != nil {
		return false
	}
	s := &session{
		link:      l,
		outbound:  make(chan *wire.RouterFrame, outboundQueueSize),
		lost:      make(chan struct{}),
		exchanges: make(map[api.AttemptID]*exchange),
		queries:   make(map[uint64]chan api.Outcome),
	}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		s.write(stream)
	}()
	up := s.read(stream)
	s.markLost()
	_ = client.Close()
	<-writerDone
	if up {
		l.session.CompareAndSwap(s, nil)
		l.state.Store(&api.LinkState{})
		_ = l.service.downEvents.Post(l.service.ctx, l.upstream)
	}
	s.failPending()
	return up
}

func (l *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	config := l.service.trust.Client(api.RoleAgent)
	if config == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
		return idleTimeoutConn{conn}, err
	}
	conn, err := (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", l.address)
	return idleTimeoutConn{conn}, err
}

// idleTimeoutConn fails a read that receives nothing within wire.HeartbeatTimeout. A
// live agent sends at least its heartbeats.
type idleTimeoutConn struct{ net.Conn }

func (c idleTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(wire.HeartbeatTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// write sends the hello and then the queued frames in batches, until the session is
// lost.
func (s *session) write(stream wire.DRPCLink_OpenClient) {
	hello := &wire.RouterFrame{Body: &wire.RouterFrame_Hello{Hello: s.hello()}}
	if err := stream.Send(&wire.RouterBatch{Frames: []*wire.RouterFrame{hello}}); err != nil {
		s.markLost()
		return
	}
	for {
		select {
		case <-s.lost:
			return
		case f := <-s.outbound:
			if err := stream.Send(&wire.RouterBatch{Frames: wire.CollectBatch(f, s.outbound, orderBodySize)}); err != nil {
				s.markLost()
				return
			}
		}
	}
}

func orderBodySize(f *wire.RouterFrame) int { return len(f.GetOrder().GetBody()) }

func (s *session) hello() *wire.Hello {
	var revision uint64
	if snap := s.link.service.store.Current(); snap != nil {
		revision = snap.Revision
	}
	return &wire.Hello{
		Version:  wire.ProtocolVersion,
		Node:     s.link.service.settings.Node,
		Upstream: s.link.upstream,
		Revision: revision,
	}
}

// read handles frames until the session is lost or the link stalls. It returns true if
// the agent sent a valid hello.
func (s *session) read(stream wire.DRPCLink_OpenClient) bool {
	up := false
	for {
		batch, err := stream.Recv()
		if err != nil {
			return up
		}
		for _, f := range batch.GetFrames() {
			if h := f.GetHello(); h != nil && !up {
				up = s.handleHello(h)
				continue
			}
			s.handle(f)
		}
		if s.stall.stalled {
			return up
		}
	}
}

// handleHello marks the link as up. It returns false if the hello is from the agent of
// another upstream.
func (s *session) handleHello(h *wire.Hello) bool {
	if h.GetUpstream() != s.link.upstream {
		// The configured address belongs to the agent of another upstream.
		s.link.service.counts.unexpectedFrames.Add(1)
		s.markLost()
		return false
	}
	state := api.LinkState{
		Up:           true,
		Incarnation:  api.Incarnation(h.GetIncarnation()),
		AgentElapsed: time.Duration(h.GetElapsedNs()),
		Revision:     h.GetRevision(),
	}
	s.link.reportRevision(state.Revision)
	s.link.session.Store(s)
	// Post the event before closing the channel: the requests that wait on it ask for
	// a route at once, and routing must know by then that the link is up.
	_ = s.link.service.upEvents.Post(s.link.ctx, upEvent{upstream: s.link.upstream, state: state})
	s.link.state.Store(&state)
	next := make(chan struct{})
	close(*s.link.upNotify.Swap(&next))
	return true
}

func (s *session) handle(f *wire.AgentFrame) {
	switch body := f.GetBody().(type) {
	case *wire.AgentFrame_Head:
		h := wire.ToHead(body.Head)
		s.deliver(h.AttemptID, responseEvent{head: &h})
	case *wire.AgentFrame_Chunk:
		c := wire.ToChunk(body.Chunk)
		s.deliver(c.AttemptID, responseEvent{chunk: &c})
	case *wire.AgentFrame_End:
		e := wire.ToEnd(body.End)
		s.deliver(e.AttemptID, responseEvent{end: &e})
	case *wire.AgentFrame_Outcome:
		s.completeQuery(body.Outcome)
	case *wire.AgentFrame_Load:
		s.handleLoad(wire.ToLoad(body.Load))
	}
}

func (s *session) handleLoad(l api.Load) {
	if l.Upstream != s.link.upstream {
		s.link.service.counts.unexpectedFrames.Add(1)
		return
	}
	s.link.reportRevision(l.Revision)
	s.link.state.Store(&api.LinkState{
		Up:           true,
		Incarnation:  l.Incarnation,
		AgentElapsed: l.Elapsed,
		Revision:     l.Revision,
	})
	s.stall.observe(s.link.service.clock.Now(), l.SeenOrders, s.sentOrders.Load())
	_ = s.link.service.loadReports.Post(s.link.ctx, l)
}

// reportRevision reports an agent's revision to the configuration store.
func (l *link) reportRevision(revision uint64) {
	if l.service.revisions != nil {
		l.service.revisions.ObserveRevision(l.vm, revision)
	}
}

// markLost closes the lost channel, which ends the writer and all blocked senders.
func (s *session) markLost() { s.lostOnce.Do(func() { close(s.lost) }) }

// failPending fails all exchanges and queries in flight. The exchanges fail with
// api.RunUnknown; the router can query the agent for their outcomes once the link is up
// again.
func (s *session) failPending() {
	s.mu.Lock()
	s.closed = true
	exchanges, queries := s.exchanges, s.queries
	s.exchanges, s.queries = nil, nil
	s.mu.Unlock()
	for id, x := range exchanges {
		x.push(responseEvent{end: &api.End{
			AttemptID: id,
			Failure:   api.NewFailure(api.CodeLinkLost, api.RunUnknown, "link to upstream "+s.link.upstream+" lost"),
		}})
	}
	for _, reply := range queries {
		close(reply)
	}
}
