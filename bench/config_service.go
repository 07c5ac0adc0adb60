package bench

import (
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/bench/timeline"
	"github.com/mulberryfork/mulberryfork/decide/spread"
)

const (
	configReplicas  = 3
	configReadDelay = 4 * time.Millisecond
	// configReplicaLag is the mean replication lag of a revision.
	configReplicaLag = 50 * time.Millisecond
	// Every configInvalidEvery-th revision is invalid, and every
	// configRaceEvery-th is published twice with different content.
	configInvalidEvery = 13
	configRaceEvery    = 17
)

// publication is one published configuration.
type publication struct {
	version spread.Version
	valid   bool
	// readableAt is the first time at which a replica of the running service had
	// the version.
	readableAt  time.Duration
	wasReadable bool
}

// configService models the platform's configuration service. Its replicas lag
// behind and may be frozen, which leaves their content unchanged. All calls fail
// while the service is down.
type configService struct {
	events         *timeline.Timeline
	rng            *rand.Rand
	down           bool
	frozen         [configReplicas]bool
	pending        [configReplicas][]spread.Version
	current        [configReplicas]spread.Version
	watchCalls     [configReplicas][]*watchCall
	history        []*publication
	byVersion      map[spread.Version]*publication
	readsPerSecond []int
	revision       uint64
}

type watchCall struct {
	afterRevision uint64
	done          bool
	reply         func(v spread.Version, ok bool)
}

func newConfigService(events *timeline.Timeline, rng *rand.Rand) *configService {
	return &configService{events: events, rng: rng, byVersion: map[spread.Version]*publication{}}
}

// publish adds a revision. Some revisions are invalid. Some are also published by a
// second operator with different content, which reaches only one replica.
func (s *configService) publish() {
	s.revision++
	v := spread.Version{Revision: s.revision, Digest: s.rng.Uint64()>>1 + 1}
	s.record(v, s.revision%configInvalidEvery != 0)
	racedReplica := -1
	if s.revision%configRaceEvery == 0 {
		racedReplica = s.rng.IntN(configReplicas)
		other := spread.Version{Revision: s.revision, Digest: s.rng.Uint64()>>1 + 1}
		s.record(other, true)
		s.replicate(racedReplica, other)
	}
	for r := range configReplicas {
		if r != racedReplica {
			s.replicate(r, v)
		}
	}
}

func (s *configService) record(v spread.Version, valid bool) {
	p := &publication{version: v, valid: valid}
	s.history = append(s.history, p)
	s.byVersion[v] = p
}

func (s *configService) replicate(r int, v spread.Version) {
	lag := time.Duration(s.rng.ExpFloat64() * float64(configReplicaLag))
	s.events.After(lag, func() {
		s.pending[r] = append(s.pending[r], v)
		s.advance(r)
	})
}

// advance applies the pending revisions of a replica unless it is frozen, and
// replies to the watch calls that wait for them.
func (s *configService) advance(r int) {
	if s.frozen[r] {
		return
	}
	for _, v := range s.pending[r] {
		if v.Revision > s.current[r].Revision {
			s.current[r] = v
		}
	}
	s.pending[r] = nil
	if s.down {
		return
	}
	s.markReadable(r)
	calls := s.watchCalls[r]
	s.watchCalls[r] = nil
	for _, w := range calls {
		s.replyOrWait(r, w)
	}
}

// markReadable records that readers can now read the current version of a replica.
func (s *configService) markReadable(r int) {
	if p, ok := s.byVersion[s.current[r]]; ok && !p.wasReadable {
		p.wasReadable, p.readableAt = true, s.events.Now()
	}
}

func (s *configService) setDown(down bool) {
	s.down = down
	for r := range configReplicas {
		calls := s.watchCalls[r]
		s.watchCalls[r] = nil
		if !down {
			s.advance(r)
		}
		for _, w := range calls {
			s.finish(w, spread.Version{}, false)
		}
	}
}

func (s *configService) freeze(r int, frozen bool) {
	s.frozen[r] = frozen
	s.advance(r)
}

// countRead counts a read in the current second.
func (s *configService) countRead() {
	second := int(s.events.Now() / time.Second)
	for len(s.readsPerSecond) <= second {
		s.readsPerSecond = append(s.readsPerSecond, 0)
	}
	s.readsPerSecond[second]++
}

// read replies with the current version of a random replica.
func (s *configService) read(reply func(v spread.Version, ok bool)) {
	s.countRead()
	r := s.rng.IntN(configReplicas)
	s.events.After(configReadDelay, func() { reply(s.current[r], !s.down) })
}

// watch replies when a random replica has a revision above afterRevision, or with
// a zero version after WatchTimeout.
func (s *configService) watch(afterRevision uint64, reply func(v spread.Version, ok bool)) {
	s.countRead()
	w := &watchCall{afterRevision: afterRevision, reply: reply}
	if s.down {
		s.finish(w, spread.Version{}, false)
		return
	}
	s.replyOrWait(s.rng.IntN(configReplicas), w)
	s.events.After(spread.WatchTimeout, func() { s.finish(w, spread.Version{}, true) })
}

// replyOrWait replies to a watch call if the replica has a newer revision, and
// otherwise keeps the call waiting.
func (s *configService) replyOrWait(r int, w *watchCall) {
	if s.current[r].Revision > w.afterRevision {
		s.finish(w, s.current[r], true)
		return
	}
	if !w.done {
		s.watchCalls[r] = append(s.watchCalls[r], w)
	}
}

func (s *configService) finish(w *watchCall, v spread.Version, ok bool) {
	if w.done {
		return
	}
	w.done = true
	s.events.After(configReadDelay, func() { w.reply(v, ok) })
}

// peakReads returns the highest number of reads in one second.
func (s *configService) peakReads() float64 {
	peak := 0
	for _, n := range s.readsPerSecond {
		peak = max(peak, n)
	}
	return float64(peak)
}

// meanReads returns the mean number of reads per second.
func (s *configService) meanReads(duration time.Duration) float64 {
	sum := 0
	for _, n := range s.readsPerSecond {
		sum += n
	}
	return float64(sum) / duration.Seconds()
}
