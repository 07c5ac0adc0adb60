// Package configstore owns the accepted configuration of a process. It learns
// revisions from the platform's service and from peers, as package
// decide/spread decides, and publishes snapshots.
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
	eventMailbox   = 256
	trafficMailbox = 64
	resendMailbox  = 256
	healthMailbox  = 1
)

type service struct {
	settings *api.Settings
	source   api.ConfigSource
	metrics  api.Metrics
	log      api.Logger
	clock    kernel.Clock
	carrier  api.PeerClient

	events  *kernel.Mailbox[event]
	traffic *kernel.Mailbox[sighted]
	resends *kernel.Mailbox[kernel.Call[api.StaleRefusal, api.ResendDecision]]
	health  *kernel.Mailbox[error]
	halts   *kernel.Mailbox[kernel.Call[struct{}, struct{}]]

	held atomic.Pointer[held]
	// changed and confirmed hold channels that are closed by the next change
	// and by the next time that the configuration is known to be current.
	changed   atomic.Pointer[chan struct{}]
	confirmed atomic.Pointer[confirmation]
	refused   atomic.Pointer[RefusedError]

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	control control
	counts  counters
}

// held is the content in force and the one before, which serves as base of
// deltas.
type held struct {
	version  spread.Version
	snapshot *api.Snapshot
	before   spread.Version
	previous map[string][]byte
}

// confirmation is whether the configuration is known to be current, and the
// channel that is closed once it is.
type confirmation struct {
	ready bool
	wait  chan struct{}
}

type counters struct {
	accepted, refused, older, sourceErrors api.Counter
	exchanges, pauses, mismatches          api.Counter
}

// RefusedError reports the newest revision that did not validate. The last
// good one stays in force.
type RefusedError struct {
	Revision uint64
	Errors   *config.Errors
}

func (e *RefusedError) Error() string {
	return "configuration revision " + strconv.FormatUint(e.Revision, 10) + " refused: " + e.Errors.Error()
}

// Unwrap returns what is wrong with the files.
func (e *RefusedError) Unwrap() error { return e.Errors }

// NoneError reports a process that has no configuration yet.
type NoneError struct{}

func (*NoneError) Error() string { return "no configuration was accepted yet" }

// UnconfirmedError reports a process that started or was paused and does not
// know yet whether its configuration is current.
type UnconfirmedError struct{}

func (*UnconfirmedError) Error() string {
	return "peers were not asked yet whether the configuration is current"
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
	s.held.Store(&held{})
	s.confirmed.Store(&confirmation{wait: make(chan struct{})})
	s.control = control{service: s, first: make(chan struct{}), state: newState(s.settings)}
	s.mailboxes(c.Loop())
	s.publish()
	return nil
}

func (s *service) mailboxes(l *kernel.Loop) {
	ctl := &s.control
	s.events = kernel.NewMailbox(l, "config.event", eventMailbox, kernel.Wait,
		func(now time.Duration, e event) { ctl.run(now, e.apply(now, ctl)) })
	s.traffic = kernel.NewMailbox(l, "config.traffic", trafficMailbox, kernel.Drop,
		func(now time.Duration, e sighted) { ctl.run(now, e.apply(now, ctl)) })
	s.resends = kernel.NewMailbox(l, "config.resend", resendMailbox, kernel.Wait, ctl.resend)
	s.health = kernel.NewMailbox(l, "config.health", healthMailbox, kernel.Latest, ctl.noteHealth)
	s.halts = kernel.NewMailbox(l, "config.halt", 1, kernel.Wait,
		func(_ time.Duration, c kernel.Call[struct{}, struct{}]) { ctl.halted = true; c.Reply(struct{}{}) })
	l.Every(spread.TickInterval, ctl.tick)
}

func (s *service) publish() {
	s.counts = counters{
		accepted:     s.metrics.Counter("config_accepted", ""),
		refused:      s.metrics.Counter("config_refused", ""),
		older:        s.metrics.Counter("config_older", ""),
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

func (s *service) Start(ctx context.Context) error { return s.events.Post(ctx, begun{}) }

// Stop ends the calls under way. The loop starts no more of them first.
func (s *service) Stop(ctx context.Context) error {
	_, err := kernel.Ask(ctx, s.halts, struct{}{})
	s.cancel()
	if err != nil {
		return err
	}
	s.running.Wait()
	return nil
}

// SetPeerClient names the service that reaches peers.
func (s *service) SetPeerClient(p api.PeerClient) { s.carrier = p }

// Current returns the snapshot in force.
func (s *service) Current() *api.Snapshot { return s.held.Load().snapshot }

// Subscribe adds a function that runs on the control loop after each change.
func (s *service) Subscribe(f func(now time.Duration, s *api.Snapshot)) {
	s.control.subscribers = append(s.control.subscribers, f)
}

// Ready is closed once a first snapshot is in force and known to be current.
func (s *service) Ready() <-chan struct{} { return s.control.first }

// WaitRevision waits for a revision to be in force.
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

// Confirmed says why the process must not take work, nil if it may.
func (s *service) Confirmed() error {
	switch {
	case s.Current() == nil:
		return &NoneError{}
	case !s.confirmed.Load().ready:
		return &UnconfirmedError{}
	}
	return nil
}

// LastRejection says why the newest revision seen is not in force, nil if it is.
func (s *service) LastRejection() error {
	if e := s.refused.Load(); e != nil {
		return e
	}
	return nil
}

// WaitConfirmed waits until the configuration is known to be current.
func (s *service) WaitConfirmed(ctx context.Context) bool {
	for {
		c := s.confirmed.Load()
		if c.ready {
			return true
		}
		select {
		case <-c.wait:
		case <-ctx.Done():
			return false
		}
	}
}
