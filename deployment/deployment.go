// Package deployment runs a complete pool on loopback in one process: real routers
// and agents, and stand-ins for the platform and the upstreams. The demonstration
// and the experiments use it.
package deployment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/daemon"
	"github.com/mulberryfork/mulberryfork/decide/settings"
	"github.com/mulberryfork/mulberryfork/devcert"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/log"
	"github.com/mulberryfork/mulberryfork/service/trust"
	"github.com/mulberryfork/mulberryfork/standin/confservice"
	"github.com/mulberryfork/mulberryfork/standin/memberlist"
)

// Model and Service are the model and the plain service that a deployment serves.
const (
	Model   = "assistant"
	Service = "booking"

	loopback = "127.0.0.1:0"
	// routerStreams bounds the requests in flight at one router.
	routerStreams = 10_000
	stopDeadline  = 10 * time.Second
)

// Upstream is one upstream to start, with its stand-in.
type Upstream struct {
	Name    string
	Zone    string
	Plain   bool
	Handler http.Handler
	// MaxRequests bounds the requests in flight, ColdRequests those during cold start.
	MaxRequests  int
	ColdRequests int
	// Deduplicates is set if the upstream recognises idempotency keys.
	Deduplicates bool
}

// Options describe a deployment.
type Options struct {
	Zones     []string
	Upstreams []Upstream
	// Routers is the number of routers, spread over the zones.
	Routers int
	// Members maps guild members to their shares.
	Members map[string]float64
	// Idempotent marks completions as safe to retry.
	Idempotent bool
	// ListLag is the age of the data that the membership list returns.
	ListLag time.Duration
	// Replicas maps node names to the replica of the configuration service that
	// the node reads. The default is replica 0.
	Replicas map[string]int
	// WithoutMembershipList names the nodes whose reads of the membership list fail.
	WithoutMembershipList []string
	// Log receives the log lines of all processes. If it is nil, they are dropped.
	Log io.Writer
	// ExtraConfig is the content of an additional last configuration file.
	ExtraConfig string
}

// Deployment is a running pool.
type Deployment struct {
	Config  *confservice.Service
	Members *memberlist.List
	Routers []*Node
	Agents  []*Node

	options       Options
	authority     *devcert.Authority
	servers       []*http.Server
	configURLs    []string
	listURL       string
	brokenListURL string
	files         map[string]string
}

// Node is one process of the deployment.
type Node struct {
	Name string
	Zone string
	Role string
	// LinkAddress is the listen address for links and peers.
	LinkAddress string
	Process     *daemon.Process
	Settings    *api.Settings
	// URL is the base URL for callers, set for routers only.
	URL string
	// AdminAddress is the listen address for metrics.
	AdminAddress string
	// EngineURL is the URL of the agent's upstream, empty for routers.
	EngineURL string
}

// Start starts a deployment and waits until each router has a link to each upstream.
// If an agent or router fails to start, Start stops those already started.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	authority, err := devcert.NewAuthority()
	if err != nil {
		return nil, err
	}
	d := newDeployment(o, authority)
	if err := d.servePlatform(); err != nil {
		return nil, err
	}
	if err := d.startAll(ctx); err != nil {
		_ = d.Stop(ctx)
		return nil, err
	}
	return d, nil
}

func newDeployment(o Options, authority *devcert.Authority) *Deployment {
	clock, replicas := kernel.BootClock{}, 1
	for _, replica := range o.Replicas {
		replicas = max(replicas, replica+1)
	}
	return &Deployment{
		options:    o,
		authority:  authority,
		Config:     confservice.New(confservice.Options{Clock: clock, Lags: make([]time.Duration, replicas)}),
		Members:    memberlist.New(clock, o.ListLag),
		configURLs: make([]string, replicas),
	}
}

// servePlatform starts the stand-ins for the platform.
func (d *Deployment) servePlatform() (err error) {
	for i := range d.configURLs {
		if d.configURLs[i], err = d.serve(d.Config.Replica(i)); err != nil {
			return err
		}
	}
	if d.listURL, err = d.serve(d.Members); err != nil {
		return err
	}
	d.brokenListURL, err = d.serve(http.NotFoundHandler())
	return err
}

func (d *Deployment) startAll(ctx context.Context) error {
	for _, u := range d.options.Upstreams {
		if err := d.startAgent(ctx, u); err != nil {
			return err
		}
	}
	if err := d.publishInitial(); err != nil {
		return err
	}
	for _, node := range d.Agents {
		if err := node.Process.WaitLoadReported(ctx); err != nil {
			return err
		}
	}
	for i := range d.options.Routers {
		if err := d.startRouter(ctx, i); err != nil {
			return err
		}
	}
	return d.waitRoutersLinked(ctx)
}

// serve starts an HTTP server on loopback and returns its URL.
func (d *Deployment) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (d *Deployment) startAgent(ctx context.Context, u Upstream) error {
	engineURL, err := d.serve(u.Handler)
	if err != nil {
		return err
	}
	s := d.settings("vm-"+u.Name, u.Zone)
	s.Upstream = u.Name
	s.Engine.URL = engineURL
	node, err := d.startNode(ctx, daemon.AgentServices(), s, api.RoleAgent)
	if err != nil {
		return err
	}
	node.EngineURL = engineURL
	d.Agents = append(d.Agents, node)
	return nil
}

func (d *Deployment) startRouter(ctx context.Context, i int) error {
	zone := d.options.Zones[i%len(d.options.Zones)]
	s := d.settings(fmt.Sprintf("router-%d", i+1), zone)
	s.Listen.HTTP = loopback
	node, err := d.startRouterNode(ctx, s)
	if err == nil {
		d.Routers = append(d.Routers, node)
	}
	return err
}

func (d *Deployment) startRouterNode(ctx context.Context, s *api.Settings) (*Node, error) {
	node, err := d.startNode(ctx, daemon.RouterServices(), s, api.RoleRouter)
	if err != nil {
		return nil, err
	}
	address, err := node.Process.Address(api.ServiceFrontendHTTP)
	if err != nil {
		return nil, err
	}
	node.URL = "http://" + address
	return node, nil
}

// RestartRouter stops a router and starts a new process with the same name and
// settings.
func (d *Deployment) RestartRouter(ctx context.Context, i int) error {
	old := d.Routers[i]
	if err := old.Process.Stop(ctx); err != nil {
		return err
	}
	node, err := d.startRouterNode(ctx, old.Settings)
	if err == nil {
		d.Routers[i] = node
	}
	return err
}

func (d *Deployment) settings(node, zone string) *api.Settings {
	listURL := d.listURL
	if slices.Contains(d.options.WithoutMembershipList, node) {
		listURL = d.brokenListURL
	}
	return &api.Settings{
		Node:       node,
		Zone:       zone,
		Listen:     api.Listen{Link: loopback, Admin: loopback},
		Config:     api.ConfigLocation{Service: d.configURLs[d.options.Replicas[node]]},
		Membership: api.ServiceAddress{Service: listURL},
		Limits: api.Limits{
			HeaderBytes:    settings.DefaultHeaderBytes,
			BodyBytes:      settings.DefaultBodyBytes,
			ReadTimeout:    api.Duration(settings.DefaultReadTimeout),
			RequestTimeout: api.Duration(settings.DefaultRequestTimeout),
			Streams:        routerStreams,
		},
		StopDeadline: api.Duration(stopDeadline),
	}
}

func (d *Deployment) startNode(ctx context.Context, names []string, s *api.Settings, role string) (*Node, error) {
	name := s.Node
	if role == api.RoleAgent {
		name = s.Upstream
	}
	cert, err := d.authority.Issue(role, name)
	if err != nil {
		return nil, err
	}
	out := d.options.Log
	if out == nil {
		out = io.Discard
	}
	p, err := daemon.Start(ctx, names, s, &trust.Credentials{Certificate: cert, Roots: d.authority.Roots}, &log.Output{Writer: out})
	if err != nil {
		return nil, err
	}
	admin, err := p.Address(api.ServiceAdminHTTP)
	if err != nil {
		return nil, err
	}
	link, err := p.Address(api.ServiceTransportServer)
	if err != nil {
		return nil, err
	}
	node := &Node{Name: s.Node, Zone: s.Zone, Role: role, LinkAddress: link, Process: p, Settings: s, AdminAddress: admin}
	d.SetVMState(node, api.VMLive)
	return node, nil
}

// SetVMState sets the state of a node on the membership list.
func (d *Deployment) SetVMState(n *Node, state api.VMState) {
	d.Members.Set(memberlist.VM{Name: n.Name, Address: n.LinkAddress, Zone: n.Zone, Role: n.Role, State: string(state)})
}

// Token returns the bearer token of a guild member.
func Token(member string) string { return "token-of-" + member }

func (d *Deployment) publishInitial() error {
	var b strings.Builder
	for _, zone := range d.options.Zones {
		fmt.Fprintf(&b, "[zones.%s]\nregion = \"home\"\nstate = \"in\"\n", zone)
	}
	for member, share := range d.options.Members {
		hash := sha256.Sum256([]byte(Token(member)))
		fmt.Fprintf(&b, "[members.%s]\nshare = %g\ntoken_hashes = [%q]\n", member, share, hex.EncodeToString(hash[:]))
	}
	fmt.Fprintf(&b, "[models.%s]\nversion = \"1\"\nidempotent = %t\nsize_mb = 1000\n", Model, d.options.Idempotent)
	hasPlain := false
	for i, u := range d.options.Upstreams {
		d.writeUpstream(&b, u, d.Agents[i])
		hasPlain = hasPlain || u.Plain
	}
	if hasPlain {
		fmt.Fprintf(&b, "[services.%s]\nnon_idempotent = [\"POST /visits\"]\nidempotent = [\"GET /schedule\"]\n", Service)
	}
	d.files = map[string]string{"90-extra.toml": d.options.ExtraConfig}
	return d.Publish("10-pool.toml", b.String())
}

func (d *Deployment) writeUpstream(b *strings.Builder, u Upstream, node *Node) {
	fmt.Fprintf(b, "[upstreams.%s]\nzone = %q\nvm = %q\nagent = %q\n", u.Name, u.Zone, node.Name, node.LinkAddress)
	fmt.Fprintf(b, "max_requests = %d\ncold_requests = %d\ndeduplicates = %t\n", u.MaxRequests, max(u.ColdRequests, 1), u.Deduplicates)
	if u.Plain {
		fmt.Fprintf(b, "kind = \"plain\"\nservice = %q\n", Service)
		return
	}
	fmt.Fprintf(b, "kind = \"model\"\nmodels = [%q]\n", Model)
}

// Publish adds or replaces a configuration file and publishes the new revision.
func (d *Deployment) Publish(name, content string) error {
	d.files[name] = content
	_, err := d.Config.Publish(d.files)
	return err
}

func (d *Deployment) waitRoutersLinked(ctx context.Context) error {
	for _, node := range d.Routers {
		if err := node.Process.WaitConfigured(ctx); err != nil {
			return err
		}
		if err := node.Process.WaitLinked(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops the routers, then the agents, then the stand-ins. It returns the first
// error of a router or agent.
func (d *Deployment) Stop(ctx context.Context) error {
	var firstErr error
	for _, nodes := range [][]*Node{d.Routers, d.Agents} {
		for _, n := range nodes {
			if err := n.Process.Stop(ctx); err != nil && firstErr == nil {
				firstErr = err
			}
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	return firstErr
}
