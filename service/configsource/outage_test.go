package configsource

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel/httpclient"
)

// propagationLimit is the time within which a published configuration must be
// active.
const propagationLimit = 3 * time.Second

// outage is an HTTP transport to a configuration service that is down until a point
// in time.
type outage struct{ until time.Time }

// UnavailableError reports that the service is down.
type UnavailableError struct{}

func (*UnavailableError) Error() string { return "down" }

func (o outage) RoundTrip(r *http.Request) (*http.Response, error) {
	if time.Now().Before(o.until) {
		return nil, &UnavailableError{}
	}
	return &http.Response{
		StatusCode: http.StatusOK, Request: r, Body: io.NopCloser(strings.NewReader(`{"revision":1,"files":{}}`)),
	}, nil
}

type discardCounter struct{}

func (discardCounter) Add(int64) {}

// Guards against a backoff that grows too long during an outage, so that a revision
// published at the end of the outage arrives late. This happened with a maximum
// backoff of 5 s.
func TestRevisionArrivesInTimeAfterOutage(t *testing.T) {
	for length := time.Second; length < 30*time.Second; length += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			end := time.Now().Add(length)
			s := &service{
				settings: &api.Settings{Config: api.ConfigLocation{Service: "http://127.0.0.1:1"}},
				client:   httpclient.New(httpclient.Options{Transport: outage{until: end}}), calls: discardCounter{},
			}
			ctx, cancel := context.WithCancel(t.Context())
			var delay time.Duration
			s.Watch(ctx, func(api.RawConfig) { delay = time.Since(end); cancel() }, func(error) {})
			if delay >= propagationLimit {
				t.Errorf("delivered %s after an outage of %s", delay, length)
			}
		})
	}
}
