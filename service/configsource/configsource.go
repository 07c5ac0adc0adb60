// Package configsource reads and watches the configuration of the platform's
// configuration service. On a single machine it reads a folder instead.
package configsource

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/confdir"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/kernel/httpclient"
)

const (
	// watchTimeout bounds one request. It exceeds the time after which the
	// configuration service ends a watch without a change.
	watchTimeout = 40 * time.Second
	dialTimeout  = 5 * time.Second
	// readInterval is the minimum time between two reads during a watch. readTimeout
	// bounds one of them.
	readInterval = 10 * time.Second
	readTimeout  = 2 * time.Second
	// maxResponseBytes bounds one response. The service stores values of up to 1 MB,
	// which JSON escapes enlarge.
	maxResponseBytes = 4 << 20
)

type service struct {
	settings *api.Settings
	client   *httpclient.Client
	calls    api.Counter
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.calls = metrics.Counter("config_source_calls", "")
	var account api.ResponseAccount
	if account.Connections, _, err = kernel.LookupOptional[api.Connections](c, api.ServiceConnections); err != nil {
		return err
	}
	s.client = httpclient.New(httpclient.Options{
		Account:     account,
		Holder:      api.ServiceConfigSource,
		Dial:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdle:     1,
		IdleTimeout: watchTimeout,
	})
	return nil
}

// SourceSettingsError reports settings that name both a service and a folder, or
// neither.
type SourceSettingsError struct{}

func (*SourceSettingsError) Error() string { return "config: set exactly one of service and folder" }

func (s *service) Validate() error {
	if (s.settings.Config.Service == "") == (s.settings.Config.Folder == "") {
		return &SourceSettingsError{}
	}
	return nil
}

// CallError reports a failed call to the configuration service. Status is the HTTP
// status of the response if Err is nil.
type CallError struct {
	Status int
	Err    error
}

func (e *CallError) Error() string {
	if e.Err != nil {
		return "configuration service: " + e.Err.Error()
	}
	return "configuration service: status " + strconv.Itoa(e.Status)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Watch delivers each new revision until ctx ends, and every readInterval the current
// one. It calls health with the result of each read and retries failed reads with
// backoff. A folder is read only once.
func (s *service) Watch(ctx context.Context, deliver func(api.RawConfig), health func(error)) {
	if s.settings.Config.Folder != "" {
		raw, err := readFolder(s.settings.Config.Folder)
		health(err)
		if err == nil {
			deliver(raw)
		}
		return
	}
	var after, failures uint64
	readAt := time.Now()
	for ctx.Err() == nil {
		raw, changed, err := s.poll(ctx, after)
		if err == nil && !changed && time.Since(readAt) >= readInterval {
			readAt = time.Now()
			raw, changed, err = s.readCurrent(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		health(err)
		if err == nil {
			failures = 0
			if changed {
				after = raw.Revision
				deliver(raw)
			}
			continue
		}
		failures++
		select {
		case <-ctx.Done():
		case <-time.After(spread.RetryDelay(s.settings.Node, failures)):
		}
	}
}

// poll waits for a revision other than after. The second result is false if the
// watch ended without one. With a membership service, only a few processes watch the
// configuration and pass it on to the others. They end each watch after
// spread.WatchTimeout, since the replica that serves it may be stale.
func (s *service) poll(ctx context.Context, after uint64) (api.RawConfig, bool, error) {
	watchCtx, cancel := ctx, context.CancelFunc(func() {})
	if s.settings.Membership.Service != "" {
		watchCtx, cancel = context.WithTimeout(ctx, spread.WatchTimeout)
	}
	defer cancel()
	raw, changed, err := s.get(watchCtx, "?after="+strconv.FormatUint(after, 10))
	if err != nil && ctx.Err() == nil && watchCtx.Err() != nil {
		return api.RawConfig{}, false, nil
	}
	return raw, changed, err
}

// readCurrent reads the service without waiting. Unlike a watch, this also returns a
// revision below the last one, which a service restored from a backup has.
func (s *service) readCurrent(ctx context.Context) (api.RawConfig, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.get(ctx, "")
}

// Read reads the source once.
func (s *service) Read(ctx context.Context) (api.RawConfig, error) {
	if s.settings.Config.Folder != "" {
		return readFolder(s.settings.Config.Folder)
	}
	raw, _, err := s.get(ctx, "")
	return raw, err
}

type configResponse struct {
	Revision uint64            `json:"revision"`
	Files    map[string]string `json:"files"`
}

// get sends one request to the service. The second result is false if the
// configuration has not changed since the revision in the query.
func (s *service) get(ctx context.Context, query string) (api.RawConfig, bool, error) {
	s.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	url := strings.TrimSuffix(s.settings.Config.Service, "/") + "/v1/config" + query
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return api.RawConfig{}, false, &CallError{Err: err}
	}
	resp, err := s.client.Do(req, "")
	if err != nil {
		return api.RawConfig{}, false, &CallError{Err: err}
	}
	defer resp.Body.Close()
	if resp.Status == http.StatusNotModified {
		return api.RawConfig{}, false, nil
	}
	if resp.Status != http.StatusOK {
		return api.RawConfig{}, false, &CallError{Status: resp.Status}
	}
	var body configResponse
	if err := resp.Body.ReadJSON(maxResponseBytes, &body); err != nil {
		return api.RawConfig{}, false, &CallError{Err: err}
	}
	raw := api.RawConfig{Revision: body.Revision, Files: make(map[string][]byte, len(body.Files))}
	for name, text := range body.Files {
		raw.Files[name] = []byte(text)
	}
	return raw, true, nil
}

// readFolder reads the files of a folder. The revision is the latest modification
// time in nanoseconds.
func readFolder(path string) (api.RawConfig, error) {
	files, err := confdir.Read(path)
	if err != nil {
		return api.RawConfig{}, err
	}
	raw := api.RawConfig{Files: files}
	for name := range files {
		info, err := os.Stat(filepath.Join(path, name))
		if err != nil {
			return api.RawConfig{}, &confdir.ReadError{Path: filepath.Join(path, name), Err: err}
		}
		raw.Revision = max(raw.Revision, uint64(info.ModTime().UnixNano()))
	}
	return raw, nil
}
