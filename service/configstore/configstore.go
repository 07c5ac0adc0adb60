// Package configstore owns the accepted configuration of a process. It merges
// and validates what the source and peers deliver and publishes snapshots.
package configstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	offerMailbox  = 16
	healthMailbox = 1
)

// Register adds the service under its name.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceConfigStore, func() any { return &service{} })
}

// offer is a revision from the source or a peer, merged off the control loop.
type offer struct {
	raw      api.RawConfig
	snapshot *api.Snapshot
	failure  *config.Errors
}

type service struct {
	source  api.ConfigSource
	metrics api.Metrics
	log     api.Logger

	offers *kernel.Mailbox[offer]
	health *kernel.Mailbox[error]

	current atomic.Pointer[api.Snapshot]
	// changed holds a channel that is closed by the next change.
	changed     atomic.Pointer[chan struct{}]
	refused     atomic.Pointer[RefusedError]
	sourceDown  error
	subscribers []func(now time.Duration, s *api.Snapshot)
	ready       chan struct{}
	readyOnce   sync.Once
	cancel      context.CancelFunc
	watching    sync.WaitGroup
	counts      counters
}

type counters struct {
	accepted, refused, older, sourceErrors api.Counter
}

// RefusedError reports the newest revision that did not validate. The last
// good one stays in force.
type RefusedError struct {
	Revision uint64
	Errors   *config.Errors
}

func (e *RefusedError) Error() string { return "configuration refused: " + e.Errors.Error() }

// Unwrap returns what is wrong with the files.
func (e *RefusedError) Unwrap() error { return e.Errors }

// NoneError reports a process that has no configuration yet.
type NoneError struct{}

func (*NoneError) Error() string { return "no configuration was accepted yet" }

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.source, err = kernel.Lookup[api.ConfigSource](c, api.ServiceConfigSource); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[api.Metrics](c, api.ServiceMetrics); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[api.Logger](c, api.ServiceLog); err != nil {
		return err
	}
	s.ready = make(chan struct{})
	changed := make(chan struct{})
	s.changed.Store(&changed)
	s.offers = kernel.NewMailbox(c.Loop(), "config.offer", offerMailbox, kernel.Wait, s.accept)
	s.health = kernel.NewMailbox(c.Loop(), "config.health", healthMailbox, kernel.Latest, s.noteHealth)
	s.counts = counters{
		accepted:     s.metrics.Counter("config_accepted", ""),
		refused:      s.metrics.Counter("config_refused", ""),
		older:        s.metrics.Counter("config_older", ""),
		sourceErrors: s.metrics.Counter("config_source_errors", ""),
	}
	s.metrics.Gauge("config_revision", func() int64 {
		if snap := s.current.Load(); snap != nil {
			return int64(snap.Revision)
		}
		return 0
	})
	return nil
}

func (s *service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.watching.Add(1)
	go func() {
		defer s.watching.Done()
		s.source.Watch(ctx, func(raw api.RawConfig) { s.Offer(ctx, raw) }, func(err error) {
			_ = s.health.Post(ctx, err)
		})
	}()
	return nil
}

func (s *service) Stop(context.Context) error {
	s.cancel()
	s.watching.Wait()
	return nil
}

// Offer merges a revision and hands it to the control loop. Merging takes long
// for a large configuration, so it does not run on the loop.
func (s *service) Offer(ctx context.Context, raw api.RawConfig) {
	if current := s.current.Load(); current != nil && raw.Revision < current.Revision {
		s.counts.older.Add(1)
		return
	}
	o := offer{raw: raw}
	result, failure := config.Merge(raw.Files)
	if failure != nil {
		o.failure = failure
	} else {
		o.snapshot = &api.Snapshot{
			Revision: raw.Revision,
			Digest:   result.Digest,
			Config:   result.Config,
			Files:    raw.Files,
		}
	}
	_ = s.offers.Post(ctx, o)
}

// Current returns the snapshot in force.
func (s *service) Current() *api.Snapshot { return s.current.Load() }

// Subscribe adds a function that runs on the control loop after each change.
func (s *service) Subscribe(f func(now time.Duration, s *api.Snapshot)) {
	s.subscribers = append(s.subscribers, f)
}

// Ready is closed once a first snapshot is in force.
func (s *service) Ready() <-chan struct{} { return s.ready }

// WaitRevision waits for a revision to be in force.
func (s *service) WaitRevision(ctx context.Context, revision uint64) bool {
	for {
		changed := *s.changed.Load()
		if snap := s.current.Load(); snap != nil && snap.Revision >= revision {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *service) accept(now time.Duration, o offer) {
	current := s.current.Load()
	if current != nil && !newer(o, current) {
		if o.raw.Revision < current.Revision {
			s.counts.older.Add(1)
		}
		return
	}
	if o.failure != nil {
		s.counts.refused.Add(1)
		s.refused.Store(&RefusedError{Revision: o.raw.Revision, Errors: o.failure})
		s.log.Change("configuration refused", api.Fields{"revision": o.raw.Revision, "error": o.failure.Error()})
		return
	}
	s.refused.Store(nil)
	s.current.Store(o.snapshot)
	next := make(chan struct{})
	close(*s.changed.Swap(&next))
	s.counts.accepted.Add(1)
	s.log.Change("configuration in force", api.Fields{"revision": o.snapshot.Revision})
	for _, f := range s.subscribers {
		f(now, o.snapshot)
	}
	s.readyOnce.Do(func() { close(s.ready) })
}

func newer(o offer, current *api.Snapshot) bool {
	if o.raw.Revision != current.Revision {
		return o.raw.Revision > current.Revision
	}
	// Two contents under one revision are resolved alike on every process.
	return o.snapshot != nil && o.snapshot.Digest > current.Digest
}

func (s *service) noteHealth(_ time.Duration, err error) {
	if err != nil {
		s.counts.sourceErrors.Add(1)
	}
	if (err == nil) == (s.sourceDown == nil) {
		s.sourceDown = err
		return
	}
	s.sourceDown = err
	if err != nil {
		s.log.Change("configuration source unreachable", api.Fields{"error": err.Error()})
		return
	}
	s.log.Change("configuration source reachable", nil)
}
