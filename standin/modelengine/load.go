package modelengine

import "time"

// Load is the engine's load report. A report is delayed by Options.LoadReportLag.
type Load struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// Tokens is the number of tokens that the running and waiting requests have yet
	// to generate.
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

// maxLoadSamples is the maximum number of samples kept for delayed reports.
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

// laggedLoad returns the newest load sample that is at least LoadReportLag old, or the
// load of an engine that has just started if there is none.
func (e *Engine) laggedLoad() Load {
	load := Load{Incarnation: e.incarnation, Cold: e.options.WarmupCompletions > 0}
	cutoff := e.options.Clock.Now() - e.options.LoadReportLag
	for _, s := range e.volatile.loadSamples {
		if s.at > cutoff {
			break
		}
		load = s.load
	}
	return load
}
