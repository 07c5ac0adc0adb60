// Package edgepool runs real edge processes on stand-ins for the platform's
// store, its upstreams and its callers, with a fault proxy on every link. The
// integration tests and the soak experiment use it.
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

// Sides of the network that are not processes or upstreams.
const (
	endpointCallers = "callers"
	endpointStore   = "store"
)

const (
	anyPort = "127.0.0.1:0"
	// edgesPerZone and upstreamsPerZone make a pool of a few processes, with more
	// than one of each in every zone.
	edgesPerZone     = 2
	upstreamsPerZone = 2
	// seeds is the number of edges whose addresses all edges know.
	seeds = 3
	// settleWait bounds the wait for all edges to be ready, settleInterval the
	// time between questions.
	settleWait     = time.Minute
	settleInterval = 50 * time.Millisecond
	readyTimeout   = time.Second
)

var zones = []string{"za", "zb", "zc"}

// Options describe a pool.
type Options struct {
	// Binary is the program that the processes run.
	Binary string
	// Dir takes settings.
	Dir  string
	Seed uint64
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
	once      platformworker.Once
	// corrupting makes callers ask for answers that upstreams spoil.
	corrupting atomic.Bool
	proxies    []*faultproxy.Proxy
	servers    []*http.Server
	// edgesCreated is closed once all edges are.
	edgesCreated chan struct{}
	mu           sync.Mutex
	client       *http.Client
}

// Start brings up stand-ins and processes, and waits until all are ready.
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

// Now is the clock of the record.
func (p *Pool) Now() time.Duration { return kernel.BootClock{}.Now() - p.begin }

// UpdateRecord changes the record.
func (p *Pool) UpdateRecord(change func(*proof.Record)) { p.recorder.Update(change) }

// Record returns what was recorded so far.
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
	var starting errgroup.Group
	for _, e := range p.Edges {
		starting.Go(func() error { return e.Start(ctx) })
	}
	return starting.Wait()
}

// serve serves a stand-in.
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

// sourceEdge names the edge that dialled a proxy which all of them use.
func (p *Pool) sourceEdge(remote, local net.Addr) string {
	select {
	case <-p.edgesCreated:
	default:
		return ""
	}
	for _, e := range p.Edges {
		if now := e.currentProcess(); now != nil && now.OwnsConnection(remote, local) {
			return e.Name
		}
	}
	return ""
}

// NotReadyError reports an edge that does not get ready.
type NotReadyError struct {
	Edge string
	Log  []string
	Err  error
}

func (e *NotReadyError) Error() string {
	return (&process.Error{Name: e.Edge, Log: e.Log, Err: e.Err}).Error()
}

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Err }

// Settle waits until all edges say that they are ready.
func (p *Pool) Settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	for _, e := range p.Edges {
		if err := e.awaitReady(ctx, p.client); err != nil {
			return err
		}
	}
	return nil
}

// Close ends everything at once.
func (p *Pool) Close() {
	for _, e := range p.Edges {
		if now := e.currentProcess(); now != nil {
			now.Kill()
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
