package burn

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// minServerErrorStatus is the lowest HTTP status of a server error.
const minServerErrorStatus = 500

// Definition holds the parameters of an objective. Counts of two routers are
// summed only if their definitions are equal.
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

// matches reports whether the objective applies to a request.
func (d Definition) matches(e api.RequestSummary) bool {
	return (d.Member == "" || d.Member == e.Member) &&
		(d.Model == "" || d.Model == e.Model) &&
		(d.Service == "" || d.Service == e.Service)
}

// classify returns the good events and the total events of a request.
//
//   - availability: each request; good if the response is complete and its status
//     below 500.
//   - answered: each request that may have run; good if the response is complete.
//   - first_token: each token stream; good if the time to first token is within the
//     threshold.
//   - token_gap: each gap between two chunks; good if it is within the threshold.
//
// Failures caused by the caller are not counted, but the tokens that arrived
// before such a failure are.
func (d Definition) classify(e api.RequestSummary) (good, total uint64) {
	if !d.matches(e) {
		return 0, 0
	}
	switch d.Kind {
	case api.ObjectiveAvailability:
		return classifyAvailability(e)
	case api.ObjectiveAnswered:
		return classifyAnswered(e)
	case api.ObjectiveFirstToken:
		return d.classifyFirstToken(e)
	case api.ObjectiveTokenGap:
		if e.Streamed && e.Gaps != nil {
			return e.Gaps.CountWithin(d.Threshold)
		}
	}
	return 0, 0
}

func classifyAvailability(e api.RequestSummary) (good, total uint64) {
	if isCallerError(e.Failure) {
		return 0, 0
	}
	return countIf(e.Failure == nil && e.Status < minServerErrorStatus), 1
}

func classifyAnswered(e api.RequestSummary) (good, total uint64) {
	if isCallerError(e.Failure) || e.Failure != nil && e.Failure.Run == api.NotRun {
		return 0, 0
	}
	return countIf(e.Failure == nil), 1
}

func (d Definition) classifyFirstToken(e api.RequestSummary) (good, total uint64) {
	if !e.Streamed || e.FirstToken == 0 && (e.Failure == nil || isCallerError(e.Failure)) {
		return 0, 0
	}
	return countIf(e.FirstToken > 0 && e.FirstToken <= d.Threshold), 1
}

func countIf(good bool) uint64 {
	if good {
		return 1
	}
	return 0
}

// isCallerError reports whether the caller caused a failure.
func isCallerError(f *api.Failure) bool {
	if f == nil {
		return false
	}
	switch f.Code {
	case api.CodeBadRequest, api.CodeUnauthenticated, api.CodeForbidden, api.CodeNotFound,
		api.CodeUnknownModel, api.CodeUnknownService, api.CodeMethodNotAllowed, api.CodeBodyTooLarge, api.CodeHeaderTooLarge,
		api.CodeRateLimited, api.CodeKeyNotBound, api.CodeKeyExpired, api.CodeKeyReused,
		api.CodeKeyMalformed, api.CodeInProgress, api.CodeTombstoned, api.CodeCanceled:
		return true
	}
	return false
}
