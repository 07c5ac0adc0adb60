// Package membership reads the platform's list of VMs and combines it with the
// state of the process's links and the observations of its peers, as package
// decide/membership decides.
package membership

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/membership"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	listMailboxSize   = 4
	digestMailboxSize = 256
	// tickInterval is how often outdated observations are dropped.
	tickInterval = time.Second
)

// Transport replaces the HTTP transport to the platform's list. A test supplies it
// as a host value.
type Transport struct{ http.RoundTripper }

type service struct {
	settings *api.Settings
	client   *http.Client
	log      api.Logger
	clock    kernel.Clock

	lists   *kernel.Mailbox[[]api.VM]
	digests *kernel.Mailbox[kernel.Call[receivedDigest, api.DigestDecision]]
	health  *kernel.Mailbox[error]
	view    atomic.Pointer[view]

	control    control
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup
	reads      api.Counter
	readErrors api.Counter
}

// receivedDigest is a digest from another process. direct is set if it came in
// reply to a call of this process.
type receivedDigest struct {
	digest api.PeerDigest
	direct bool
}

// view is the state that is published to other goroutines.
type view struct {
	members      []api.VM
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
	s.client = &http.Client{Timeout: readTimeout}
	if transport, err := kernel.Value[*Transport](c); err == nil {
		s.client.Transport = transport.RoundTripper
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

func (s *service) createMailboxes(l *kernel.Loop) {
	ctl := &s.control
	s.lists = kernel.NewMailbox(l, "membership.list", listMailboxSize, kernel.Wait, ctl.applyList)
	s.digests = kernel.NewMailbox(l, "membership.learn", digestMailboxSize, kernel.Wait, ctl.handleDigest)
	s.health = kernel.NewMailbox(l, "membership.health", 1, kernel.Latest, ctl.recordListHealth)
	l.Every(tickInterval, ctl.publishView)
}

func (s *service) registerMetrics(m api.Metrics) {
	s.reads = m.Counter("membership_reads", "")
	s.readErrors = m.Counter("membership_errors", "")
	m.Gauge("membership_vms", func() int64 { return int64(len(s.view.Load().members)) })
	m.Gauge("membership_leaving", func() int64 { return int64(len(s.view.Load().leaving)) })
	m.Gauge("membership_down", func() int64 { return int64(len(s.view.Load().down)) })
}

// Start reads the list until the service stops. Without a list, all observations
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

// Members returns the last known list.
func (s *service) Members() []api.VM { return s.view.Load().members }

// Subscribe adds a function that is called on the control loop after a change.
func (s *service) Subscribe(f func(now time.Duration, members []api.VM)) {
	s.control.subscribers = append(s.control.subscribers, f)
}

// SetUrgentSender sets the function that sends digests to VMs immediately.
func (s *service) SetUrgentSender(f func(vms []string)) { s.control.notify = f }

// Leaving reports whether a VM is known to be leaving.
func (s *service) Leaving(vm string) bool { return s.view.Load().leaving[vm] }

// Down reports whether an upstream is considered down.
func (s *service) Down(upstream string) bool { return s.view.Load().down[upstream] }

// Outgoing returns the observations for digests, with their current ages.
func (s *service) Outgoing() []api.Observation {
	v := s.view.Load()
	elapsed := s.clock.Now() - v.updatedAt
	out := make([]api.Observation, 0, len(v.observations))
	for _, sighting := range v.observations {
		sighting.Age += elapsed
		out = append(out, sighting)
	}
	return out
}

// MergeDigest applies a digest and returns the verdict on it.
func (s *service) MergeDigest(ctx context.Context, d api.PeerDigest, direct bool) api.DigestDecision {
	verdict, err := kernel.Ask(ctx, s.digests, receivedDigest{digest: d, direct: direct})
	if err != nil {
		return api.DigestReplayed
	}
	return verdict
}
