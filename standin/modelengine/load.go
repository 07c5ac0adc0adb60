package modelengine

import "time"

// Load is the engine's load report. It lags behind by Options.LoadReportLag.
type Load struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// Tokens is the number of tokens still to be generated for these requests.
	Tokens      int   `json:"tokens"`
	Completions int   `json:"completions"`
	Cold        bool  `json:"cold"`
	StepMicros  int64 `json:"step_us"`
	CacheBlocks int   `json:"cache_blocks"`
}

type loadSample struct {
	at   time.Duration
	load Load
}

// maxLoadSamples is the length of the history that lagged reports are read from.
const maxLoadSamples = 4096

// sampleLoad records the current load. The lock must be held.
func (e *Engine) sampleLoad() {
	v := &e.volatile
	now := e.options.Clock.Now()
	load := Load{
		Incarnation: e.incarnation, Running: len(v.batch), Waiting: len(v.waiting),
		Completions: v.completions, Cold: v.cold,
		StepMicros: v.stepTime.Microseconds(), CacheBlocks: v.cache.recency.Len(),
	}
	for _, list := range [][]*job{v.batch, v.waiting} {
		for _, j := range list {
			load.Tokens += len(j.tokens) - j.next
		}
	}
	// Drop the samples that laggedLoad can't return any more.
	for len(v.loadSamples) > 1 && v.loadSamples[1].at <= now-e.options.LoadReportLag {
		v.loadSamples = v.loadSamples[1:]
	}
	if len(v.loadSamples) == maxLoadSamples {
		v.loadSamples = append([]loadSample(nil), v.loadSamples[1:]...)
	}
	v.loadSamples = append(v.loadSamples, loadSample{at: now, load: load})
}

// laggedLoad returns the newest sample that is at least LoadReportLag old.
func (e *Engine) laggedLoad() Load {
	newest := Load{Incarnation: e.incarnation, Cold: e.options.WarmupCompletions > 0}
	limit := e.options.Clock.Now() - e.options.LoadReportLag
	for _, s := range e.volatile.loadSamples {
		if s.at > limit {
			break
		}
		newest = s.load
	}
	return newest
}
