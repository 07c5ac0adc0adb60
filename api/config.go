package api

import "time"

// Duration is a time.Duration written as text ("1.5s") in TOML.
type Duration time.Duration

// UnmarshalText parses the form that time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text), Err: err}
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
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

// Config is the merged and validated configuration that operators publish.
type Config struct {
	Pool       Pool                 `toml:"pool"`
	Members    map[string]Member    `toml:"members"`
	Zones      map[string]Zone      `toml:"zones"`
	Upstreams  map[string]Upstream  `toml:"upstreams"`
	Services   map[string]Plain     `toml:"services"`
	Models     map[string]Model     `toml:"models"`
	Groups     map[string]Group     `toml:"groups"`
	Objectives map[string]Objective `toml:"objectives"`
}

// Pool holds settings for the whole pool.
type Pool struct {
	// RetryRatio bounds retries as a part of the first sends, 0 to 1.
	RetryRatio float64 `toml:"retry_ratio"`
	// OutcomeRetention is how long an agent answers for a key.
	OutcomeRetention Duration `toml:"outcome_retention"`
	// LedgerEntries bounds the keys that an agent remembers.
	LedgerEntries int `toml:"ledger_entries"`
	// LedgerAnswerBytes bounds one recorded answer.
	LedgerAnswerBytes int `toml:"ledger_answer_bytes"`
	// WeightStoreMBps is the rate of the weight store over all readers.
	WeightStoreMBps float64 `toml:"weight_store_mbps"`
}

// Member is a guild member.
type Member struct {
	// Share is the member's weight against the others.
	Share float64 `toml:"share"`
	// TokenHashes are SHA-256 hashes of bearer tokens, in hex. Several allow rotation.
	TokenHashes []string `toml:"token_hashes"`
	// Zones and Upstreams restrict where the member's work may run; empty allows all.
	Zones     []string `toml:"zones"`
	Upstreams []string `toml:"upstreams"`
	// QueueRequests bounds the member's waiting requests at each agent.
	QueueRequests int `toml:"queue_requests"`
	// RequestsPerSecond bounds the member's arrival rate at each router; 0 is unbounded.
	RequestsPerSecond float64 `toml:"requests_per_second"`
}

// ZoneState says whether an availability zone takes work.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
	// ZoneLeaving announces that the zone will be out: it still takes work,
	// while its prompt prefixes move to others.
	ZoneLeaving ZoneState = "leaving"
)

// Zone is an availability zone.
type Zone struct {
	Region string    `toml:"region"`
	State  ZoneState `toml:"state"`
}

// UpstreamKind tells model engines from plain services.
type UpstreamKind string

// Kinds of upstream.
const (
	KindModel UpstreamKind = "model"
	KindPlain UpstreamKind = "plain"
)

// Upstream is a back end with an agent beside it.
type Upstream struct {
	Kind UpstreamKind `toml:"kind"`
	Zone string       `toml:"zone"`
	// VM is the machine it runs on.
	VM string `toml:"vm"`
	// Agent is the address of its agent, IP and port.
	Agent string `toml:"agent"`
	// Models and Adapters list what a model engine may serve.
	Models   []string `toml:"models"`
	Adapters []string `toml:"adapters"`
	// Service names the plain service that it belongs to.
	Service string `toml:"service"`
	// Leaving takes the upstream out of new work.
	Leaving bool `toml:"leaving"`
	// MaxRequests and MaxTokens are ceilings of concurrent work.
	MaxRequests int `toml:"max_requests"`
	MaxTokens   int `toml:"max_tokens"`
	// ColdRequests is the concurrent work it bears in cold start.
	ColdRequests int `toml:"cold_requests"`
	// ColdGain is the number of requests that it bears more for each
	// completed one while it warms.
	ColdGain float64 `toml:"cold_gain"`
	// ChecksFencing is true if it refuses orders with a stale fencing token.
	ChecksFencing bool `toml:"checks_fencing"`
	// Deduplicates is true if it recognises idempotency keys itself.
	Deduplicates bool `toml:"deduplicates"`
	// MemoryMB bounds the weights that it can hold.
	MemoryMB int `toml:"memory_mb"`
}

// Plain is a plain service beside the engines.
type Plain struct {
	// Idempotent and NonIdempotent list "METHOD /path" patterns; the method
	// may be "*" and a path may end in "*". Unlisted calls follow RFC 9110.
	Idempotent    []string `toml:"idempotent"`
	NonIdempotent []string `toml:"non_idempotent"`
	// ResendWindow is how long callers may resend under a key of their own.
	ResendWindow Duration `toml:"resend_window"`
	// Timeout bounds one call.
	Timeout Duration `toml:"timeout"`
}

// Model is a model that callers may ask for.
type Model struct {
	Version  string   `toml:"version"`
	Adapters []string `toml:"adapters"`
	// SizeMB is the size of its weights.
	SizeMB int `toml:"size_mb"`
	// Idempotent marks completions as safe to repeat. By RFC 9110 an unmarked
	// POST is not.
	Idempotent bool `toml:"idempotent"`
	// ContextTokens bounds prompt plus answer.
	ContextTokens int `toml:"context_tokens"`
	// MaxOutputTokens is the estimate where a caller names no maximum.
	MaxOutputTokens int `toml:"max_output_tokens"`
	// MinUpstreams is the number of upstreams that must keep it loaded.
	MinUpstreams int `toml:"min_upstreams"`
}

// Group is an expert-parallel group of ranks.
type Group struct {
	Model   string `toml:"model"`
	Ranks   int    `toml:"ranks"`
	Experts int    `toml:"experts"`
	Layers  int    `toml:"layers"`
	// Upstreams hosts the ranks, in rank order, evenly split.
	Upstreams []string `toml:"upstreams"`
	// SlotsPerRank bounds the experts of one layer that a rank can hold.
	SlotsPerRank int `toml:"slots_per_rank"`
	// ExpertMB is the size of one expert's weights in one layer.
	ExpertMB float64 `toml:"expert_mb"`
}

// ObjectiveKind is what a service-level objective measures.
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
	// Member, Model and Service restrict it; empty means all.
	Member  string `toml:"member"`
	Model   string `toml:"model"`
	Service string `toml:"service"`
	// Target is the good part of events, between 0 and 1.
	Target float64 `toml:"target"`
	// Threshold is the bound for timed kinds.
	Threshold Duration `toml:"threshold"`
}

// Snapshot is a configuration in force. It is never changed after publication.
type Snapshot struct {
	Revision uint64
	// Digest is the hash of the files, equal on all processes.
	Digest uint64
	Config *Config
	// Files are kept so that a peer can fetch them.
	Files map[string][]byte
}
