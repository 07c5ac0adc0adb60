// Package configcheck finds entries of a configuration that have no effect and limits that
// contradict each other, and compares two configurations by meaning. It addresses loss of
// traffic through a rollout: a configuration that every process accepts, but with which some
// requests fail or reach the wrong service. Each format of a configuration is translated
// into a Model. The processes that accept a configuration refuse it on the same findings.
package configcheck

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Severity distinguishes configurations that are refused from those that are accepted.
type Severity string

// Severities of findings.
const (
	// Error means that every process refuses the configuration.
	Error Severity = "error"
	// Warning means that the configuration is accepted, but that an entry has no effect, or
	// requests that it covers fail.
	Warning Severity = "warning"
)

// Kind identifies a kind of finding. Its values do not change between releases.
type Kind string

// Kinds of findings, which docs/operators/commands.md explains.
const (
	Syntax          Kind = "syntax"
	TooLarge        Kind = "too_large"
	WrongType       Kind = "wrong_type"
	Missing         Kind = "missing"
	UnknownValue    Kind = "unknown_value"
	OutOfRange      Kind = "out_of_range"
	DuplicateField  Kind = "duplicate_field"
	DuplicateName   Kind = "duplicate_name"
	DuplicateKey    Kind = "duplicate_key"
	EmptyKey        Kind = "empty_key"
	NoKeys          Kind = "no_keys"
	Shadowed        Kind = "shadowed"
	NeverMatches    Kind = "never_matches"
	NoShare         Kind = "no_share"
	UnknownService  Kind = "unknown_service"
	UnusedService   Kind = "unused_service"
	NoUpstream      Kind = "no_upstream"
	NotApplicable   Kind = "not_applicable"
	ExceedsTimeout  Kind = "exceeds_timeout"
	ExceedsGrace    Kind = "exceeds_grace"
	ExceedsBudget   Kind = "exceeds_budget"
	WindowTooShort  Kind = "window_too_short"
	NothingAccepted Kind = "nothing_accepted"
	ExceedsShare    Kind = "exceeds_share"
	ExceedsCapacity Kind = "exceeds_capacity"
	Unreachable     Kind = "unreachable"
	OldVersion      Kind = "old_version"
)

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     Kind     `json:"kind"`
	// Entry is the dotted key of the entry, such as "routes.chat".
	Entry string `json:"entry"`
	File  string `json:"file"`
	// Line counts from 1; 0 means the whole file.
	Line int `json:"line"`
	// Field is the field of the entry, empty for the entry itself.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String has the format of the errors of a settings file.
func (f Finding) String() string {
	key := strings.TrimPrefix(f.Entry+"."+f.Field, ".")
	return fmt.Sprintf("%s:%d: %s: %s: %s", f.File, f.Line, strings.TrimSuffix(key, "."), f.Kind, f.Message)
}

// Sort orders findings by file, line, entry, field, kind and message.
func Sort(all []Finding) {
	slices.SortStableFunc(all, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Entry, b.Entry),
			cmp.Compare(a.Field, b.Field), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Message, b.Message))
	})
}

// RefusedError reports a configuration with errors.
type RefusedError struct {
	// Findings holds the errors, or the first of them.
	Findings []Finding
	// Omitted is the number of further errors.
	Omitted int
}

func (e *RefusedError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d further errors", e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// Refusal returns an error with the first errors among the findings, at most limit, or nil
// if there are none.
func Refusal(all []Finding, limit int) error {
	errs := slices.DeleteFunc(slices.Clone(all), func(f Finding) bool { return f.Severity != Error })
	if len(errs) == 0 {
		return nil
	}
	shown := min(limit, len(errs))
	return &RefusedError{Findings: errs[:shown], Omitted: len(errs) - shown}
}

// Position is the place in a file where an entry or a field is set.
type Position struct {
	File string
	Line int
}

// Entry is what all entries of a configuration have in common.
type Entry struct {
	Table, Name string
	// Path leads to the entry in its source, for Locate.
	Path []string
	// Attributes holds the value of each field, defaults included, in a text that is equal
	// for values of equal meaning. Keys of members are not among them.
	Attributes map[string]string
}

// ID returns the dotted key of the entry.
func (e *Entry) ID() string { return strings.TrimSuffix(e.Table+"."+e.Name, ".") }

// Model is a configuration in a form that does not depend on its format.
type Model struct {
	// Version orders the versions of the configuration, 0 if the format has none.
	Version   uint64
	Routes    []Route
	Services  []Service
	Members   []Member
	Upstreams []Upstream
	Zones     []Zone
	Patterns  []Pattern
	Limits    Limits
	// Other holds entries that are compared, but not checked.
	Other []Entry
	// Fields maps a field to its name in the format, where the names differ.
	Fields map[string]string
	// Locate returns the position of a path. A path that no file sets has the position of
	// the innermost part that one sets.
	Locate func(path ...string) Position
}

// Names of fields in findings. Model.Fields may map them to those of the format.
const (
	FieldTimeout       = "timeout"
	FieldMaxPause      = "max_pause"
	FieldTargetLatency = "target_latency"
	FieldAttempts      = "max_attempts"
	FieldResumable     = "resumable"
	FieldPriority      = "priority"
	FieldHost          = "host"
	FieldPrefix        = "prefix"
	FieldKind          = "kind"
	FieldSplits        = "splits"
	FieldService       = "service"
	FieldColdRate      = "cold_rate"
	FieldKeys          = "keys"
	FieldZones         = "zones"
	FieldMaxBodyBytes  = "max_body_bytes"
	FieldHeaderTimeout = "header_timeout"
	FieldIdleTimeout   = "idle_timeout"
	FieldResendWindow  = "resend_window"
	FieldVersion       = "version"
	FieldShare         = "share"
	FieldMaxRequests   = "max_requests"
	FieldQueueRequests = "queue_requests"

	FieldRequestsPerSecond = "requests_per_second"
)

// Route maps requests with a host and a path prefix to services. The longest prefix wins,
// and of equal ones the first.
type Route struct {
	Entry
	Host, Prefix string
	// Kind is empty if it is missing or unknown.
	Kind                             api.RequestKind
	Timeout, MaxPause, TargetLatency time.Duration
	Attempts                         int
	Resumable                        bool
	Priority                         *float64
	Splits                           []api.Split
	// Single means that the route names one service and no weights.
	Single bool
	// UnusedService is a service that the splits replace, empty if there is none.
	UnusedService string
}

// Pattern is a "METHOD /path" pattern in a list of a service. A list with a lower Rank is
// consulted first.
type Pattern struct {
	Entry
	Field, Method, Prefix, Text string
	// Whole means that the pattern matches only the whole path.
	Whole bool
	Rank  int
}

// Service is a service that routes or upstreams refer to.
type Service struct {
	Entry
	ColdRate              float64
	Timeout, ResendWindow time.Duration
	// Engine is nil if the format does not describe the engines of the service.
	Engine *Engine
}

// Engine holds the times that an engine takes for one request alone on a rank.
type Engine struct {
	// Pass is the time of a pass, and FirstEvent and Answer those from the start of a
	// request with a prompt of the usual size to its first event and its usual end.
	Pass, FirstEvent, Answer time.Duration
}

// KeyDigest identifies an API key without containing it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Member is a guild member.
type Member struct {
	Entry
	Keys     []KeyDigest
	Priority *float64
	// Zones and Upstreams restrict where the member's requests run; empty allows all.
	Zones, Upstreams []string
	// Share is the member's weight, QueueRequests its waiting requests at each agent, and
	// RequestsPerSecond its rate at each router, 0 if it is not limited.
	Share             float64
	QueueRequests     int
	RequestsPerSecond float64
}

// Upstream is an upstream that the configuration lists.
type Upstream struct {
	Entry
	Zone, Service string
	Models        []string
	Leaving       bool
	// MaxRequests and MaxTokens bound what it runs at the same time.
	MaxRequests, MaxTokens int
}

// Zone is an availability zone.
type Zone struct {
	Entry
	Out bool
}

// Limits holds the limits for all requests.
type Limits struct {
	Entry
	// MaxBodyBytes is nil if the format has no such limit.
	MaxBodyBytes *int64
	// MemberEntries is the number of outcomes of non-idempotent requests that an agent keeps
	// for one member during Retention, 0 if the format has no such limit.
	MemberEntries int
	Retention     time.Duration
	// HeaderTimeout and IdleTimeout bound how long a connection waits for its client, 0 if they
	// are not set.
	HeaderTimeout, IdleTimeout time.Duration
}

// Process holds the settings of the processes that are to use the configuration.
type Process struct {
	// StopDeadline bounds a graceful shutdown.
	StopDeadline time.Duration
	// BodyBytes is the memory for the bodies of requests, 0 if it is not bounded.
	BodyBytes int64
	// NoRetries means that the retry budget is always empty.
	NoRetries bool
}
