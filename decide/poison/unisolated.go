package poison

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// firstBlockTime is how long a request or a part is blocked after the first crash of
	// which it is the likely cause. A caller that resends a request does so within its
	// deadline, of some seconds; a sound one that was there by chance is admitted again
	// soon.
	firstBlockTime = time.Minute
	// crashesToBlockAny is the number of crashes that block a request or a part in whatever
	// phase their responses were. Many sound requests wait for their response, or have a
	// part of it, at the time of a crash.
	crashesToBlockAny = 3
	// episodeGap is the shortest time between two crashes that are separate evidence
	// against a part. Requests with it may be in flight at many upstreams that crash
	// together for another reason.
	episodeGap = time.Second
)

// Unisolated blocks requests and prompt parts that crash upstreams where no agent can
// run a suspect by itself. A crash of one upstream can stop all others of its group, so
// what is the likely cause is not tried again at once.
//
// The records are those of State, by fingerprint of a request or by part.
type Unisolated struct {
	*State
	sound *soundParts
	// begun are parts of requests whose responses had content when their upstream crashed.
	// They don't crash upstreams before that.
	begun *soundParts
}

// NewUnisolated returns an empty state for up to maxRecords requests and parts, or
// DefaultMaxRecords if maxRecords is not positive.
func NewUnisolated(maxRecords int) *Unisolated {
	return &Unisolated{State: New(maxRecords), sound: newSoundParts(), begun: newSoundParts()}
}

// Content identifies a request and the parts of its prompt that others may share.
type Content struct {
	Fingerprint uint64
	Parts       []uint64
}

// Admit returns nil if a request may be sent to an upstream, and a failure if it or a
// part of its prompt is blocked. It must be asked before each attempt.
func (u *Unisolated) Admit(now time.Duration, c Content) *api.Failure {
	if left := u.blockedFor(now, c.Fingerprint, 0); left > 0 {
		return suspectFailure("the request crashed upstreams", left)
	}
	for _, part := range c.Parts {
		if left := u.blockedFor(now, part, episodeGap); left > 0 && !u.sound.contains(part) {
			return suspectFailure("a part of the prompt crashed upstreams", left)
		}
	}
	return nil
}

// RecordCrash records that an upstream crashed under a request whose response had no
// content yet, and returns the reports for other processes. The id must be the same for
// all requests in flight at that crash and unique among all crashes of the fleet.
// responding is true if the upstream had begun to respond: few requests are in that phase
// at a time, so the request is the likely cause.
func (u *Unisolated) RecordCrash(now time.Duration, upstream string, id uint64, c Content, responding bool) []api.Suspicion {
	u.counters.Crashes++
	cause := crash{id: id, upstream: upstream, at: now, alone: responding}
	reports := u.record(now, c.Fingerprint, cause)
	for i, part := range c.Parts {
		// A process that has served few requests can't tell a new part from a common one.
		// The last part is then the likeliest, since the fewest requests share it.
		mostSpecific := i > 0 && i == len(c.Parts)-1
		cause.alone = responding && (mostSpecific || u.sound.isWarm())
		if !u.sound.presume(now, part) && !u.begun.presume(now, part) {
			reports = append(reports, u.record(now, part, cause)...)
		}
	}
	return reports
}

// RecordCrashInContent is RecordCrash for a request whose response had content. Many sound
// requests are in that phase at a time, so the request is no likelier cause than those that
// wait. Its parts are not what crashed the upstream under a request without content.
func (u *Unisolated) RecordCrashInContent(now time.Duration, upstream string, id uint64, c Content) []api.Suspicion {
	u.counters.Crashes++
	u.begun.add(c.Parts)
	cause := crash{id: id, upstream: upstream, at: now}
	reports := u.record(now, c.Fingerprint, cause)
	for _, part := range c.Parts {
		if u.likelyCause(part, id) {
			cleared := crash{id: id, upstream: upstream, at: now, cleared: true}
			reports = append(reports, u.record(now, part, cleared)...)
		} else if !u.sound.presume(now, part) {
			reports = append(reports, u.record(now, part, cause)...)
		}
	}
	return reports
}

// likelyCause reports whether a crash is held against a part as its likely cause.
func (u *Unisolated) likelyCause(part, id uint64) bool {
	r := u.records[part]
	return r != nil && slices.ContainsFunc(r.crashes, func(c crash) bool { return c.id == id && c.alone })
}

func (u *Unisolated) record(now time.Duration, key uint64, c crash) []api.Suspicion {
	if !u.merge(now, key, []crash{c}) {
		return nil
	}
	return u.Report(now, key)
}

// RecordServed records that the response to a request came whole, and returns the reports
// for other processes. It clears the crashes recorded so far, and its parts are sound. The
// beginning of a response shows neither.
func (u *Unisolated) RecordServed(now time.Duration, c Content) []api.Suspicion {
	u.sound.add(c.Parts)
	reports := u.clear(now, c.Fingerprint)
	for _, part := range c.Parts {
		reports = append(reports, u.clear(now, part)...)
	}
	return reports
}

// Merge adds the reports of another process and returns the records that changed. A
// crash that is held against a sound part is cleared, so that its sender learns of it.
func (u *Unisolated) Merge(now time.Duration, received []api.Suspicion) []api.Suspicion {
	updates := u.State.Merge(now, received)
	for i, report := range updates {
		if u.isSuspect(now, report.Fingerprint) && u.sound.presume(now, report.Fingerprint) {
			updates[i] = u.clear(now, report.Fingerprint)[0]
		}
	}
	return updates
}

// digestScan is the number of records that Digest looks through for each report.
const digestScan = 8

// Digest returns reports on requests and parts that are blocked, which an edge that has
// just started needs at once. It looks through the next records of digestScan times n;
// successive calls cycle through all of them.
func (u *Unisolated) Digest(now time.Duration, n int) []api.Suspicion {
	reports := u.State.Digest(now, digestScan*n)
	return slices.DeleteFunc(reports, func(r api.Suspicion) bool {
		return u.blockedFor(now, r.Fingerprint, episodeGap) == 0
	})
}

// clear clears the crashes held against a request or a part.
func (u *Unisolated) clear(now time.Duration, key uint64) []api.Suspicion {
	if !u.isSuspect(now, key) {
		return nil
	}
	return u.RecordCompletion(now, key)
}

func (u *Unisolated) isSuspect(now time.Duration, key uint64) bool {
	r := u.records[key]
	return r != nil && slices.ContainsFunc(r.crashes, func(c crash) bool { return c.active(now) })
}

// blockedFor returns the time for which a request or a part is blocked, 0 if it is not.
func (u *Unisolated) blockedFor(now time.Duration, key uint64, gap time.Duration) time.Duration {
	r := u.records[key]
	if r == nil {
		return 0
	}
	likely, last := countEpisodes(r.crashes, gap, func(c crash) bool { return c.active(now) && c.alone })
	all, lastOfAll := countEpisodes(r.crashes, gap, func(c crash) bool { return c.active(now) })
	until := time.Duration(0)
	switch {
	case likely >= crashesToBlock:
		until = last + blockTime(likely-crashesToBlock)
	case likely > 0:
		until = last + firstBlockTime
	}
	if all >= crashesToBlockAny {
		until = max(until, lastOfAll+blockTime(all-crashesToBlockAny))
	}
	return max(until-now, 0)
}

// countEpisodes counts the crashes that qualify and are at least gap after the one
// counted before, and returns the time of the last that qualifies.
func countEpisodes(crashes []crash, gap time.Duration, qualifies func(crash) bool) (n int, last time.Duration) {
	var times []time.Duration
	for _, c := range crashes {
		if qualifies(c) {
			times = append(times, c.at)
		}
	}
	slices.Sort(times)
	counted := time.Duration(0)
	for _, at := range times {
		if n == 0 || at-counted >= gap {
			n, counted = n+1, at
		}
		last = at
	}
	return n, last
}
