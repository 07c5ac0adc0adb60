// Package membership polls the platform's list of VMs and combines it with the state
// of the links of this process and with the observations of peers. Package
// decide/membership makes the decisions.
package membership

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/membership"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/kernel/httpclient"
)

const (
	listMailboxSize   = 4
	digestMailboxSize = 256
	// tickInterval is how often expired observations are dropped.
	tickInterval = time.Second
)

// Transport is a host value with which a test replaces the HTTP transport to the
// platform's list.
type Transport struct{ http.RoundTripper }

type service struct {
	settings *api.Settings
	client   *httpclient.Client
	log      api.Logger
	clock    kernel.Clock

	lists      *kernel.Mailbox[[]api.VM]
	digests    *kernel.Mailbox[kernel.Call[receivedDigest, api.DigestDecision]]
	listHealth *kernel.Mailbox[error]
	view       atomic.Pointer[view]

	control    control
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	reads      api.Counter
	readErrors api.Counter
}

// receivedDigest is a digest from another process. direct is set if it is the reply
// to a call by this process.
type receivedDigest struct {
	digest api.PeerDigest
	direct bool
}

// view is the state that is published to other goroutines.
type view struct {
	members []api.VM
	// leaving is keyed by VM, down by upstream.
	leaving      map[string]bool
	down         map[string]bool
	updatedAt    time.Duration
	observations []api.Observation
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	store, err := kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore)
	if err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[api.Logger](c, api.ServiceLog); err != nil {
		return err
	}
	links, present, err := kernel.LookupOptional[api.LinkFeed](c, api.ServiceTransportLinks)
	if err != nil {
		return err
	}
	s.clock = c.Clock()
	if s.client, err = newClient(c); err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.control = control{service: s, state: membership.New(s.settings.Node)}
	s.view.Store(&view{})
	if present {
		links.SubscribeLinks(&s.control)
	}
	s.createMailboxes(c.Loop())
	store.Subscribe(s.control.applyConfig)
	s.registerMetrics(metrics)
	return nil
}

func newClient(c *kernel.Context) (*httpclient.Client, error) {
	connections, _, err := kernel.LookupOptional[api.Connections](c, api.ServiceConnections)
	if err != nil {
		return nil, err
	}
	o := httpclient.Options{
		Account:     api.ResponseAccount{Connections: connections},
		Holder:      api.ServiceMembership,
		Dial:        (&net.Dialer{Timeout: readTimeout}).DialContext,
		MaxIdle:     1,
		IdleTimeout: idleTimeout,
	}
	if transport, err := kernel.Value[*Transport](c); err == nil {
		o.Transport = transport.RoundTripper
	}
	return httpclient.New(o), nil
}

func (s *service) createMailboxes(l *kernel.Loop) {
	ctl := &s.control
	s.lists = kernel.NewMailbox(l, "membership.list", listMailboxSize, kernel.Wait, ctl.applyList)
	s.digests = kernel.NewMailbox(l, "membership.learn", digestMailboxSize, kernel.Wait, ctl.handleDigest)
	s.listHealth = kernel.NewMailbox(l, "membership.health", 1, kernel.Latest, ctl.recordListHealth)
	l.Every(tickInterval, ctl.publishView)
}

func (s *service) registerMetrics(m api.Metrics) {
	s.reads = m.Counter("membership_reads", "")
	s.readErrors = m.Counter("membership_errors", "")
	m.Gauge("membership_vms", func() int64 { return int64(len(s.view.Load().members)) })
	m.Gauge("membership_leaving", func() int64 { return int64(len(s.view.Load().leaving)) })
	m.Gauge("membership_down", func() int64 { return int64(len(s.view.Load().down)) })
}

// Start polls the list until the service stops. Without a list, all observations
// come from links and peers.
func (s *service) Start(context.Context) error {
	if s.settings.Membership.Service == "" {
		return nil
	}
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		s.pollList()
	}()
	return nil
}

func (s *service) Stop(context.Context) error {
	s.cancel()
	s.tasks.Wait()
	return nil
}

// Members returns the VMs on the last list read.
func (s *service) Members() []api.VM { return s.view.Load().members }

// Subscribe adds a function that is called on the control loop after each change of
// the members or of the leaving VMs or down upstreams.
func (s *service) Subscribe(f func(now time.Duration, members []api.VM)) {
	s.control.subscribers = append(s.control.subscribers, f)
}

// SetUrgentSender sets the function that sends digests to VMs immediately. It must
// not block.
func (s *service) SetUrgentSender(f func(vms []string)) { s.control.notify = f }

// Leaving reports whether a VM is known to be leaving.
func (s *service) Leaving(vm string) bool { return s.view.Load().leaving[vm] }

// Down reports whether an upstream is considered down.
func (s *service) Down(upstream string) bool { return s.view.Load().down[upstream] }

// Outgoing returns the observations for the next digest, with their ages as of now.
func (s *service) Outgoing() []api.Observation {
	v := s.view.Load()
	elapsed := s.clock.Now() - v.updatedAt
	out := make([]api.Observation, 0, len(v.observations))
	for _, o := range v.observations {
		o.Age += elapsed
		out = append(out, o)
	}
	return out
}

// MergeDigest applies a digest from another process and returns the decision on it,
// DigestReplayed if ctx ends first. direct is set if the digest is the reply to a
// call by this process.
func (s *service) MergeDigest(ctx context.Context, d api.PeerDigest, direct bool) api.DigestDecision {
	decision, err := kernel.Ask(ctx, s.digests, receivedDigest{digest: d, direct: direct})
	if err != nil {
		return api.DigestReplayed
	}
	return decision
}
