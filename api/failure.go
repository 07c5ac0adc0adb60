package api

import (
	"fmt"
	"time"
)

// RunState states whether an upstream ran a request.
type RunState string

const (
	// Ran means that the upstream ran the request.
	Ran RunState = "ran"
	// NotRun guarantees that the request did not run and will not run for this
	// attempt.
	NotRun RunState = "not_run"
	// RunUnknown means that the request may or may not have run.
	RunUnknown RunState = "unknown"
)

// Code identifies a kind of failure. Callers receive it, so codes must not change.
type Code string

// Failure codes. docs/operators/errors.md documents them for callers.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeUnknownModel     Code = "unknown_model"
	CodeUnknownService   Code = "unknown_service"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeHeaderTooLarge   Code = "header_too_large"
	CodeTooManyStreams   Code = "too_many_streams"
	CodeRateLimited      Code = "rate_limited"
	CodeQueueFull        Code = "queue_full"
	CodeOverloaded       Code = "overloaded"
	CodeColdUpstream     Code = "cold_upstream"
	CodeNoUpstream       Code = "no_upstream"
	CodeZoneOut          Code = "zone_out"
	CodeLeaving          Code = "leaving"
	CodeStaleRevision    Code = "stale_revision"
	CodeWrongIncarnation Code = "wrong_incarnation"
	CodeWrongUpstream    Code = "wrong_upstream"
	CodeNotReady         Code = "not_ready"
	CodeShuttingDown     Code = "shutting_down"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeCanceled         Code = "canceled"
	CodeLinkLost         Code = "link_lost"
	CodeStreamBroken     Code = "stream_broken"
	CodeUpstreamFailed   Code = "upstream_failed"
	// CodeNoRoom is a response for which the process that reads it has no room. It says
	// nothing of the upstream, and the request may have run.
	CodeNoRoom            Code = "no_room"
	CodeUpstreamUnreached Code = "upstream_unreached"
	CodeKeyNotBound       Code = "key_not_bound"
	CodeKeyExpired        Code = "key_expired"
	CodeKeyReused         Code = "key_reused"
	CodeKeyMalformed      Code = "key_malformed"
	CodeInProgress        Code = "in_progress"
	CodeLedgerFull        Code = "ledger_full"
	CodeAnswerNotKept     Code = "answer_not_kept"
	CodeTombstoned        Code = "tombstoned"
	CodeSuspect           Code = "suspect"
	CodeRetryBudget       Code = "retry_budget"
	CodeStaleFencingToken Code = "stale_fencing_token"
	CodeReplayed          Code = "replayed"
	CodeInternal          Code = "internal"
)

// Failure is the typed failure of a request.
type Failure struct {
	Code Code
	Run  RunState
	// Detail is a description for people.
	Detail string
	// RetryAfter is the suggested wait before a retry, zero if waiting does not
	// help.
	RetryAfter time.Duration
	// BoundKey is a new idempotency key for a caller whose own key could not be
	// verified.
	BoundKey string
	// Revision is the configuration revision of the process that refused the
	// request, zero if it is irrelevant.
	Revision uint64
	// Crash is set if the upstream broke off the exchange and refused connections right
	// after that.
	Crash CrashEvidence
	// Err is the cause, or nil.
	Err error
}

// CrashEvidence is what an exchange showed of a crash of its upstream.
type CrashEvidence uint8

// Kinds of evidence, by how far the response had got: nothing of it, its head, or a part of
// its content had come.
const (
	NoCrash CrashEvidence = iota
	CrashBeforeResponse
	CrashInResponse
	CrashInContent
)

func (e CrashEvidence) String() string {
	switch e {
	case CrashBeforeResponse:
		return "before the response"
	case CrashInResponse:
		return "after its head"
	case CrashInContent:
		return "in its content"
	}
	return "none"
}

func (f *Failure) Error() string {
	text := fmt.Sprintf("%s (%s)", f.Code, f.Run)
	if f.Detail != "" {
		text += ": " + f.Detail
	}
	if f.Err != nil {
		text += ": " + f.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// InvalidStatusError reports a status code that a final response cannot have.
type InvalidStatusError struct{ Status int }

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("%d is not the status of a final response", e.Status)
}

// CheckStatus returns an InvalidStatusError unless status can be that of a final response:
// 200 to 599 (RFC 9110, section 15). The HTTP client of the standard library returns any
// three digits, and its server panics on some of them.
func CheckStatus(status int) error {
	if status < 200 || status > 599 {
		return &InvalidStatusError{Status: status}
	}
	return nil
}

// NewFailure returns a failure without a cause.
func NewFailure(code Code, run RunState, detail string) *Failure {
	return &Failure{Code: code, Run: run, Detail: detail}
}
