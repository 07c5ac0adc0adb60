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

const outboundFrames = 1024

// link is the connection to one agent. The mutex guards only the table of
// exchanges under way, which is plumbing and decides nothing.
type link struct {
	service  *service
	upstream string
	address  string
	vm       string
	ctx      context.Context
	retire   context.CancelFunc
	state    atomic.Pointer[api.LinkState]
	session  atomic.Pointer[session]
	// change holds a channel that is closed when the link comes up next.
	change atomic.Pointer[chan struct{}]
}

// session is one connection of a link, from dial to loss.
type session struct {
	link     *link
	outbound chan *wire.RouterFrame
	lost     chan struct{}
	lostOnce sync.Once

	mu        sync.Mutex
	closed    bool
	exchanges map[api.AttemptID]*exchange
	queries   map[uint64]chan api.Outcome
	nextQuery uint64

	// ordered counts the orders handed to the writer.
	ordered atomic.Uint64
	// The reader owns the progress.
	progress progress
}

func newLink(s *service, upstream string, u api.Upstream) *link {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &link{service: s, upstream: upstream, address: u.Agent, vm: u.VM, ctx: ctx, retire: cancel}
	l.state.Store(&api.LinkState{})
	change := make(chan struct{})
	l.change.Store(&change)
	return l
}

// run dials, serves and dials again until the link is retired.
func (l *link) run() {
	wait := firstRedial
	for l.ctx.Err() == nil {
		if l.connect() {
			wait = firstRedial
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, longestRedial)
	}
}

// connect serves one session and returns whether the link was up.
func (l *link) connect() bool {
	conn, err := l.dial()
	if err != nil {
		l.service.counts.refused.Add(1)
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
		outbound:  make(chan *wire.RouterFrame, outboundFrames),
		lost:      make(chan struct{}),
		exchanges: make(map[api.AttemptID]*exchange),
		queries:   make(map[uint64]chan api.Outcome),
	}
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		s.write(stream)
	}()
	up := s.read(stream)
	s.lose()
	_ = client.Close()
	<-writer
	if up {
		l.session.CompareAndSwap(s, nil)
		l.state.Store(&api.LinkState{})
		_ = l.service.downs.Post(l.service.ctx, l.upstream)
	}
	s.abandon()
	return up
}

func (l *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	config := l.service.trust.Client(api.RoleAgent)
	if config == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
		return silenceConn{conn}, err
	}
	conn, err := (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", l.address)
	return silenceConn{conn}, err
}

// silenceConn fails a read that waits longer than an agent may stay silent.
type silenceConn struct{ net.Conn }

func (c silenceConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(wire.HeartbeatTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (s *session) write(stream wire.DRPCLink_OpenClient) {
	hello := &wire.RouterFrame{Body: &wire.RouterFrame_Hello{Hello: s.hello()}}
	if err := stream.Send(&wire.RouterBatch{Frames: []*wire.RouterFrame{hello}}); err != nil {
		s.lose()
		return
	}
	for {
		select {
		case <-s.lost:
			return
		case f := <-s.outbound:
			if err := stream.Send(&wire.RouterBatch{Frames: wire.CollectBatch(f, s.outbound, orderBytes)}); err != nil {
				s.lose()
				return
			}
		}
	}
}

func orderBytes(f *wire.RouterFrame) int { return len(f.GetOrder().GetBody()) }

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

// read handles frames until the session is lost and returns whether the agent
// said hello.
func (s *session) read(stream wire.DRPCLink_OpenClient) bool {
	up := false
	for {
		batch, err := stream.Recv()
		if err != nil {
			return up
		}
		for _, f := range batch.GetFrames() {
			if h := f.GetHello(); h != nil && !up {
				up = s.greet(h)
				continue
			}
			s.handle(f)
		}
		if s.progress.stalled {
			return up
		}
	}
}

func (s *session) greet(h *wire.Hello) bool {
	if h.GetUpstream() != s.link.upstream {
		// The configured address belongs to the agent of another upstream.
		s.link.service.counts.foreign.Add(1)
		s.lose()
		return false
	}
	state := api.LinkState{
		Up:          true,
		Incarnation: api.Incarnation(h.GetIncarnation()),
		Elapsed:     time.Duration(h.GetElapsedNs()),
		Revision:    h.GetRevision(),
	}
	s.link.sighted(state.Revision)
	s.link.session.Store(s)
	// The event goes first, so that whoever waited for the link and then asks
	// routing for it finds it there.
	_ = s.link.service.ups.Post(s.link.ctx, upEvent{upstream: s.link.upstream, state: state})
	s.link.state.Store(&state)
	next := make(chan struct{})
	close(*s.link.change.Swap(&next))
	return true
}

func (s *session) handle(f *wire.AgentFrame) {
	switch body := f.GetBody().(type) {
	case *wire.AgentFrame_Head:
		h := wire.ToHead(body.Head)
		s.deliver(h.AttemptID, answer{head: &h})
	case *wire.AgentFrame_Chunk:
		c := wire.ToChunk(body.Chunk)
		s.deliver(c.AttemptID, answer{chunk: &c})
	case *wire.AgentFrame_End:
		e := wire.ToEnd(body.End)
		s.deliver(e.AttemptID, answer{end: &e})
	case *wire.AgentFrame_Outcome:
		s.answerQuery(body.Outcome)
	case *wire.AgentFrame_Load:
		s.load(wire.ToLoad(body.Load))
	}
}

func (s *session) load(l api.Load) {
	if l.Upstream != s.link.upstream {
		s.link.service.counts.foreign.Add(1)
		return
	}
	s.link.sighted(l.Revision)
	s.link.state.Store(&api.LinkState{
		Up:          true,
		Incarnation: l.Incarnation,
		Elapsed:     l.Elapsed,
		Revision:    l.Revision,
	})
	s.progress.report(s.link.service.clock.Now(), l.SeenOrders, s.ordered.Load())
	_ = s.link.service.loads.Post(s.link.ctx, l)
}

// sighted tells the configuration store of an agent's revision.
func (l *link) sighted(revision uint64) {
	if l.service.seen != nil {
		l.service.seen.ObserveRevision(l.vm, revision)
	}
}

// lose ends the session; readers and writers notice.
func (s *session) lose() { s.lostOnce.Do(func() { close(s.lost) }) }

// abandon ends every exchange that was under way. Whether those ran is not
// known here; the router asks the agent after the link is up again.
func (s *session) abandon() {
	s.mu.Lock()
	s.closed = true
	exchanges, queries := s.exchanges, s.queries
	s.exchanges, s.queries = nil, nil
	s.mu.Unlock()
	for send, x := range exchanges {
		x.push(answer{end: &api.End{
			AttemptID: send,
			Failure:   api.NewFailure(api.CodeLinkLost, api.RunUnknown, "link to upstream "+s.link.upstream+" lost"),
		}})
	}
	for _, reply := range queries {
		close(reply)
	}
}
