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

// configService models the platform's configuration service. Its replicas lag, may
// be frozen, and fail all calls while the service is down.
type configService struct {
	tl       *timeline.Timeline
	rng      *rand.Rand
	down     bool
	frozen   [configReplicas]bool
	pending  [configReplicas][]spread.Version
	current  [configReplicas]spread.Version
	waiters  [configReplicas][]*watchCall
	history  []*publication
	index    map[spread.Version]*publication
	reads    []int
	revision uint64
}

type watchCall struct {
	afterRevision uint64
	done          bool
	reply         func(v spread.Version, ok bool)
}

func newConfigService(tl *timeline.Timeline, rng *rand.Rand) *configService {
	return &configService{tl: tl, rng: rng, index: map[spread.Version]*publication{}}
}

// publish adds a revision. Some revisions are invalid. Some race with a second
// operator, whose content reaches only one replica.
func (s *configService) publish() {
	s.revision++
	v := spread.Version{Revision: s.revision, Digest: s.rng.Uint64()>>1 + 1}
	s.record(v, s.revision%configInvalidEvery != 0)
	raced := -1
	if s.revision%configRaceEvery == 0 {
		raced = s.rng.IntN(configReplicas)
		other := spread.Version{Revision: s.revision, Digest: s.rng.Uint64()>>1 + 1}
		s.record(other, true)
		s.replicate(raced, other)
	}
	for r := range configReplicas {
		if r != raced {
			s.replicate(r, v)
		}
	}
}

func (s *configService) record(v spread.Version, valid bool) {
	p := &publication{version: v, valid: valid}
	s.history = append(s.history, p)
	s.index[v] = p
}

func (s *configService) replicate(r int, v spread.Version) {
	lag := time.Duration(s.rng.ExpFloat64() * float64(configReplicaLag))
	s.tl.After(lag, func() {
		s.pending[r] = append(s.pending[r], v)
		s.advance(r)
	})
}

// advance applies the pending revisions of a replica unless it is frozen, and
// answers its watch calls.
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
	waiters := s.waiters[r]
	s.waiters[r] = nil
	for _, w := range waiters {
		s.answer(r, w)
	}
}

// markReadable records that readers can now read the current version of a replica.
func (s *configService) markReadable(r int) {
	if p, ok := s.index[s.current[r]]; ok && !p.wasReadable {
		p.wasReadable, p.readableAt = true, s.tl.Now()
	}
}

func (s *configService) setDown(down bool) {
	s.down = down
	for r := range configReplicas {
		waiters := s.waiters[r]
		s.waiters[r] = nil
		if !down {
			s.advance(r)
		}
		for _, w := range waiters {
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
	second := int(s.tl.Now() / time.Second)
	for len(s.reads) <= second {
		s.reads = append(s.reads, 0)
	}
	s.reads[second]++
}

// read replies with the current version of a random replica.
func (s *configService) read(reply func(v spread.Version, ok bool)) {
	s.countRead()
	r := s.rng.IntN(configReplicas)
	s.tl.After(configReadDelay, func() { reply(s.current[r], !s.down) })
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
	s.answer(s.rng.IntN(configReplicas), w)
	s.tl.After(spread.WatchTimeout, func() { s.finish(w, spread.Version{}, true) })
}

func (s *configService) answer(r int, w *watchCall) {
	if s.current[r].Revision > w.afterRevision {
		s.finish(w, s.current[r], true)
		return
	}
	if !w.done {
		s.waiters[r] = append(s.waiters[r], w)
	}
}

func (s *configService) finish(w *watchCall, v spread.Version, ok bool) {
	if w.done {
		return
	}
	w.done = true
	s.tl.After(configReadDelay, func() { w.reply(v, ok) })
}

// peakReads returns the highest number of reads in one second.
func (s *configService) peakReads() float64 {
	peak := 0
	for _, n := range s.reads {
		peak = max(peak, n)
	}
	return float64(peak)
}

// meanReads returns the mean number of reads per second.
func (s *configService) meanReads(duration time.Duration) float64 {
	sum := 0
	for _, n := range s.reads {
		sum += n
	}
	return float64(sum) / duration.Seconds()
}
