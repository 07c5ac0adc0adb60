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
	outboundQueueSize = 1024
	// defaultWindowBytes is the initial flow-control credit of an order that sets
	// none.
	defaultWindowBytes = 256 << 10
)

// link is one stream from a router. Each order runs on its own goroutine, and one
// writer batches the frames of all orders.
type link struct {
	server *service
	// router is the name of the router's VM.
	router   string
	stream   wire.DRPCLink_OpenStream
	ctx      context.Context
	cancel   context.CancelFunc
	outbound chan []*wire.AgentFrame
	// seenOrders counts the orders received on the link.
	seenOrders atomic.Uint64
	// The writer owns the fields below, up to the mutex.

	// cacheSeq is the sequence number of the last prefix cache change that was
	// reported on this link.
	cacheSeq uint64
	// servedSeq is the sequence number of the served costs in the last load report.
	servedSeq uint64
	// reportedSuspicions are the suspicions for which a load report was last sent
	// without delay.
	reportedSuspicions []api.Suspicion

	mu     sync.Mutex
	orders map[api.AttemptID]*orderSink
}

func newLink(s *service, stream wire.DRPCLink_OpenStream) *link {
	ctx, cancel := context.WithCancel(stream.Context())
	return &link{
		server:   s,
		stream:   stream,
		ctx:      ctx,
		cancel:   cancel,
		outbound: make(chan []*wire.AgentFrame, outboundQueueSize),
		orders:   make(map[api.AttemptID]*orderSink),
	}
}

// serve handles frames until the stream ends. It returns nil if the link was canceled.
func (l *link) serve(frames []*wire.RouterFrame) error {
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		l.write()
	}()
	defer func() {
		l.cancel()
		<-writerDone
	}()
	for {
		for _, f := range frames {
			l.handle(f)
		}
		batch, err := l.stream.Recv()
		if err != nil {
			if isCanceled(err) {
				return nil
			}
			return err
		}
		frames = batch.GetFrames()
	}
}

func (l *link) handle(f *wire.RouterFrame) {
	switch body := f.GetBody().(type) {
	case *wire.RouterFrame_Order:
		l.seenOrders.Add(1)
		l.reportRevision(body.Order.GetRevision())
		l.startOrder(wire.ToOrder(body.Order))
	case *wire.RouterFrame_Cancel:
		if o := l.find(body.Cancel.GetRequest(), body.Cancel.GetAttempt()); o != nil {
			o.cancel()
		}
	case *wire.RouterFrame_Credit:
		if o := l.find(body.Credit.GetRequest(), body.Credit.GetAttempt()); o != nil {
			o.grantCredit(int64(body.Credit.GetBytes()))
		}
	case *wire.RouterFrame_Suspicions:
		l.server.work.MergeSuspicions(wire.ToSuspicions(body.Suspicions.GetSuspicions()))
	case *wire.RouterFrame_Query:
		go l.query(body.Query)
	}
}

// reportRevision reports the router's configuration revision to the configuration
// store. It is called before the order with that revision is started.
func (l *link) reportRevision(revision uint64) {
	if l.server.revisions != nil {
		l.server.revisions.ObserveRevision(l.router, revision)
	}
}

func (l *link) query(m *wire.Query) {
	outcome := l.server.work.Outcome(l.ctx, wire.ToQuery(m))
	l.post(&wire.AgentFrame{Body: &wire.AgentFrame_Outcome{Outcome: wire.FromOutcome(m.GetId(), outcome)}})
}

// startOrder runs an order on its own goroutine, unless the link already has an order
// for the same attempt.
func (l *link) startOrder(o api.Order) {
	l.server.counts.orders.Add(1)
	if o.WindowBytes == 0 {
		o.WindowBytes = defaultWindowBytes
	}
	ctx, cancel := context.WithCancel(l.ctx)
	running := &orderSink{link: l, attemptID: o.AttemptID, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1)}
	running.creditBytes.Store(int64(o.WindowBytes))
	if !l.add(running) {
		cancel()
		l.server.counts.duplicateOrders.Add(1)
		return
	}
	l.server.runningOrders.Add(1)
	go func() {
		defer l.server.runningOrders.Done()
		defer l.remove(running)
		l.server.work.Execute(ctx, o, running)
	}()
}

func (l *link) add(o *orderSink) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.orders[o.attemptID]; ok {
		return false
	}
	l.orders[o.attemptID] = o
	return true
}

func (l *link) remove(o *orderSink) {
	l.mu.Lock()
	delete(l.orders, o.attemptID)
	l.mu.Unlock()
	o.cancel()
}

func (l *link) find(request string, attempt uint32) *orderSink {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders[api.AttemptID{RequestID: request, Number: attempt}]
}

// post queues frames for the writer. It returns false if the link is closed.
func (l *link) post(f ...*wire.AgentFrame) bool {
	select {
	case l.outbound <- f:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// write sends queued frames without delay. It sends a load report after a change of the
// load, at most once per report interval; new suspicions are reported without delay. A
// link without changes gets a load report every wire.HeartbeatInterval as a heartbeat.
func (l *link) write() {
	defer l.cancel()
	if !l.send(l.hello(), l.loadReport()) {
		return
	}
	_, changed := l.server.work.Load()
	timer := time.NewTimer(wire.HeartbeatInterval)
	defer timer.Stop()
	lastReport := time.Now()
	due := lastReport.Add(wire.HeartbeatInterval)
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.outbound:
			if !l.send(slices.Concat(wire.CollectBatch(f, l.outbound, chunkBytes)...)...) {
				return
			}
		case <-changed:
			// The new change may be due earlier than the report already scheduled.
			_, changed = l.server.work.Load()
			if at := time.Now().Add(l.reportDelay(time.Since(lastReport))); at.Before(due) {
				due = at
				timer.Reset(time.Until(due))
			}
		case <-timer.C:
			_, changed = l.server.work.Load()
			if !l.send(l.loadReport()) {
				return
			}
			lastReport = time.Now()
			due = lastReport.Add(wire.HeartbeatInterval)
			timer.Reset(wire.HeartbeatInterval)
		}
	}
}

// reportDelay returns the delay before the next load report, where since is the time
// since the last one. New suspicions are reported without delay, so that they arrive
// before the suspect request is routed again. reportDelay stores them in
// reportedSuspicions.
func (l *link) reportDelay(since time.Duration) time.Duration {
	load, _ := l.server.work.Load()
	if n := len(load.Suspicions); n > 0 && (n != len(l.reportedSuspicions) || &load.Suspicions[0] != &l.reportedSuspicions[0]) {
		l.reportedSuspicions = load.Suspicions
		return 0
	}
	return max(l.server.reportSchedule().Interval-since, 0)
}

func (l *link) send(frames ...*wire.AgentFrame) bool {
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

// loadReport returns a frame with the current load. It contains the served costs only if
// they are newer than those in the last report.
func (l *link) loadReport() *wire.AgentFrame {
	load, _ := l.server.work.Load()
	load.SeenOrders = l.seenOrders.Load()
	load.Elapsed = l.server.work.Elapsed()
	l.addCacheChanges(&load)
	if load.ServedSeq == l.servedSeq {
		load.Served, load.Waiting = nil, nil
	}
	l.servedSeq = load.ServedSeq
	return &wire.AgentFrame{Body: &wire.AgentFrame_Load{Load: wire.FromLoad(load)}}
}

// addCacheChanges adds the prefix cache changes that this link has not reported yet, up
// to the limit per report. The rest is added to later reports. Changes that the work
// service discards before that cause a gap in CacheSeq.
func (l *link) addCacheChanges(load *api.Load) {
	changes, limit := l.server.work.CacheChanges(), l.server.reportSchedule().MaxChanges
	for _, c := range changes {
		if c.Seq <= l.cacheSeq {
			continue
		}
		if len(load.PrefixAdded)+len(load.PrefixDropped) >= limit {
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
