package api

import "time"

// Duration is a time.Duration written as text ("1.5s") in TOML.
type Duration time.Duration

// UnmarshalText parses the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text), Err: err}
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// DurationError reports text that is not a duration.
type DurationError struct {
	Text string
	Err  error
}

func (e *DurationError) Error() string { return "not a duration: " + e.Text }

// Unwrap returns the parser's error.
func (e *DurationError) Unwrap() error { return e.Err }

// Config is the validated configuration that the operators publish, merged from
// its files.
type Config struct {
	Pool       Pool                    `toml:"pool"`
	Members    map[string]Member       `toml:"members"`
	Zones      map[string]Zone         `toml:"zones"`
	Upstreams  map[string]Upstream     `toml:"upstreams"`
	Services   map[string]PlainService `toml:"services"`
	Models     map[string]Model        `toml:"models"`
	Groups     map[string]Group        `toml:"groups"`
	Objectives map[string]Objective    `toml:"objectives"`
}

// Pool holds settings for the whole pool.
type Pool struct {
	// RetryRatio bounds retries as a fraction of the first attempts, from 0 to 1.
	RetryRatio float64 `toml:"retry_ratio"`
	// OutcomeRetention is how long an agent keeps the outcome of a request under
	// its idempotency key.
	OutcomeRetention Duration `toml:"outcome_retention"`
	// LedgerEntries bounds the idempotency keys in the ledger of an agent.
	LedgerEntries int `toml:"ledger_entries"`
	// LedgerAnswerBytes bounds one recorded response.
	LedgerAnswerBytes int `toml:"ledger_answer_bytes"`
	// WeightStoreMBps is the total bandwidth of the weight store in MB/s, shared
	// by all readers.
	WeightStoreMBps float64 `toml:"weight_store_mbps"`
}

// Member is a guild member.
type Member struct {
	// Share is the member's weight in weighted fair queueing.
	Share float64 `toml:"share"`
	// TokenHashes are SHA-256 hashes of bearer tokens, in hex. More than one
	// allows rotation.
	TokenHashes []string `toml:"token_hashes"`
	// Zones and Upstreams restrict where the member's requests may run; an empty
	// list allows all.
	Zones     []string `toml:"zones"`
	Upstreams []string `toml:"upstreams"`
	// QueueRequests bounds the member's queued requests at each agent.
	QueueRequests int `toml:"queue_requests"`
	// RequestsPerSecond limits the member's request rate at each router; 0 means
	// no limit.
	RequestsPerSecond float64 `toml:"requests_per_second"`
}

// ZoneState is the state of an availability zone.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
	// ZoneLeaving announces that the zone will be taken out. It still takes new
	// requests while its prompt prefixes move to other zones.
	ZoneLeaving ZoneState = "leaving"
)

// Zone is an availability zone.
type Zone struct {
	Region string    `toml:"region"`
	State  ZoneState `toml:"state"`
}

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// Kinds of upstream.
const (
	UpstreamModel UpstreamKind = "model"
	UpstreamPlain UpstreamKind = "plain"
)

// Upstream is a back end; an agent runs on the same VM.
type Upstream struct {
	Kind UpstreamKind `toml:"kind"`
	Zone string       `toml:"zone"`
	// VM is the name of the VM that it runs on.
	VM string `toml:"vm"`
	// Agent is the IP address and port of its agent.
	Agent string `toml:"agent"`
	// Models and Adapters list the models and adapters that a model engine may
	// serve.
	Models   []string `toml:"models"`
	Adapters []string `toml:"adapters"`
	// Service is the plain service that the upstream belongs to, empty for a model
	// engine.
	Service string `toml:"service"`
	// Leaving drains the upstream: it takes no new requests.
	Leaving bool `toml:"leaving"`
	// MaxRequests and MaxTokens bound the concurrency limits: requests in flight
	// and their estimated tokens.
	MaxRequests int `toml:"max_requests"`
	MaxTokens   int `toml:"max_tokens"`
	// ColdRequests is the concurrency limit at the beginning of a cold start.
	ColdRequests int `toml:"cold_requests"`
	// ColdGain is added to the concurrency limit for each request completed
	// during a cold start.
	ColdGain float64 `toml:"cold_gain"`
	// ChecksFencing is true if the upstream itself refuses orders with a stale
	// fencing token.
	ChecksFencing bool `toml:"checks_fencing"`
	// Deduplicates is true if the upstream itself deduplicates requests by
	// idempotency key.
	Deduplicates bool `toml:"deduplicates"`
	// MemoryMB bounds the size of the weights that it can hold.
	MemoryMB int `toml:"memory_mb"`
}

// PlainService is a service whose upstreams are not model engines.
type PlainService struct {
	// Idempotent and NonIdempotent list "METHOD /path" patterns; the method
	// may be "*" and a path may end in "*". Calls that match none follow RFC 9110.
	Idempotent    []string `toml:"idempotent"`
	NonIdempotent []string `toml:"non_idempotent"`
	// ResendWindow is how long callers may resend a request under a caller-made
	// idempotency key.
	ResendWindow Duration `toml:"resend_window"`
	// Timeout limits the duration of one call.
	Timeout Duration `toml:"timeout"`
}

// Model is a model that callers may request.
type Model struct {
	Version  string   `toml:"version"`
	Adapters []string `toml:"adapters"`
	// SizeMB is the size of its weights in MB.
	SizeMB int `toml:"size_mb"`
	// Idempotent marks completions as safe to retry. By default a POST is not,
	// see RFC 9110, section 9.2.2.
	Idempotent bool `toml:"idempotent"`
	// ContextTokens bounds the tokens of prompt and completion together.
	ContextTokens int `toml:"context_tokens"`
	// MaxOutputTokens is the estimated completion length if the caller sets no
	// maximum.
	MaxOutputTokens int `toml:"max_output_tokens"`
	// MinUpstreams is the minimum number of upstreams that keep the model loaded.
	MinUpstreams int `toml:"min_upstreams"`
}

// Group is an expert-parallel group of ranks.
type Group struct {
	Model   string `toml:"model"`
	Ranks   int    `toml:"ranks"`
	Experts int    `toml:"experts"`
	Layers  int    `toml:"layers"`
	// Upstreams are the hosts of the ranks, in rank order. Each hosts the same
	// number of ranks.
	Upstreams []string `toml:"upstreams"`
	// SlotsPerRank is the number of experts of one layer that a rank can hold.
	SlotsPerRank int `toml:"slots_per_rank"`
	// ExpertMB is the size in MB of one expert's weights in one layer.
	ExpertMB float64 `toml:"expert_mb"`
}

// ObjectiveKind is the measurement of a service-level objective.
type ObjectiveKind string

// Kinds of objective.
const (
	ObjectiveAvailability ObjectiveKind = "availability"
	ObjectiveFirstToken   ObjectiveKind = "first_token"
	ObjectiveTokenGap     ObjectiveKind = "token_gap"
	ObjectiveAnswered     ObjectiveKind = "answered"
)

// Objective is a service-level objective.
type Objective struct {
	Kind ObjectiveKind `toml:"kind"`
	// Member, Model and Service restrict the objective; empty means all.
	Member  string `toml:"member"`
	Model   string `toml:"model"`
	Service string `toml:"service"`
	// Target is the fraction of events that must be good, between 0 and 1.
	Target float64 `toml:"target"`
	// Threshold is the longest time of a good event, for kinds that measure time.
	Threshold Duration `toml:"threshold"`
}

// Snapshot is one accepted revision of the configuration. It must not be
// modified.
type Snapshot struct {
	Revision uint64
	// Digest is a hash of the files. It is the same on all processes.
	Digest uint64
	Config *Config
	// Files are the source files by name, kept so that a peer can fetch them.
	Files map[string][]byte
}
