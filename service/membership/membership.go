// Package membership reads the platform's list of VMs and combines it with the
// links of the process and the word of its peers, as package
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
	listMailbox  = 4
	learnMailbox = 256
	// tickInterval is how often words that have become too old are dropped.
	tickInterval = time.Second
)

// Transport replaces the way to the platform's list. A test supplies it as a
// host value.
type Transport struct{ http.RoundTripper }

type service struct {
	settings *api.Settings
	client   *http.Client
	log      api.Logger
	clock    kernel.Clock

	lists  *kernel.Mailbox[[]api.VM]
	learns *kernel.Mailbox[kernel.Call[learn, api.DigestDecision]]
	health *kernel.Mailbox[error]
	view   atomic.Pointer[view]

	control control
	ctx     context.Context
	cancel  context.CancelFunc
	reading sync.WaitGroup
	reads   api.Counter
	errors  api.Counter
}

// learn is a digest of another process.
type learn struct {
	digest api.PeerDigest
	direct bool
}

// view is what other goroutines see.
type view struct {
	members   []api.VM
	leaving   map[string]bool
	down      map[string]bool
	at        time.Duration
	sightings []api.Observation
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
	if given, err := kernel.Value[*Transport](c); err == nil {
		s.client.Transport = given.RoundTripper
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.control = control{service: s, state: membership.New(s.settings.Node)}
	s.view.Store(&view{})
	if present {
		links.SubscribeLinks(&s.control)
	}
	s.mailboxes(c.Loop())
	store.Subscribe(s.control.configure)
	s.publishMetrics(metrics)
	return nil
}

func (s *service) mailboxes(l *kernel.Loop) {
	ctl := &s.control
	s.lists = kernel.NewMailbox(l, "membership.list", listMailbox, kernel.Wait, ctl.list)
	s.learns = kernel.NewMailbox(l, "membership.learn", learnMailbox, kernel.Wait, ctl.learn)
	s.health = kernel.NewMailbox(l, "membership.health", 1, kernel.Latest, ctl.noteHealth)
	l.Every(tickInterval, ctl.publish)
}

func (s *service) publishMetrics(m api.Metrics) {
	s.reads = m.Counter("membership_reads", "")
	s.errors = m.Counter("membership_errors", "")
	m.Gauge("membership_vms", func() int64 { return int64(len(s.view.Load().members)) })
	m.Gauge("membership_leaving", func() int64 { return int64(len(s.view.Load().leaving)) })
	m.Gauge("membership_down", func() int64 { return int64(len(s.view.Load().down)) })
}

// Start reads the list until the service stops. Without a list the process
// knows only what peers say.
func (s *service) Start(context.Context) error {
	if s.settings.Membership.Service == "" {
		return nil
	}
	s.reading.Add(1)
	go func() {
		defer s.reading.Done()
		s.follow()
	}()
	return nil
}

func (s *service) Stop(context.Context) error {
	s.cancel()
	s.reading.Wait()
	return nil
}

// Members returns the last known list.
func (s *service) Members() []api.VM { return s.view.Load().members }

// Subscribe adds a function that runs on the control loop after a change.
func (s *service) Subscribe(f func(now time.Duration, members []api.VM)) {
	s.control.subscribers = append(s.control.subscribers, f)
}

// SetUrgentSender names the function that sends a digest to VMs at once.
func (s *service) SetUrgentSender(f func(vms []string)) { s.control.notify = f }

// Leaving says whether a VM is known to be leaving.
func (s *service) Leaving(vm string) bool { return s.view.Load().leaving[vm] }

// Down says whether an upstream counts as down.
func (s *service) Down(upstream string) bool { return s.view.Load().down[upstream] }

// Outgoing returns what this process tells others, with present ages.
func (s *service) Outgoing() []api.Observation {
	v := s.view.Load()
	passed := s.clock.Now() - v.at
	out := make([]api.Observation, 0, len(v.sightings))
	for _, sighting := range v.sightings {
		sighting.Age += passed
		out = append(out, sighting)
	}
	return out
}

// MergeDigest takes a digest.
func (s *service) MergeDigest(ctx context.Context, d api.PeerDigest, direct bool) api.DigestDecision {
	verdict, err := kernel.Ask(ctx, s.learns, learn{digest: d, direct: direct})
	if err != nil {
		return api.DigestReplayed
	}
	return verdict
}
