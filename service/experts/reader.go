package experts

import (
	"context"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rankpacing"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

// reader reads ranks concurrently, each with at most one read in flight. A rank that
// responds slowly delays no other: its response is returned by a later round.
type reader struct {
	clock kernel.Clock
	log   api.Logger
	// readRank reads one rank.
	readRank func(ctx context.Context, address string, request wire.RankReadRequest) (api.RankState, error)

	mu       sync.Mutex
	inFlight map[string]bool
	finished []reading
}

func newReader(clock kernel.Clock, log api.Logger, readRank func(context.Context, string, wire.RankReadRequest) (api.RankState, error)) *reader {
	return &reader{clock: clock, log: log, readRank: readRank, inFlight: make(map[string]bool)}
}

// read starts a read of each target that has none in flight and waits until they have
// ended, but at most for the time that a round usually takes. It returns all responses
// since the last call.
func (r *reader) read(ctx context.Context, request wire.RankReadRequest, targets []target, pacing rankpacing.Group) []reading {
	counts := false
	var wait sync.WaitGroup
	for _, t := range targets {
		counts = counts || t.counts
		if !r.begin(t.address) {
			continue
		}
		wait.Go(func() {
			q := request
			q.Counts, q.Publisher = t.counts, t.publisher
			if !t.load {
				q.Load = nil
			}
			readCtx, cancel := context.WithTimeout(ctx, pacing.ReadTimeout(t.counts))
			defer cancel()
			startedAt := r.clock.Now()
			state, err := r.readRank(readCtx, t.address, q)
			state.Report.Address = t.address
			r.end(t.address, reading{startedAt: startedAt, state: state}, err)
		})
	}
	done := make(chan struct{})
	go func() {
		wait.Wait()
		close(done)
	}()
	round := time.NewTimer(pacing.RoundTime(counts))
	defer round.Stop()
	select {
	case <-done:
	case <-round.C:
	}
	return r.collect()
}

func (r *reader) begin(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[address] {
		return false
	}
	r.inFlight[address] = true
	return true
}

func (r *reader) end(address string, result reading, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, address)
	if err == nil {
		r.finished = append(r.finished, result)
		return
	}
	r.log.Decision("reading rank failed", api.DecisionRoutine, api.Fields{
		"upstream": address, "error": err.Error(), "after_ms": (r.clock.Now() - result.startedAt).Milliseconds(),
	})
}

func (r *reader) collect() []reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	finished := r.finished
	r.finished = nil
	return finished
}
