package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hedge"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const sampleMailboxSize = 4096

// hedgeThresholds publishes, for each pool, the wait after which an attempt is hedged.
type hedgeThresholds struct {
	samples *kernel.Mailbox[sample]
	byPool  atomic.Pointer[map[string]time.Duration]
}

// sample is the time to the first chunk of the winner of a hedgedAttempt. It starts with
// the first of the two attempts, even if the hedge won.
type sample struct {
	pool             string
	timeToFirstChunk time.Duration
}

func (t *hedgeThresholds) provision(l *kernel.Loop) {
	state := hedge.New()
	t.byPool.Store(new(map[string]time.Duration))
	// The mailbox may drop samples: that only delays the update of the quantile.
	t.samples = kernel.NewMailbox(l, "dispatch.tail", sampleMailboxSize, kernel.Drop,
		func(_ time.Duration, s sample) {
			if state.Observe(s.pool, s.timeToFirstChunk) {
				next := state.Thresholds()
				t.byPool.Store(&next)
			}
		})
}

func (t *hedgeThresholds) observe(s sample) { _ = t.samples.Post(context.Background(), s) }

// threshold returns the pool's hedging threshold, or false until the pool has enough
// samples.
func (t *hedgeThresholds) threshold(pool string) (time.Duration, bool) {
	d, ok := (*t.byPool.Load())[pool]
	return d, ok
}

// poolName returns the name of the group of upstreams that can serve a request.
func poolName(r api.Request) string {
	if r.Service != "" {
		return "service/" + r.Service
	}
	return "model/" + r.Model
}
