package linkserver

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	outboundFrames = 1024
	// defaultWindow is the credit of an order that names none.
	defaultWindow = 256 << 10
)

// link is one stream from a router. Orders run on goroutines of their own and
// share the writer, which packs their frames.
type link struct {
	server *service
	// router is the VM of the router.
	router   string
	stream   wire.DRPCLink_OpenStream
	ctx      context.Context
	cancel   context.CancelFunc
	outbound chan []*wire.AgentFrame
	seen     atomic.Uint64
	// cacheSeq is the last reported change of the prefix cache; the writer owns it.
	cacheSeq uint64
	// servedSeq is the last report of served costs.
	servedSeq uint64
	// told is the last news of crashes that was reported.
	told []api.Suspicion

	mu     sync.Mutex
	orders map[api.AttemptID]*order
}

func newLink(s *service, stream wire.DRPCLink_OpenStream) *link {
	ctx, cancel := context.WithCancel(stream.Context())
	return &link{
		server:   s,
		stream:   stream,
		ctx:      ctx,
		cancel:   cancel,
		outbound: make(chan []*wire.AgentFrame, outboundFrames),
		orders:   make(map[api.AttemptID]*order),
	}
}

func (l *link) serve(rest []*wire.RouterFrame) error {
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write()
	}()
	defer func() {
		l.cancel()
		<-written
	}()
	for {
		for _, f := range rest {
			l.handle(f)
		}
		batch, err := l.stream.Recv()
		if err != nil {
			if isCanceled(err) {
				return nil
			}
			return err
		}
		rest = batch.GetFrames()
	}
}

func (l *link) handle(f *wire.RouterFrame) {
	switch body := f.GetBody().(type) {
	case *wire.RouterFrame_Order:
		l.seen.Add(1)
		l.sighted(body.Order.GetRevision())
		l.begin(wire.ToOrder(body.Order))
	case *wire.RouterFrame_Cancel:
		if o := l.find(body.Cancel.GetRequest(), body.Cancel.GetAttempt()); o != nil {
			o.cancel()
		}
	case *wire.RouterFrame_Credit:
		if o := l.find(body.Credit.GetRequest(), body.Credit.GetAttempt()); o != nil {
			o.grant(int64(body.Credit.GetBytes()))
		}
	case *wire.RouterFrame_Suspicions:
		l.server.work.MergeSuspicions(wire.ToSuspicions(body.Suspicions.GetSuspicions()))
	case *wire.RouterFrame_Query:
		go l.query(body.Query)
	}
}

// sighted tells the configuration store of a revision of the router's, ahead
// of the order that it came with.
func (l *link) sighted(revision uint64) {
	if l.server.seen != nil {
		l.server.seen.ObserveRevision(l.router, revision)
	}
}

func (l *link) query(m *wire.Query) {
	outcome := l.server.work.Outcome(l.ctx, wire.ToQuery(m))
	l.post(&wire.AgentFrame{Body: &wire.AgentFrame_Outcome{Outcome: wire.FromOutcome(m.GetId(), outcome)}})
}

func (l *link) begin(o api.Order) {
	l.server.counts.orders.Add(1)
	if o.WindowBytes == 0 {
		o.WindowBytes = defaultWindow
	}
	ctx, cancel := context.WithCancel(l.ctx)
	running := &order{link: l, send: o.AttemptID, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
	running.credit.Store(int64(o.WindowBytes))
	if !l.add(running) {
		cancel()
		l.server.counts.replayed.Add(1)
		return
	}
	l.server.orders.Add(1)
	go func() {
		defer l.server.orders.Done()
		defer l.remove(running)
		l.server.work.Execute(ctx, o, running)
	}()
}

func (l *link) add(o *order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.orders[o.send]; ok {
		return false
	}
	l.orders[o.send] = o
	return true
}

func (l *link) remove(o *order) {
	l.mu.Lock()
	delete(l.orders, o.send)
	l.mu.Unlock()
	o.cancel()
}

func (l *link) find(request string, attempt uint32) *order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders[api.AttemptID{RequestID: request, Number: attempt}]
}

func (l *link) post(f ...*wire.AgentFrame) bool {
	select {
	case l.outbound <- f:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// write sends frames as they come, a load report after a change of load but
// not more often than the pace allows, and a heartbeat when idle.
func (l *link) write() {
	defer l.cancel()
	if !l.flush(l.hello(), l.report()) {
		return
	}
	_, changed := l.server.work.Load()
	timer := time.NewTimer(wire.HeartbeatInterval)
	defer timer.Stop()
	last := time.Now()
	due := last.Add(wire.HeartbeatInterval)
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.outbound:
			if !l.flush(slices.Concat(wire.CollectBatch(f, l.outbound, chunkBytes)...)...) {
				return
			}
		case <-changed:
			// A later change may be more urgent than the one that waits.
			_, changed = l.server.work.Load()
			if at := time.Now().Add(l.reportWait(time.Since(last))); at.Before(due) {
				due = at
				timer.Reset(time.Until(due))
			}
		case <-timer.C:
			_, changed = l.server.work.Load()
			if !l.flush(l.report()) {
				return
			}
			last = time.Now()
			due = last.Add(wire.HeartbeatInterval)
			timer.Reset(wire.HeartbeatInterval)
		}
	}
}

// reportWait is the time until the next report. News of a crash goes out at
// once, before the request that caused it can be routed again.
func (l *link) reportWait(since time.Duration) time.Duration {
	load, _ := l.server.work.Load()
	if n := len(load.Suspicions); n > 0 && (n != len(l.told) || &load.Suspicions[0] != &l.told[0]) {
		l.told = load.Suspicions
		return 0
	}
	return max(l.server.pace().Interval-since, 0)
}

func (l *link) flush(frames ...*wire.AgentFrame) bool {
	return l.stream.Send(&wire.AgentBatch{Frames: frames}) == nil
}

func chunkBytes(frames []*wire.AgentFrame) int {
	size := 0
	for _, f := range frames {
		size += len(f.GetChunk().GetPayload())
	}
	return size
}

func (l *link) hello() *wire.AgentFrame {
	var revision uint64
	if snap := l.server.store.Current(); snap != nil {
		revision = snap.Revision
	}
	return &wire.AgentFrame{Body: &wire.AgentFrame_Hello{Hello: &wire.Hello{
		Version:     wire.ProtocolVersion,
		Node:        l.server.settings.Node,
		Upstream:    l.server.settings.Upstream,
		Incarnation: uint64(l.server.work.Incarnation()),
		ElapsedNs:   uint64(l.server.work.Elapsed()),
		Revision:    revision,
	}}}
}

func (l *link) report() *wire.AgentFrame {
	load, _ := l.server.work.Load()
	load.SeenOrders = l.seen.Load()
	load.Elapsed = l.server.work.Elapsed()
	l.addCacheChanges(&load)
	if load.ServedSeq == l.servedSeq {
		load.Served, load.Waiting = nil, nil
	}
	l.servedSeq = load.ServedSeq
	return &wire.AgentFrame{Body: &wire.AgentFrame_Load{Load: wire.FromLoad(load)}}
}

// addCacheChanges adds the changes that this link has not reported yet, as far
// as one report may hold them. What is left out shows as a gap in CacheSeq.
func (l *link) addCacheChanges(load *api.Load) {
	changes, most := l.server.work.CacheChanges(), l.server.pace().Changes
	if n := len(changes); n > 0 && changes[n-1].Seq < l.cacheSeq {
		// The engine restarted and counts from the beginning.
		l.cacheSeq = 0
	}
	for _, c := range changes {
		if c.Seq <= l.cacheSeq {
			continue
		}
		if len(load.PrefixAdded)+len(load.PrefixDropped) >= most {
			break
		}
		l.cacheSeq = c.Seq
		if c.Evicted {
			load.PrefixDropped = append(load.PrefixDropped, c.Block)
		} else {
			load.PrefixAdded = append(load.PrefixAdded, c.Block)
		}
	}
	load.CacheSeq = l.cacheSeq
}
