package configsource

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/kernel/httpclient"
	"github.com/mulberryfork/mulberryfork/standin/confservice"
)

// lowerRevisionLimit is the time within which a lower revision in the service must be
// delivered, so that it can be reported.
const lowerRevisionLimit = time.Minute

// handlerTransport is an HTTP transport to a handler.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = &UnavailableError{}
		}
	}()
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, r)
	response = recorder.Result()
	response.Request = r
	return response, nil
}

func publish(t *testing.T, s *confservice.Service) {
	if _, err := s.Publish(map[string]string{"10-pool.toml": ""}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a configuration service that was restored from a backup and whose
// revisions are below the delivered one, so that a watch returns nothing and the
// revisions published there are never seen.
func TestRevisionsAfterRestoreFromBackupAreDelivered(t *testing.T) {
	for name, list := range map[string]string{"single process": "", "pool": "http://list"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := confservice.New(confservice.Options{Clock: kernel.NewRuntimeClock()})
				for range 9 {
					publish(t, source)
				}
				s := &service{
					settings: &api.Settings{
						Config:     api.ConfigLocation{Service: "http://127.0.0.1:1"},
						Membership: api.ServiceAddress{Service: list},
					},
					client: httpclient.New(httpclient.Options{Transport: handlerTransport{source.Replica(0)}}), calls: discardCounter{},
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				delivered := make(chan uint64, 100)
				go s.Watch(ctx, func(raw api.RawConfig) { delivered <- raw.Revision }, func(error) {})
				if got := <-delivered; got != 9 {
					t.Fatalf("delivered revision %d", got)
				}
				source.Restore(3)
				for _, want := range []uint64{3, 4, 5} {
					select {
					case got := <-delivered:
						if got != want {
							t.Errorf("delivered revision %d of the restored service, want %d", got, want)
						}
					case <-time.After(lowerRevisionLimit):
						t.Fatalf("revision %d of the restored service was not delivered in %s", want, lowerRevisionLimit)
					}
					publish(t, source)
				}
			})
		})
	}
}
