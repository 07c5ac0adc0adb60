// Package configsource reads and watches the configuration that the platform
// publishes, or a folder on a single machine.
package configsource

import (
	"context"
	"encoding/json"
	"io"
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
)

const (
	// watchTimeout exceeds the time after which the service ends a watch.
	watchTimeout = 40 * time.Second
	// maxBytes bounds one published configuration; values are up to 1 MB and
	// JSON escapes them.
	maxBytes = 4 << 20
)

type service struct {
	settings *api.Settings
	client   *http.Client
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
	s.client = &http.Client{Timeout: watchTimeout}
	return nil
}

// NoSourceError reports settings that name neither a service nor a folder.
type NoSourceError struct{}

func (*NoSourceError) Error() string { return "config: set either service or folder" }

func (s *service) Validate() error {
	if (s.settings.Config.Service == "") == (s.settings.Config.Folder == "") {
		return &NoSourceError{}
	}
	return nil
}

// CallError reports a failed call to the configuration service.
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

// Watch delivers each revision seen until ctx ends.
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
	for ctx.Err() == nil {
		raw, changed, err := s.poll(ctx, after)
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

// poll watches for a revision other than the last one seen. Where few processes
// watch for all, the watch is renewed early, because the replica that answers
// may be a stale one.
func (s *service) poll(ctx context.Context, after uint64) (api.RawConfig, bool, error) {
	limited, cancel := ctx, context.CancelFunc(func() {})
	if s.settings.Membership.Service != "" {
		limited, cancel = context.WithTimeout(ctx, spread.WatchTimeout)
	}
	defer cancel()
	raw, changed, err := s.get(limited, "?after="+strconv.FormatUint(after, 10))
	if err != nil && ctx.Err() == nil && limited.Err() != nil {
		return api.RawConfig{}, false, nil
	}
	return raw, changed, err
}

// Read reads the source once.
func (s *service) Read(ctx context.Context) (api.RawConfig, error) {
	if s.settings.Config.Folder != "" {
		return readFolder(s.settings.Config.Folder)
	}
	raw, _, err := s.get(ctx, "")
	return raw, err
}

type published struct {
	Revision uint64            `json:"revision"`
	Files    map[string]string `json:"files"`
}

// get reads the service. The second result is false if nothing changed.
func (s *service) get(ctx context.Context, query string) (api.RawConfig, bool, error) {
	s.calls.Add(1)
	url := strings.TrimSuffix(s.settings.Config.Service, "/") + "/v1/config" + query
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return api.RawConfig{}, false, &CallError{Err: err}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return api.RawConfig{}, false, &CallError{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return api.RawConfig{}, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return api.RawConfig{}, false, &CallError{Status: resp.StatusCode}
	}
	var p published
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBytes)).Decode(&p); err != nil {
		return api.RawConfig{}, false, &CallError{Err: err}
	}
	raw := api.RawConfig{Revision: p.Revision, Files: make(map[string][]byte, len(p.Files))}
	for name, text := range p.Files {
		raw.Files[name] = []byte(text)
	}
	return raw, true, nil
}

// readFolder reads the files of a folder. The newest change time stands for the
// revision.
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
