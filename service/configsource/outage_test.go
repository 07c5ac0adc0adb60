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
)

// inForceLimit is when a published configuration must be in force.
const inForceLimit = 3 * time.Second

// outage is a configuration service that comes back after a time.
type outage struct{ until time.Time }

// DownError reports the service that is down.
type DownError struct{}

func (*DownError) Error() string { return "down" }

func (o outage) RoundTrip(r *http.Request) (*http.Response, error) {
	if time.Now().Before(o.until) {
		return nil, &DownError{}
	}
	return &http.Response{
		StatusCode: http.StatusOK, Request: r, Body: io.NopCloser(strings.NewReader(`{"revision":1,"files":{}}`)),
	}, nil
}

type nothing struct{}

func (nothing) Add(int64) {}

// Waits between calls once grew to 5 s in an outage, so that what was published
// at its end came too late.
func TestRevisionArrivesInTimeAfterALongOutage(t *testing.T) {
	for length := time.Second; length < 30*time.Second; length += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			end := time.Now().Add(length)
			s := &service{
				settings: &api.Settings{Config: api.ConfigLocation{Service: "http://127.0.0.1:1"}},
				client:   &http.Client{Transport: outage{until: end}}, calls: nothing{},
			}
			ctx, cancel := context.WithCancel(t.Context())
			var late time.Duration
			s.Watch(ctx, func(api.RawConfig) { late = time.Since(end); cancel() }, func(error) {})
			if late >= inForceLimit {
				t.Errorf("%s after an outage of %s", late, length)
			}
		})
	}
}
