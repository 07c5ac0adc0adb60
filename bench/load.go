package bench

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestMicros and highestMicros bound the recorded durations, in
	// microseconds.
	lowestMicros      = 1
	highestMicros     = 120_000_000
	significantDigits = 3
)

// latencies records durations and is safe for concurrent use.
type latencies struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{values: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.values.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// percentileMS returns the percentile, from 0 to 100, in milliseconds.
func (l *latencies) percentileMS(percent float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.values.ValueAtQuantile(percent)) / 1000
}

// openLoop sends requests at a fixed rate without waiting for responses.
// Latency counts from the intended start, so that a stall adds to the latency of
// every request that it delays.
type openLoop struct {
	perSecond float64
	duration  time.Duration
	send      func(ctx context.Context, i int) error
}

type loadResult struct {
	latency *latencies
	sent    int
	// err is nil if all requests succeeded.
	err error
}

// failures counts failed requests and keeps the first error.
type failures struct {
	mu    sync.Mutex
	count int64
	first error
}

func (f *failures) record(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	if f.first == nil {
		f.first = err
	}
}

func (f *failures) err() error {
	if f.count == 0 {
		return nil
	}
	return &FailedRequestsError{Count: f.count, First: f.first}
}

func (o openLoop) run(ctx context.Context) loadResult {
	r := loadResult{latency: newLatencies()}
	var failed failures
	var running sync.WaitGroup
	begin := time.Now()
	interval := time.Duration(float64(time.Second) / o.perSecond)
	for i := 0; ; i++ {
		due := begin.Add(time.Duration(i) * interval)
		if due.Sub(begin) >= o.duration || ctx.Err() != nil {
			break
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		r.sent++
		running.Go(func() {
			failed.record(o.send(ctx, i))
			r.latency.record(time.Since(due))
		})
	}
	running.Wait()
	r.err = failed.err()
	return r
}

// saturate sends requests from concurrent workers in a closed loop and returns
// the throughput in requests per second.
func saturate(ctx context.Context, workers, requests int, send func(ctx context.Context, i int) error) (perSecond float64, err error) {
	var next atomic.Int64
	var failed failures
	var running sync.WaitGroup
	begin := time.Now()
	for range workers {
		running.Go(func() {
			for ctx.Err() == nil {
				i := int(next.Add(1))
				if i > requests {
					return
				}
				failed.record(send(ctx, i))
			}
		})
	}
	running.Wait()
	return float64(requests) / time.Since(begin).Seconds(), failed.err()
}
