// Package enginefeed polls the load of a model engine and reads the changes of its
// prefix cache by long polling.
package enginefeed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/kernel/httpclient"
)

const (
	// loadInterval is the time between polls of the load, for which the engine has no
	// long poll.
	loadInterval = 250 * time.Millisecond
	loadTimeout  = time.Second
	// cachePollWait is the maximum wait of the engine for changes in a long poll, sent
	// as wait_ms. cacheTimeout bounds the whole request.
	cachePollWait = 10 * time.Second
	cacheTimeout  = 15 * time.Second
	// cacheInterval is the time between two long polls. It bounds how often cache
	// changes are passed to subscribers.
	cacheInterval = 100 * time.Millisecond
	retryInterval = time.Second
	// maxIdleConns is one for each of the two polls.
	maxIdleConns       = 2
	maxResponseBytes   = 1 << 20
	changesMailboxSize = 16
)

type service struct {
	settings     *api.Settings
	client       *httpclient.Client
	failedReads  api.Counter
	subscribers  []api.EngineObserver
	reports      *kernel.Mailbox[api.EngineReport]
	cacheChanges *kernel.Mailbox[cacheBatch]
	// isModel is closed once the configuration shows that the upstream is a model
	// engine.
	isModel     chan struct{}
	isModelOnce sync.Once
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
}

// cacheBatch holds the cache changes of one long poll.
type cacheBatch struct {
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
	s.failedReads = metrics.Counter("engine_feed_failures", "")
	var account api.ResponseAccount
	if account.Connections, _, err = kernel.LookupOptional[api.Connections](c, api.ServiceConnections); err != nil {
		return err
	}
	s.client = httpclient.New(httpclient.Options{
		Account:     account,
		Holder:      api.ServiceEngineFeed,
		Dial:        (&net.Dialer{Timeout: loadTimeout}).DialContext,
		MaxIdle:     maxIdleConns,
		IdleTimeout: cacheTimeout,
	})
	s.isModel = make(chan struct{})
	s.reports = kernel.NewMailbox(c.Loop(), "engine.report", 1, kernel.Latest, s.handleReport)
	s.cacheChanges = kernel.NewMailbox(c.Loop(), "engine.cache", changesMailboxSize, kernel.Drop, s.handleChanges)
	store.Subscribe(func(_ time.Duration, snap *api.Snapshot) {
		// A plain service would handle these calls as ordinary requests.
		if snap.Config.Upstreams[s.settings.Upstream].Kind == api.UpstreamModel {
			s.isModelOnce.Do(func() { close(s.isModel) })
		}
	})
	return nil
}

// SubscribeEngine adds a subscriber. Its methods are called on the control loop.
func (s *service) SubscribeEngine(f api.EngineObserver) { s.subscribers = append(s.subscribers, f) }

func (s *service) handleReport(now time.Duration, r api.EngineReport) {
	for _, f := range s.subscribers {
		f.EngineReport(now, r)
	}
}

func (s *service) handleChanges(now time.Duration, b cacheBatch) {
	for _, f := range s.subscribers {
		f.CacheChanges(now, b.incarnation, b.changes)
	}
}

func (s *service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.tasks.Go(func() { s.poll(ctx, s.readLoad) })
	s.tasks.Go(func() { s.poll(ctx, s.newCacheReader()) })
	return nil
}

func (s *service) Stop(context.Context) error {
	s.cancel()
	s.tasks.Wait()
	s.client.CloseIdleConnections()
	return nil
}

// poll repeats a read once the upstream is known to be a model engine. Each read
// returns the time until the next one; a failed read is retried after retryInterval.
func (s *service) poll(ctx context.Context, read func(context.Context) (time.Duration, error)) {
	select {
	case <-s.isModel:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		wait, err := read(ctx)
		if err != nil && ctx.Err() == nil {
			s.failedReads.Add(1)
			wait = retryInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// ReadError reports a failed read from the engine. Status is the HTTP status of the
// response if Err is nil.
type ReadError struct {
	Status int
	Err    error
}

func (e *ReadError) Error() string {
	if e.Err != nil {
		return "read from engine: " + e.Err.Error()
	}
	return fmt.Sprintf("read from engine: status %d", e.Status)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

func (s *service) get(ctx context.Context, timeout time.Duration, path string, out any) error {
	reqCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := strings.TrimSuffix(s.settings.Engine.URL, "/") + path
	req, err := http.NewRequestWithContext(reqCtx, http.MethodGet, url, nil)
	if err != nil {
		return &ReadError{Err: err}
	}
	resp, err := s.client.Do(req, "")
	if err != nil {
		return &ReadError{Err: err}
	}
	defer resp.Body.Close()
	if resp.Status != http.StatusOK {
		return &ReadError{Status: resp.Status}
	}
	if err := resp.Body.ReadJSON(maxResponseBytes, out); err != nil {
		return &ReadError{Err: err}
	}
	return nil
}

type loadResponse struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Cold        bool   `json:"cold"`
	StepMicros  int64  `json:"step_us"`
}

func (s *service) readLoad(ctx context.Context) (time.Duration, error) {
	var l loadResponse
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

type cacheResponse struct {
	Incarnation uint64 `json:"incarnation"`
	Events      []struct {
		Seq   uint64 `json:"seq"`
		Kind  string `json:"kind"`
		Block uint64 `json:"block"`
	} `json:"events"`
}

// newCacheReader returns a read function for poll that continues after the last
// change received. After a restart of the engine it starts from the first change.
func (s *service) newCacheReader() func(context.Context) (time.Duration, error) {
	var incarnation, after uint64
	return func(ctx context.Context) (time.Duration, error) {
		var response cacheResponse
		path := "/internal/cache-events?after=" + strconv.FormatUint(after, 10) +
			"&wait_ms=" + strconv.FormatInt(cachePollWait.Milliseconds(), 10)
		if err := s.get(ctx, cacheTimeout, path, &response); err != nil {
			return 0, err
		}
		if response.Incarnation != incarnation {
			restarted := incarnation != 0
			incarnation, after = response.Incarnation, 0
			if restarted {
				return 0, nil
			}
		}
		batch := cacheBatch{incarnation: response.Incarnation}
		for _, c := range response.Events {
			batch.changes = append(batch.changes, api.CacheChange{Seq: c.Seq, Block: c.Block, Evicted: c.Kind == kindDropped})
			after = max(after, c.Seq)
		}
		if len(batch.changes) > 0 {
			_ = s.cacheChanges.Post(ctx, batch)
		}
		return cacheInterval, nil
	}
}

// kindDropped is the kind of an event for a block that was evicted from the cache.
const kindDropped = "dropped"
