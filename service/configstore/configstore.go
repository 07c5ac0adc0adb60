// Package configstore holds the active configuration of a process and publishes it
// as snapshots. Revisions come from the platform's service and from peers; package
// decide/spread decides what is fetched, validated and activated.
package configstore

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	eventMailboxSize    = 256
	revisionMailboxSize = 64
	resendMailboxSize   = 256
	healthMailboxSize   = 1
)

type service struct {
	settings *api.Settings
	source   api.ConfigSource
	metrics  api.Metrics
	log      api.Logger
	clock    kernel.Clock
	peers    api.PeerClient

	events            *kernel.Mailbox[event]
	observedRevisions *kernel.Mailbox[observedRevision]
	resends           *kernel.Mailbox[kernel.Call[api.StaleRefusal, api.ResendDecision]]
	health            *kernel.Mailbox[error]
	stops             *kernel.Mailbox[kernel.Call[struct{}, struct{}]]

	active atomic.Pointer[activeConfig]
	// changed holds a channel that is closed when another configuration becomes
	// active.
	changed   atomic.Pointer[chan struct{}]
	confirmed atomic.Pointer[confirmation]
	refused   atomic.Pointer[RefusedError]

	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	control control
	counts  counters
}

// activeConfig is the active configuration and the files of the previous one, which
// are the base of deltas for peers.
type activeConfig struct {
	version         spread.Version
	snapshot        *api.Snapshot
	previousVersion spread.Version
	previousFiles   map[string][]byte
}

// confirmation records whether the configuration is known to be current. If it is
// not, done is closed once it is.
type confirmation struct {
	ready bool
	done  chan struct{}
}

type counters struct {
	accepted, refused, stale, sourceErrors api.Counter
	exchanges, pauses, mismatches          api.Counter
}

// RefusedError reports the newest revision that failed validation. The last valid
// one stays active.
type RefusedError struct {
	Revision uint64
	Errors   *config.Errors
}

func (e *RefusedError) Error() string {
	return "configuration revision " + strconv.FormatUint(e.Revision, 10) + " refused: " + e.Errors.Error()
}

// Unwrap returns the validation errors.
func (e *RefusedError) Unwrap() error { return e.Errors }

// NoConfigurationError reports that no configuration has been accepted yet.
type NoConfigurationError struct{}

func (*NoConfigurationError) Error() string { return "no configuration was accepted yet" }

// UnconfirmedError reports that the process has not yet checked whether its
// configuration is current, which it does after a start or a pause.
type UnconfirmedError struct{}

func (*UnconfirmedError) Error() string {
	return "the configuration has not been compared with that of peers yet"
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.source, err = kernel.Lookup[api.ConfigSource](c, api.ServiceConfigSource); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[api.Metrics](c, api.ServiceMetrics); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[api.Logger](c, api.ServiceLog); err != nil {
		return err
	}
	s.clock = c.Clock()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	changed := make(chan struct{})
	s.changed.Store(&changed)
	s.active.Store(&activeConfig{})
	s.confirmed.Store(&confirmation{done: make(chan struct{})})
	s.control = control{service: s, firstConfirmed: make(chan struct{}), state: newState(s.settings)}
	s.createMailboxes(c.Loop())
	s.registerMetrics()
	return nil
}

func (s *service) createMailboxes(l *kernel.Loop) {
	ctl := &s.control
	s.events = kernel.NewMailbox(l, "config.event", eventMailboxSize, kernel.Wait,
		func(now time.Duration, e event) { ctl.run(now, e.apply(now, ctl)) })
	s.observedRevisions = kernel.NewMailbox(l, "config.traffic", revisionMailboxSize, kernel.Drop,
		func(now time.Duration, e observedRevision) { ctl.run(now, e.apply(now, ctl)) })
	s.resends = kernel.NewMailbox(l, "config.resend", resendMailboxSize, kernel.Wait, ctl.resend)
	s.health = kernel.NewMailbox(l, "config.health", healthMailboxSize, kernel.Latest, ctl.recordSourceHealth)
	s.stops = kernel.NewMailbox(l, "config.halt", 1, kernel.Wait,
		func(_ time.Duration, c kernel.Call[struct{}, struct{}]) { ctl.stopping = true; c.Reply(struct{}{}) })
	l.Every(spread.TickInterval, ctl.tick)
}

func (s *service) registerMetrics() {
	s.counts = counters{
		accepted:     s.metrics.Counter("config_accepted", ""),
		refused:      s.metrics.Counter("config_refused", ""),
		stale:        s.metrics.Counter("config_older", ""),
		sourceErrors: s.metrics.Counter("config_source_errors", ""),
		exchanges:    s.metrics.Counter("config_exchanges", ""),
		pauses:       s.metrics.Counter("config_pauses", ""),
		mismatches:   s.metrics.Counter("config_mismatches", ""),
	}
	s.metrics.Gauge("config_revision", func() int64 { return int64(s.Version().Revision) })
	s.metrics.Gauge("config_ready", func() int64 {
		if s.confirmed.Load().ready {
			return 1
		}
		return 0
	})
}

func (s *service) Start(ctx context.Context) error { return s.events.Post(ctx, started{}) }

// Stop keeps the control loop from starting further calls, cancels those in flight
// and waits for them.
func (s *service) Stop(ctx context.Context) error {
	_, err := kernel.Ask(ctx, s.stops, struct{}{})
	s.cancel()
	if err != nil {
		return err
	}
	s.tasks.Wait()
	return nil
}

// SetPeerClient sets the client for calls to peers.
func (s *service) SetPeerClient(p api.PeerClient) { s.peers = p }

// Current returns the active snapshot, nil if there is none.
func (s *service) Current() *api.Snapshot { return s.active.Load().snapshot }

// Subscribe adds a function that is called on the control loop whenever another
// snapshot becomes active.
func (s *service) Subscribe(f func(now time.Duration, s *api.Snapshot)) {
	s.control.subscribers = append(s.control.subscribers, f)
}

// Ready returns a channel that is closed once a snapshot is active and known to be
// current for the first time.
func (s *service) Ready() <-chan struct{} { return s.control.firstConfirmed }

// WaitRevision waits until the given revision or a newer one is active. It returns
// false if ctx ends first.
func (s *service) WaitRevision(ctx context.Context, revision uint64) bool {
	for {
		changed := *s.changed.Load()
		if snap := s.Current(); snap != nil && snap.Revision >= revision {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Confirmed returns nil if the configuration is known to be current, so that the
// process may take work. Otherwise it returns NoConfigurationError or
// UnconfirmedError.
func (s *service) Confirmed() error {
	switch {
	case s.Current() == nil:
		return &NoConfigurationError{}
	case !s.confirmed.Load().ready:
		return &UnconfirmedError{}
	}
	return nil
}

// LastRejection returns a RefusedError if the newest revision received failed
// validation, otherwise nil.
func (s *service) LastRejection() error {
	if e := s.refused.Load(); e != nil {
		return e
	}
	return nil
}

// WaitConfirmed waits until the configuration is known to be current. It returns
// false if ctx ends first.
func (s *service) WaitConfirmed(ctx context.Context) bool {
	for {
		c := s.confirmed.Load()
		if c.ready {
			return true
		}
		select {
		case <-c.done:
		case <-ctx.Done():
			return false
		}
	}
}
