package balance

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hash"
	"github.com/mulberryfork/mulberryfork/decide/poison"
)

// contentOf identifies a request in the crash records.
func contentOf(fingerprint uint64, parts []uint64) poison.Content {
	return poison.Content{Fingerprint: fingerprint, Parts: parts}
}

// suspected returns the refusal of a request that crashes upstreams, nil for any other.
func (s *service) suspected(now time.Duration, q *pendingQuery) *api.Failure {
	failure := s.suspects.Admit(now, contentOf(q.Fingerprint, q.PromptParts))
	if failure != nil {
		s.refusals.Add(1)
	}
	return failure
}

// endOf returns what the end of an attempt shows of its request.
func endOf(r api.RouteResult) api.ExchangeEnd {
	e := api.ExchangeEnd{
		RequestID:   r.RequestID,
		Fingerprint: r.Fingerprint,
		PromptParts: r.PromptParts,
		Upstream:    r.Upstream,
		Incarnation: r.Incarnation,
		Whole:       r.Failure == nil,
	}
	if r.Failure != nil {
		e.Crash = r.Failure.Crash
	}
	return e
}

// recordSuspects records what the end of an exchange says about crashes that its request
// causes, and reports changes to the other edges. Only a whole response shows that the
// request is sound: it may crash an upstream at any time before.
func (s *service) recordSuspects(now time.Duration, e api.ExchangeEnd) {
	if e.Fingerprint == 0 {
		return
	}
	content := contentOf(e.Fingerprint, e.PromptParts)
	switch {
	case e.Whole:
		s.fleet.ReportSuspicions(s.suspects.RecordServed(now, content))
	case e.Crash != api.NoCrash:
		s.crashes.Add(1)
		reports := s.recordCrash(now, e, content)
		s.log.Change("upstream crashed under a request", api.Fields{
			"request":     e.RequestID,
			"fingerprint": strconv.FormatUint(e.Fingerprint, hexBase),
			"parts":       hexList(e.PromptParts),
			"upstream":    e.Upstream,
			"phase":       e.Crash.String(),
			"blocked":     s.suspects.Admit(now, content) != nil,
		})
		s.fleet.ReportSuspicions(reports)
	}
}

func (s *service) recordCrash(now time.Duration, e api.ExchangeEnd, c poison.Content) []api.Suspicion {
	id := crashID(e.Upstream, e.Incarnation)
	if e.Crash == api.CrashInContent {
		return s.suspects.RecordCrashInContent(now, e.Upstream, id, c)
	}
	return s.suspects.RecordCrash(now, e.Upstream, id, c, e.Crash == api.CrashInResponse)
}

func hexList(parts []uint64) []string {
	var list []string
	for _, part := range parts {
		list = append(list, strconv.FormatUint(part, hexBase))
	}
	return list
}

// sharedSuspects is the crash records as the other edges see them. It logs requests and
// prompt parts that their reports block here.
type sharedSuspects struct {
	*poison.Unisolated
	log api.Logger
}

// Merge adds the reports of another edge and returns those that are new.
func (s *sharedSuspects) Merge(now time.Duration, received []api.Suspicion) []api.Suspicion {
	updates := s.Unisolated.Merge(now, received)
	for _, u := range updates {
		if f := s.Admit(now, contentOf(u.Fingerprint, []uint64{u.Fingerprint})); f != nil {
			s.log.Change("request or part blocked by reports of other edges", api.Fields{
				"suspect":    strconv.FormatUint(u.Fingerprint, hexBase),
				"crashes":    len(u.Crashes),
				"blocked_ms": f.RetryAfter.Milliseconds(),
			})
		}
	}
	return updates
}

// crashID returns the same ID at all edges: an incarnation of an upstream crashes once.
func crashID(upstream string, i api.Incarnation) uint64 {
	return hash.Mix(xxhash.Sum64String(upstream), uint64(i))
}
