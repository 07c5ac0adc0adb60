package burn

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// firstServerError is the lowest status with which a server admits a fault.
const firstServerError = 500

// Definition is what an objective asks. Two routers' counts can be added up if
// their definitions are equal.
type Definition struct {
	Kind      api.ObjectiveKind `json:"kind"`
	Member    string            `json:"member,omitempty"`
	Model     string            `json:"model,omitempty"`
	Service   string            `json:"service,omitempty"`
	Target    float64           `json:"target"`
	Threshold time.Duration     `json:"threshold_ns,omitempty"`
}

func definitionOf(o api.Objective) Definition {
	return Definition{
		Kind:      o.Kind,
		Member:    o.Member,
		Model:     o.Model,
		Service:   o.Service,
		Target:    o.Target,
		Threshold: time.Duration(o.Threshold),
	}
}

func (d Definition) covers(e api.RequestEnd) bool {
	return (d.Member == "" || d.Member == e.Member) &&
		(d.Model == "" || d.Model == e.Model) &&
		(d.Service == "" || d.Service == e.Service)
}

// judge returns the good events and all events that a request adds.
//
//   - availability: each request; good is a whole answer with a status below 500.
//   - answered: each request that may have run; good is a whole answer.
//   - first_token: each stream of tokens; good is a first token in time.
//   - token_gap: each time between two chunks; good is one within the threshold.
//
// Requests that failed through their caller are no events, except that tokens
// which arrived count.
func (d Definition) judge(e api.RequestEnd) (good, total uint64) {
	if !d.covers(e) {
		return 0, 0
	}
	switch d.Kind {
	case api.ObjectiveAvailability:
		return judgeAvailability(e)
	case api.ObjectiveAnswered:
		return judgeAnswered(e)
	case api.ObjectiveFirstToken:
		return d.judgeFirstToken(e)
	case api.ObjectiveTokenGap:
		if e.Streamed && e.Gaps != nil {
			return e.Gaps.Count(d.Threshold)
		}
	}
	return 0, 0
}

func judgeAvailability(e api.RequestEnd) (good, total uint64) {
	if callerFault(e.Failure) {
		return 0, 0
	}
	return count(e.Failure == nil && e.Status < firstServerError), 1
}

func judgeAnswered(e api.RequestEnd) (good, total uint64) {
	if callerFault(e.Failure) || e.Failure != nil && e.Failure.Run == api.NotRun {
		return 0, 0
	}
	return count(e.Failure == nil), 1
}

func (d Definition) judgeFirstToken(e api.RequestEnd) (good, total uint64) {
	if !e.Streamed || e.FirstToken == 0 && (e.Failure == nil || callerFault(e.Failure)) {
		return 0, 0
	}
	return count(e.FirstToken > 0 && e.FirstToken <= d.Threshold), 1
}

func count(good bool) uint64 {
	if good {
		return 1
	}
	return 0
}

// callerFault reports whether a failure is the caller's own doing.
func callerFault(f *api.Failure) bool {
	if f == nil {
		return false
	}
	switch f.Code {
	case api.CodeBadRequest, api.CodeUnauthenticated, api.CodeForbidden, api.CodeNotFound,
		api.CodeUnknownModel, api.CodeUnknownService, api.CodeMethodNotAllowed, api.CodeBodyTooLarge,
		api.CodeRateLimited, api.CodeKeyNotBound, api.CodeKeyExpired, api.CodeKeyReused,
		api.CodeKeyMalformed, api.CodeInProgress, api.CodeTombstoned, api.CodeCanceled:
		return true
	}
	return false
}
