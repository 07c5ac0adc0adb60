package modelengine

import "time"

// Load is the engine's load report. It is LoadLag old.
type Load struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// Tokens are still to be generated for the requests above.
	Tokens      int   `json:"tokens"`
	Completions int   `json:"completions"`
	Cold        bool  `json:"cold"`
	StepMicros  int64 `json:"step_us"`
	CacheBlocks int   `json:"cache_blocks"`
}

type sample struct {
	at   time.Duration
	load Load
}

// maxSamples bounds the history from which the lagging report is taken.
const maxSamples = 4096

// sampleLoad notes the present load. The lock must be held.
func (e *Engine) sampleLoad() {
	l := &e.life
	now := e.options.Clock.Now()
	load := Load{
		Incarnation: e.incarnation, Running: len(l.batch), Waiting: len(l.waiting),
		Completions: l.completions, Cold: l.cold,
		StepMicros: l.stepTime.Microseconds(), CacheBlocks: l.cache.order.Len(),
	}
	for _, list := range [][]*job{l.batch, l.waiting} {
		for _, j := range list {
			load.Tokens += len(j.tokens) - j.next
		}
	}
	// Only the newest sample that is old enough is ever read again.
	for len(l.reports) > 1 && l.reports[1].at <= now-e.options.LoadLag {
		l.reports = l.reports[1:]
	}
	if len(l.reports) == maxSamples {
		l.reports = append([]sample(nil), l.reports[1:]...)
	}
	l.reports = append(l.reports, sample{at: now, load: load})
}

// report returns the newest sample that is LoadLag old.
func (e *Engine) report() Load {
	found := Load{Incarnation: e.incarnation, Cold: e.options.ColdCompletions > 0}
	limit := e.options.Clock.Now() - e.options.LoadLag
	for _, s := range e.life.reports {
		if s.at > limit {
			break
		}
		found = s.load
	}
	return found
}
