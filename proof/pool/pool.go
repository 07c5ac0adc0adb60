// Package pool runs an example deployment with real router and agent processes,
// stand-ins in the calling process and a fault proxy on every link, for integration
// tests and the soak experiment.
package pool

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/devcert"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/standin/confservice"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
	"github.com/mulberryfork/mulberryfork/standin/memberlist"
)

// Network endpoints other than processes and upstreams.
const (
	EndpointCallers = "callers"
	EndpointConfig  = "config"
	EndpointMembers = "members"
)

const (
	// membershipLag is the time until a change of the members list becomes visible.
	membershipLag = 200 * time.Millisecond
	// confReplicas is the number of replicas of the configuration service.
	confReplicas = 2
)

// Options configures a pool.
type Options struct {
	// Binary is the path of the program that the processes run.
	Binary string
	// Dir is the directory for settings, certificates and logs.
	Dir string
	// Deployment is the name of an example deployment, a directory in examples.
	Deployment string
	// ModelsPerZone limits the number of model upstreams in each zone.
	ModelsPerZone int
	Seed          uint64
	// Overload prepares the pool for StartCompetition and OverloadKinds: short queues, and
	// memory limits.
	Overload bool
}

// Pool is a running deployment.
type Pool struct {
	Network  *faultproxy.Network
	Recorder *proof.Recorder
	Config   *confservice.Service
	Members  *memberlist.List
	Routers  []*Node
	Agents   []*Node
	Zones    []string
	// Upstreams lists the names of all upstreams.
	Upstreams []string

	options   Options
	layout    *layout
	operators operators
	addresses map[string]string
	upstreams map[string]*upstream
	servers   []*http.Server
	proxies   []*faultproxy.Proxy
	// allNodes is nil until all nodes are created. Until then, a proxy may accept
	// connections from a process of another pool whose proxy used the same port.
	allNodes    atomic.Pointer[[]*Node]
	begin       time.Duration
	stopPolling context.CancelFunc
	pollingDone chan struct{}
	states      states
}

// Start starts stand-ins and processes, and waits until all processes have settled.
// The caller must close the pool.
func Start(ctx context.Context, o Options) (*Pool, error) {
	l, err := loadScaled(o)
	if err != nil {
		return nil, err
	}
	clock := kernel.BootClock{}
	p := &Pool{
		Network:   faultproxy.NewNetwork(o.Seed),
		Recorder:  &proof.Recorder{},
		Config:    confservice.New(confservice.Options{Clock: clock, Lags: make([]time.Duration, confReplicas)}),
		Members:   memberlist.New(clock, membershipLag),
		Zones:     slices.Sorted(maps.Keys(l.config.Zones)),
		Upstreams: slices.Sorted(maps.Keys(l.config.Upstreams)),
		options:   o, layout: l, begin: clock.Now(),
		operators: operators{zonesOut: map[string]bool{}, leaving: map[string]bool{}},
		addresses: make(map[string]string), upstreams: make(map[string]*upstream),
		pollingDone: make(chan struct{}), states: states{byNode: map[string]state{}},
	}
	pollCtx, stop := context.WithCancel(context.Background())
	p.stopPolling = stop
	err = p.build()
	if err == nil {
		nodes := p.Nodes()
		p.allNodes.Store(&nodes)
		err = p.launch(ctx)
	}
	go p.pollStates(pollCtx)
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
func (p *Pool) UpdateRecord(change func(*proof.Record)) { p.Recorder.Update(change) }

// Record returns a copy of the record so far.
func (p *Pool) Record() proof.Record { return p.Recorder.Record(p.Now()) }

// Nodes returns all routers and agents.
func (p *Pool) Nodes() []*Node { return append(slices.Clone(p.Routers), p.Agents...) }

func (p *Pool) build() error {
	authority, err := devcert.NewAuthority()
	if err != nil {
		return err
	}
	for i, name := range p.Upstreams {
		u := p.layout.config.Upstreams[name]
		n := &Node{Name: u.VM, Zone: u.Zone, Role: api.RoleAgent, Upstream: name, Endpoint: "engine-" + name, pool: p}
		p.upstreams[name] = newUpstream(p, name, u, p.options.Seed+uint64(i))
		if err := p.configureNode(n, authority, i); err != nil {
			return err
		}
		p.addresses[name] = n.inbound["link"].Address()
		p.Agents = append(p.Agents, n)
	}
	for i, zone := range p.Zones {
		n := &Node{Name: "vm-router-" + zone, Zone: zone, Role: api.RoleRouter, pool: p}
		if err := p.configureNode(n, authority, i); err != nil {
			return err
		}
		p.Routers = append(p.Routers, n)
	}
	return p.publish(true)
}

// configureNode creates the proxies on the links of a node and writes its settings.
func (p *Pool) configureNode(n *Node, a *devcert.Authority, i int) error {
	s := api.Settings{Node: n.Name, Zone: n.Zone, Upstream: n.Upstream, StopDeadline: api.Duration(stopDeadline)}
	s.Listen = api.Listen{Link: anyPort, Admin: anyPort}
	if p.options.Overload {
		s.Limits.MemoryMB = overloadMemoryMB
	}
	n.inbound = make(map[string]*faultproxy.Proxy)
	var err error
	if n.inbound["link"], err = p.proxy(faultproxy.Link{Source: p.sourceNode, To: n.Name}); err != nil {
		return err
	}
	if n.Role == api.RoleRouter {
		s.Listen.HTTP = anyPort
		if n.inbound["http"], err = p.proxy(faultproxy.Link{From: EndpointCallers, To: n.Name}); err != nil {
			return err
		}
	} else if s.Engine.URL, err = p.outbound(n, n.Endpoint, p.upstreams[n.Upstream]); err != nil {
		return err
	}
	if s.Config.Service, err = p.outbound(n, EndpointConfig, p.Config.Replica(i%confReplicas)); err != nil {
		return err
	}
	if s.Membership.Service, err = p.outbound(n, EndpointMembers, p.Members); err != nil {
		return err
	}
	for _, other := range p.Nodes() {
		s.Peers = append(s.Peers, other.inbound["link"].Address())
	}
	p.Members.Set(memberlist.VM{Name: n.Name, Address: n.inbound["link"].Address(), Zone: n.Zone, Role: n.Role, State: "live"})
	return n.writeSettings(s, a)
}

// outbound serves a stand-in behind a proxy that only this node dials, and returns
// its URL.
func (p *Pool) outbound(n *Node, endpoint string, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", &faultproxy.ListenError{Err: err}
	}
	server := &http.Server{Handler: h}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }()
	proxy, err := p.proxy(faultproxy.Link{From: n.Name, To: endpoint, Target: listener.Addr().String()})
	if err != nil {
		return "", err
	}
	return "http://" + proxy.Address(), nil
}

func (p *Pool) proxy(l faultproxy.Link) (*faultproxy.Proxy, error) {
	proxy, err := p.Network.Listen(l)
	if err == nil {
		p.proxies = append(p.proxies, proxy)
	}
	return proxy, err
}

// sourceNode returns the name of the node that dialed a proxy shared by several
// nodes. It returns an empty string if the node is unknown.
func (p *Pool) sourceNode(remote, local net.Addr) string {
	nodes := p.allNodes.Load()
	if nodes == nil {
		return ""
	}
	for _, n := range *nodes {
		if s := n.snapshot(); s.process != nil && s.process.OwnsConnection(remote, local) {
			return n.Name
		}
	}
	return ""
}

func (p *Pool) launch(ctx context.Context) error {
	var group errgroup.Group
	for _, n := range p.Nodes() {
		group.Go(func() error { return n.Start(ctx) })
	}
	return group.Wait()
}

// Close kills all processes and closes proxies and stand-ins.
func (p *Pool) Close() {
	p.stopPolling()
	<-p.pollingDone
	for _, n := range p.Nodes() {
		n.terminate()
	}
	for _, proxy := range p.proxies {
		proxy.Close()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	for _, u := range p.upstreams {
		u.close()
	}
}
