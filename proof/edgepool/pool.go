// Package edgepool runs real edge processes between stand-ins for the platform's
// store, upstreams and callers, with a fault proxy on every link, for integration
// tests and the soak experiment.
package edgepool

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/process"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

// Network endpoints other than processes and upstreams.
const (
	endpointCallers = "callers"
	endpointStore   = "store"
)

const (
	anyPort = "127.0.0.1:0"
	// edgesPerZone and upstreamsPerZone keep the pool small, but give every zone more
	// than one edge and more than one upstream.
	edgesPerZone     = 2
	upstreamsPerZone = 2
	// seedCount is the number of edges whose addresses all edges have in their settings.
	seedCount = 3
	// settleTimeout bounds the wait until all edges are ready. They are polled every
	// settleInterval, each poll bounded by readyTimeout.
	settleTimeout  = time.Minute
	settleInterval = 50 * time.Millisecond
	readyTimeout   = time.Second
)

var zones = []string{"za", "zb", "zc"}

// Options configures a pool.
type Options struct {
	// Binary is the path of the program that the processes run.
	Binary string
	// Dir is the directory for settings and logs.
	Dir  string
	Seed uint64
	// Open gives the edges the limits of small VMs, and their callers longer bodies, for runs
	// with crowds.
	Open bool
}

// Pool is a running deployment.
type Pool struct {
	Network *faultproxy.Network
	Store   *platformstore.Store
	Edges   []*Edge

	options   Options
	recorder  proof.Recorder
	begin     time.Duration
	operator  *operator
	upstreams []*upstream
	// once is shared by all upstreams, so that a corrupt response to a request occurs
	// on its first attempt only.
	once platformworker.Once
	// corrupting makes callers request corrupt responses from the upstreams.
	corrupting atomic.Bool
	proxies    []*faultproxy.Proxy
	servers    []*http.Server
	// edgesCreated is closed when all edges are in Edges.
	edgesCreated chan struct{}
	// mu guards servers.
	mu     sync.Mutex
	client *http.Client
}

// Start starts stand-ins and processes, and waits until all processes are ready. The
// caller must close the pool.
func Start(ctx context.Context, o Options) (*Pool, error) {
	p := &Pool{
		Network: faultproxy.NewNetwork(o.Seed), Store: platformstore.New(),
		options: o, begin: kernel.BootClock{}.Now(), edgesCreated: make(chan struct{}),
		client: &http.Client{Timeout: readyTimeout},
	}
	err := p.build()
	if err == nil {
		err = p.launch(ctx)
	}
	if err == nil {
		err = p.Settle(ctx)
	}
	if err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// Now returns the time since the start of the record.
func (p *Pool) Now() time.Duration { return kernel.BootClock{}.Now() - p.begin }

// UpdateRecord applies a change to the record.
func (p *Pool) UpdateRecord(change func(*proof.Record)) { p.recorder.Update(change) }

// Record returns a copy of the record so far.
func (p *Pool) Record() proof.Record { return p.recorder.Record(p.Now()) }

func (p *Pool) build() error {
	store, err := p.serve(p.Store)
	if err != nil {
		return err
	}
	for i := range len(zones) * upstreamsPerZone {
		if err := p.addUpstream(i); err != nil {
			return err
		}
	}
	p.operator = newOperator(p)
	for i := range len(zones) * edgesPerZone {
		e := &Edge{Name: fmt.Sprintf("edge-%d", i), Zone: zones[i%len(zones)], pool: p}
		if err := e.createProxies(store); err != nil {
			return err
		}
		p.Edges = append(p.Edges, e)
	}
	close(p.edgesCreated)
	for _, e := range p.Edges {
		if err := e.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Pool) launch(ctx context.Context) error {
	var group errgroup.Group
	for _, e := range p.Edges {
		group.Go(func() error { return e.Start(ctx) })
	}
	return group.Wait()
}

// serve serves a stand-in on a free port and returns its address.
func (p *Pool) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", &faultproxy.ListenError{Err: err}
	}
	server := &http.Server{Handler: h}
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (p *Pool) proxy(l faultproxy.Link) (*faultproxy.Proxy, error) {
	proxy, err := p.Network.Listen(l)
	if err == nil {
		p.proxies = append(p.proxies, proxy)
	}
	return proxy, err
}

// sourceEdge returns the name of the edge that dialed a proxy shared by all edges. It
// returns an empty string if the edge is unknown.
func (p *Pool) sourceEdge(remote, local net.Addr) string {
	select {
	case <-p.edgesCreated:
	default:
		return ""
	}
	for _, e := range p.Edges {
		if current := e.currentProcess(); current != nil && current.OwnsConnection(remote, local) {
			return e.Name
		}
	}
	return ""
}

// NotReadyError reports an edge that did not become ready in time.
type NotReadyError struct {
	Edge string
	Log  []string
	Err  error
}

func (e *NotReadyError) Error() string {
	return (&process.Error{Name: e.Edge, Log: e.Log, Err: e.Err}).Error()
}

// Unwrap returns the underlying error.
func (e *NotReadyError) Unwrap() error { return e.Err }

// Settle waits until all edges report that they are ready.
func (p *Pool) Settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, e := range p.Edges {
		if err := e.awaitReady(ctx, p.client); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes and closes proxies and stand-ins.
func (p *Pool) Close() {
	for _, e := range p.Edges {
		e.markEnding()
		if current := e.currentProcess(); current != nil {
			current.Kill()
		}
	}
	for _, proxy := range p.proxies {
		proxy.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.Close()
	}
}
