package crowd

import (
	"math/rand/v2"
	"sync"
	"time"
)

// minStay and maxStay bound the time that a wave keeps its connections open after it has sent
// what it sends: less than the time after which a process may end stalled ones, and long enough
// that a process which does not would keep its callers out. With 4 s nothing showed that.
const minStay, maxStay = 200 * time.Millisecond, 12 * time.Second

// Recurring is a crowd that comes in waves until it is stopped, for runs in which ordinary
// callers, faults and changes go on beside it.
type Recurring struct {
	stop  chan struct{}
	waves sync.WaitGroup
}

// Recur starts a crowd. Each wave plays one of the patterns, drawn by the seed, with one nth of
// its clients. Both functions are called for each wave: the address changes with a restart, and
// patterns carry API keys that may be revoked.
func Recur(address func() string, patterns func() []Pattern, nth int, seed uint64) *Recurring {
	r := &Recurring{stop: make(chan struct{})}
	r.waves.Go(func() {
		random := rand.New(rand.NewPCG(seed, 0))
		for {
			all := patterns()
			clients := Gather(address(), Part(all[random.IntN(len(all)):][:1], nth)...)
			stay := time.NewTimer(minStay + time.Duration(random.Int64N(int64(maxStay-minStay))))
			stopped := false
			select {
			case <-r.stop:
				stopped = true
			case <-stay.C:
			}
			stay.Stop()
			clients.Leave()
			if stopped {
				return
			}
		}
	})
	return r
}

// Stop ends the crowd once its wave has sent what it sends, and closes its connections.
func (r *Recurring) Stop() {
	close(r.stop)
	r.waves.Wait()
}
