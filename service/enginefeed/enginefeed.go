// Package enginefeed reads what a model engine reports of itself: its load at
// an interval, and the changes of its prefix cache by long poll.
package enginefeed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	// loadInterval is how often the load is read; the engine has no watch for it.
	loadInterval = 250 * time.Millisecond
	loadTimeout  = time.Second
	// cachePoll is the wait that a long poll asks for.
	cachePoll    = 10 * time.Second
	cacheTimeout = 15 * time.Second
	// cachePause bounds how often cache changes are handed on.
	cachePause   = 100 * time.Millisecond
	failurePause = time.Second
	maxBytes     = 1 << 20
	mailbox      = 16
)

type service struct {
	settings  *api.Settings
	client    *http.Client
	failures  api.Counter
	followers []api.EngineObserver
	reports   *kernel.Mailbox[api.EngineReport]
	changes   *kernel.Mailbox[cacheEvent]
	// models receives once the upstream is known to be a model engine.
	models  chan struct{}
	once    sync.Once
	cancel  context.CancelFunc
	reading sync.WaitGroup
}

type cacheEvent struct {
	incarnation uint64
	changes     []api.CacheChange
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	store, err := kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore)
	if err != nil {
		return err
	}
	s.failures = metrics.Counter("engine_feed_failures", "")
	s.client = &http.Client{}
	s.models = make(chan struct{})
	s.reports = kernel.NewMailbox(c.Loop(), "engine.report", 1, kernel.Latest, s.handleReport)
	s.changes = kernel.NewMailbox(c.Loop(), "engine.cache", mailbox, kernel.Drop, s.handleChanges)
	store.Subscribe(func(_ time.Duration, snap *api.Snapshot) {
		// A plain service would run these calls as requests.
		if snap.Config.Upstreams[s.settings.Upstream].Kind == api.UpstreamModel {
			s.once.Do(func() { close(s.models) })
		}
	})
	return nil
}

// SubscribeEngine adds a service that is told on the control loop.
func (s *service) SubscribeEngine(f api.EngineObserver) { s.followers = append(s.followers, f) }

func (s *service) handleReport(now time.Duration, r api.EngineReport) {
	for _, f := range s.followers {
		f.EngineReport(now, r)
	}
}

func (s *service) handleChanges(now time.Duration, e cacheEvent) {
	for _, f := range s.followers {
		f.CacheChanges(now, e.incarnation, e.changes)
	}
}

func (s *service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.reading.Go(func() { s.follow(ctx, s.readLoad) })
	s.reading.Go(func() { s.follow(ctx, s.cacheReader()) })
	return nil
}

func (s *service) Stop(context.Context) error {
	s.cancel()
	s.reading.Wait()
	s.client.CloseIdleConnections()
	return nil
}

// follow repeats a read, each time after the pause that it asks for.
func (s *service) follow(ctx context.Context, read func(context.Context) (time.Duration, error)) {
	select {
	case <-s.models:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		pause, err := read(ctx)
		if err != nil && ctx.Err() == nil {
			s.failures.Add(1)
			pause = failurePause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// ReadError reports an engine that did not answer as its protocol says.
type ReadError struct {
	Status int
	Err    error
}

func (e *ReadError) Error() string {
	if e.Err != nil {
		return "engine report: " + e.Err.Error()
	}
	return fmt.Sprintf("engine report: status %d", e.Status)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

func (s *service) get(ctx context.Context, timeout time.Duration, path string, into any) error {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := strings.TrimSuffix(s.settings.Engine.URL, "/") + path
	req, err := http.NewRequestWithContext(limited, http.MethodGet, url, nil)
	if err != nil {
		return &ReadError{Err: err}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return &ReadError{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &ReadError{Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBytes)).Decode(into); err != nil {
		return &ReadError{Err: err}
	}
	return nil
}

type loadReport struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Cold        bool   `json:"cold"`
	StepMicros  int64  `json:"step_us"`
}

func (s *service) readLoad(ctx context.Context) (time.Duration, error) {
	var l loadReport
	if err := s.get(ctx, loadTimeout, "/internal/load", &l); err != nil {
		return 0, err
	}
	_ = s.reports.Post(ctx, api.EngineReport{
		Incarnation: l.Incarnation,
		Running:     l.Running,
		Waiting:     l.Waiting,
		Cold:        l.Cold,
		StepTime:    time.Duration(l.StepMicros) * time.Microsecond,
	})
	return loadInterval, nil
}

type cacheFeed struct {
	Incarnation uint64 `json:"incarnation"`
	Events      []struct {
		Seq   uint64 `json:"seq"`
		Kind  string `json:"kind"`
		Block uint64 `json:"block"`
	} `json:"events"`
}

// cacheReader returns a read that goes on after the last change seen, or from
// the beginning once the engine has restarted.
func (s *service) cacheReader() func(context.Context) (time.Duration, error) {
	var incarnation, after uint64
	return func(ctx context.Context) (time.Duration, error) {
		var feed cacheFeed
		path := "/internal/cache-events?after=" + strconv.FormatUint(after, 10) +
			"&wait_ms=" + strconv.FormatInt(cachePoll.Milliseconds(), 10)
		if err := s.get(ctx, cacheTimeout, path, &feed); err != nil {
			return 0, err
		}
		if feed.Incarnation != incarnation {
			restarted := incarnation != 0
			incarnation, after = feed.Incarnation, 0
			if restarted {
				return 0, nil
			}
		}
		e := cacheEvent{incarnation: feed.Incarnation}
		for _, c := range feed.Events {
			e.changes = append(e.changes, api.CacheChange{Seq: c.Seq, Block: c.Block, Evicted: c.Kind == kindDropped})
			after = max(after, c.Seq)
		}
		if len(e.changes) > 0 {
			_ = s.changes.Post(ctx, e)
		}
		return cachePause, nil
	}
}

// kindDropped marks a block that left the cache.
const kindDropped = "dropped"
