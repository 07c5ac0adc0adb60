package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hedge"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const tailMailbox = 4096

// tails publishes the time after which a send of a pool is worth a hedge.
type tails struct {
	samples    *kernel.Mailbox[sample]
	thresholds atomic.Pointer[map[string]time.Duration]
}

// sample is one time to the first chunk.
type sample struct {
	pool string
	took time.Duration
}

func (t *tails) provision(l *kernel.Loop) {
	state := hedge.New()
	t.thresholds.Store(new(map[string]time.Duration))
	// A sample that is lost only makes the quantile a little older.
	t.samples = kernel.NewMailbox(l, "dispatch.tail", tailMailbox, kernel.Drop,
		func(_ time.Duration, s sample) {
			if state.Observe(s.pool, s.took) {
				next := state.Thresholds()
				t.thresholds.Store(&next)
			}
		})
}

func (t *tails) observe(s sample) { _ = t.samples.Post(context.Background(), s) }

// threshold returns false while the tail of the pool is not known.
func (t *tails) threshold(pool string) (time.Duration, bool) {
	d, ok := (*t.thresholds.Load())[pool]
	return d, ok
}

// poolOf names the upstreams that could answer a request.
func poolOf(r api.Request) string {
	if r.Service != "" {
		return "service/" + r.Service
	}
	return "model/" + r.Model
}
