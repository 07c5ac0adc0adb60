package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hedge"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const sampleMailbox = 4096

// hedgeThresholds publishes the wait after which a send to a pool is hedged.
type hedgeThresholds struct {
	samples *kernel.Mailbox[sample]
	byPool  atomic.Pointer[map[string]time.Duration]
}

// sample is the time to the first chunk of one send.
type sample struct {
	pool       string
	firstChunk time.Duration
}

func (t *hedgeThresholds) provision(l *kernel.Loop) {
	state := hedge.New()
	t.byPool.Store(new(map[string]time.Duration))
	// Dropped samples only delay the update of the quantile.
	t.samples = kernel.NewMailbox(l, "dispatch.tail", sampleMailbox, kernel.Drop,
		func(_ time.Duration, s sample) {
			if state.Observe(s.pool, s.firstChunk) {
				next := state.Thresholds()
				t.byPool.Store(&next)
			}
		})
}

func (t *hedgeThresholds) observe(s sample) { _ = t.samples.Post(context.Background(), s) }

// threshold returns false until the pool has enough samples.
func (t *hedgeThresholds) threshold(pool string) (time.Duration, bool) {
	d, ok := (*t.byPool.Load())[pool]
	return d, ok
}

// poolName names the group of upstreams that can serve a request.
func poolName(r api.Request) string {
	if r.Service != "" {
		return "service/" + r.Service
	}
	return "model/" + r.Model
}
