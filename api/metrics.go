package api

// MetricKind tells totals from present values and distributions.
type MetricKind string

// Kinds of metric.
const (
	MetricCounter   MetricKind = "counter"
	MetricGauge     MetricKind = "gauge"
	MetricHistogram MetricKind = "histogram"
	// MetricReport is a structured value.
	MetricReport MetricKind = "report"
)

// Metric describes one published metric.
type Metric struct {
	Name string
	Kind MetricKind
	Unit string
	// Label says what the parts of the metric are, empty for a single value.
	Label string
	// Process is "router", "agent" or "both".
	Process string
	Help    string
}

// MetricTable lists every metric; docs/metrics.md is made from it.
var MetricTable = []Metric{
	{"link_up", MetricCounter, "links", "", "router", "links to agents that came up"},
	{"link_down", MetricCounter, "links", "", "router", "links to agents that were lost"},
	{"link_refused", MetricCounter, "dials", "", "router", "dials to agents that failed"},
	{"link_foreign_frames", MetricCounter, "frames", "", "router", "frames for no exchange under way, dropped"},
	{"server_orders", MetricCounter, "orders", "", "agent", "orders received"},
	{"server_replayed_orders", MetricCounter, "orders", "", "agent", "orders that repeat one under way on the same link, dropped"},
	{"server_foreign_frames", MetricCounter, "links", "", "agent", "links that began with a hello for another upstream"},
	{"server_refused_role", MetricCounter, "calls", "", "both", "calls refused for the role in the certificate"},
	{"config_revision", MetricGauge, "revision", "", "both", "configuration revision in force"},
	{"config_accepted", MetricCounter, "revisions", "", "both", "revisions put in force"},
	{"config_refused", MetricCounter, "revisions", "", "both", "revisions that did not validate"},
	{"config_older", MetricCounter, "revisions", "", "both", "revisions older than the one in force, ignored"},
	{"config_source_errors", MetricCounter, "calls", "", "both", "failed calls to the configuration service"},
	{"config_source_calls", MetricCounter, "calls", "", "both", "calls to the configuration service"},
	{"config_ready", MetricGauge, "flag", "", "both", "1 while the configuration in force is known to be current"},
	{"config_exchanges", MetricCounter, "calls", "", "both", "digests sent to peers"},
	{"config_pauses", MetricCounter, "events", "", "both", "pauses of the process that were noticed"},
	{"config_mismatches", MetricCounter, "fetches", "", "both", "content fetched from peers that did not match its digest"},
	{"peer_calls", MetricCounter, "calls", "", "both", "calls to peers"},
	{"peer_call_failures", MetricCounter, "calls", "", "both", "calls to peers that failed"},
	{"peer_replayed", MetricCounter, "digests", "", "both", "digests that were seen before or came from an ended incarnation, refused"},
	{"peer_foreign", MetricCounter, "digests", "", "both", "digests that name no other process of the pool, refused"},
	{"membership_reads", MetricCounter, "calls", "", "both", "reads of the membership list"},
	{"membership_errors", MetricCounter, "calls", "", "both", "reads of the membership list that failed"},
	{"membership_vms", MetricGauge, "VMs", "", "both", "VMs on the list in use"},
	{"membership_leaving", MetricGauge, "VMs", "", "both", "VMs known to be leaving"},
	{"membership_down", MetricGauge, "upstreams", "", "both", "upstreams that count as down"},
	{"mailbox_posted", MetricGauge, "events", "mailbox", "both", "events posted to the control loop"},
	{"mailbox_dropped", MetricGauge, "events", "mailbox", "both", "events dropped because a mailbox was full"},
	{"mailbox_replaced", MetricGauge, "events", "mailbox", "both", "events replaced by a newer one before they were handled"},
	{"mailbox_waited", MetricGauge, "events", "mailbox", "both", "events whose sender waited for room"},
	{"requests", MetricCounter, "requests", "member", "router", "requests taken from callers"},
	{"answers_whole", MetricCounter, "answers", "member", "router", "whole answers given to callers"},
	{"failures", MetricCounter, "answers", "code", "router", "answers that ended in a failure, by code"},
	{"failures_run", MetricCounter, "answers", "run", "router", "answers that ended in a failure, by run state"},
	{"retries", MetricCounter, "sends", "", "router", "sends after the first of a request"},
	{"hedges", MetricCounter, "sends", "", "router", "second concurrent sends of idempotent requests that waited for their head"},
	{"resumes", MetricCounter, "sends", "", "router", "streams that went on at another upstream"},
	{"retries_denied", MetricCounter, "sends", "", "router", "retries refused by the retry budget"},
	{"outcome_queries", MetricCounter, "queries", "", "router", "queries for the outcome of a send after a lost link"},
	{"chunks_duplicate", MetricCounter, "chunks", "", "router", "chunks dropped as duplicates"},
	{"chunks_foreign", MetricCounter, "chunks", "", "router", "chunks dropped as foreign"},
	{"chunks_late", MetricCounter, "chunks", "", "router", "chunks dropped as late"},
	{"keys_issued", MetricCounter, "keys", "", "router", "bound keys issued"},
	{"streams", MetricGauge, "requests", "", "router", "requests under way"},
	{"streams_refused", MetricCounter, "requests", "", "router", "requests refused by the bound on streams"},
	{"first_chunk", MetricHistogram, "us", "member", "router", "time from arrival to the first chunk"},
	{"chunk_gap", MetricHistogram, "us", "member", "router", "time between two chunks"},
	{"request_time", MetricHistogram, "us", "member", "router", "time from arrival to the end"},
	{"burn", MetricReport, "", "", "router", "counts for the service-level objectives; read by `mulberryfork burn`"},
	{"route_choices", MetricCounter, "choices", "reason", "router", "choices of upstream, by what decided them: `affinity` (a cached prefix), `work` (outstanding work and zone) or `only` (no alternative)"},
	{"route_ejected", MetricCounter, "ejections", "", "router", "upstreams ejected as outliers"},
	{"discovery_updates", MetricCounter, "views", "", "edge", "changes of what is known of routes, members and upstreams"},
	{"discovery_malformed", MetricCounter, "entries", "", "edge", "entries of the platform's store that could not be used"},
	{"discovery_older", MetricCounter, "configurations", "", "edge", "configurations older than the one in force, ignored"},
	{"discovery_lost", MetricCounter, "calls", "", "edge", "calls to the platform's store that failed"},
	{"discovery_age_ms", MetricGauge, "ms", "", "edge", "time since the view was known to be current"},
	{"discovery_upstreams", MetricGauge, "upstreams", "", "edge", "upstreams listed in the platform's store"},
	{"fleet_edges", MetricGauge, "edges", "", "edge", "edges that share what is bounded over all of them"},
	{"fleet_calls", MetricCounter, "calls", "", "edge", "calls to seeds"},
	{"fleet_call_failures", MetricCounter, "calls", "", "edge", "calls to seeds that failed"},
	{"store_calls", MetricCounter, "calls", "", "edge", "calls to the platform's store"},
	{"rank_calls", MetricCounter, "calls", "", "side", "calls to ranks of the group"},
	{"rank_readings", MetricCounter, "readings", "", "side", "readings of the group's ranks"},
	{"rank_readings_incomplete", MetricCounter, "readings", "", "side", "readings in which a rank was missing or of another epoch"},
	{"map_changes", MetricCounter, "changes", "", "side", "changes of the expert map that were begun"},
	{"map_undone", MetricCounter, "changes", "", "side", "changes of the expert map that were undone, begun here or by another leader"},
	{"work_started", MetricCounter, "requests", "member", "agent", "requests started at the upstream"},
	{"work_refused", MetricCounter, "requests", "code", "agent", "requests refused before the start, by code"},
	{"work_running", MetricGauge, "requests", "", "agent", "requests running at the upstream"},
	{"work_queued", MetricGauge, "requests", "", "agent", "requests waiting for a turn"},
	{"work_limit", MetricGauge, "requests", "", "agent", "present bound on running requests"},
	{"work_cold", MetricGauge, "flag", "", "agent", "1 while the upstream counts as cold"},
	{"work_cold_falls", MetricCounter, "events", "reason", "agent", "falls back to the cold limit, by reason"},
	{"work_crashes", MetricCounter, "events", "", "agent", "crashes of the upstream that were noticed"},
	{"work_isolated", MetricCounter, "requests", "", "agent", "suspect requests run in isolation"},
	{"work_recalled", MetricCounter, "requests", "", "agent", "idempotent runs stopped because the request crashed an upstream elsewhere"},
	{"ledger_entries", MetricGauge, "keys", "", "agent", "keys in the ledger"},
	{"ledger_repeats", MetricCounter, "requests", "", "agent", "requests answered from the ledger"},
	{"ledger_tombstones", MetricCounter, "sends", "", "agent", "sends that were promised not to start"},
	{"engine_runs", MetricCounter, "requests", "", "agent", "requests sent to the upstream"},
	{"engine_feed_failures", MetricCounter, "calls", "", "agent", "reads of the engine's reports that failed"},
	{"engine_failures", MetricCounter, "requests", "code", "agent", "requests that the upstream did not answer whole"},
}
