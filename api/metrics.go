package api

// MetricKind distinguishes totals, current values and distributions.
type MetricKind string

// Kinds of metric.
const (
	MetricCounter   MetricKind = "counter"
	MetricGauge     MetricKind = "gauge"
	MetricHistogram MetricKind = "histogram"
	// MetricReport is a structured value, encoded as JSON.
	MetricReport MetricKind = "report"
)

// Metric describes one published metric.
type Metric struct {
	Name string
	Kind MetricKind
	Unit string
	// Label is the name of the metric's label, empty if it has none.
	Label string
	// Process is the kind of process that publishes the metric: "router", "agent",
	// "both" (these two), "edge", "side" or "all".
	Process string
	// Help is the meaning of the metric.
	Help string
}

// MetricTable lists every metric. docs/metrics.md is generated from it.
var MetricTable = []Metric{
	{"link_up", MetricCounter, "links", "", "router", "links to agents that were established"},
	{"link_down", MetricCounter, "links", "", "router", "links to agents that were lost"},
	{"link_refused", MetricCounter, "dials", "", "router", "failed dials to agents"},
	{"link_foreign_frames", MetricCounter, "frames", "", "router", "frames dropped because they belong to no exchange in flight"},
	{"server_orders", MetricCounter, "orders", "", "agent", "orders received"},
	{"server_replayed_orders", MetricCounter, "orders", "", "agent", "orders dropped because the same attempt is already in flight on the link"},
	{"server_foreign_frames", MetricCounter, "links", "", "agent", "links refused because the hello is missing or names another upstream"},
	{"server_refused_role", MetricCounter, "calls", "", "both", "calls refused because of the role in the certificate"},
	{"config_revision", MetricGauge, "revision", "", "both", "active configuration revision"},
	{"config_accepted", MetricCounter, "revisions", "", "both", "revisions that became active"},
	{"config_refused", MetricCounter, "revisions", "", "both", "revisions rejected by validation"},
	{"config_older", MetricCounter, "revisions", "", "both", "revisions ignored because they are older than the active one"},
	{"config_source_errors", MetricCounter, "calls", "", "both", "failed calls to the configuration service"},
	{"config_source_calls", MetricCounter, "calls", "", "both", "calls to the configuration service"},
	{"config_ready", MetricGauge, "flag", "", "both", "1 while the active configuration is known to be current"},
	{"config_exchanges", MetricCounter, "calls", "", "both", "digests sent to peers"},
	{"config_pauses", MetricCounter, "events", "", "both", "detected pauses of the process"},
	{"config_mismatches", MetricCounter, "fetches", "", "both", "configurations fetched from peers whose content did not match the digest"},
	{"peer_calls", MetricCounter, "calls", "", "both", "calls to peers"},
	{"peer_call_failures", MetricCounter, "calls", "", "both", "failed calls to peers"},
	{"peer_replayed", MetricCounter, "digests", "", "both", "digests refused because they were received before or come from an ended incarnation"},
	{"peer_foreign", MetricCounter, "digests", "", "both", "digests refused because they name no other process of the pool"},
	{"membership_reads", MetricCounter, "calls", "", "both", "reads of the membership list"},
	{"membership_errors", MetricCounter, "calls", "", "both", "failed reads of the membership list"},
	{"membership_vms", MetricGauge, "VMs", "", "both", "VMs on the current membership list"},
	{"membership_leaving", MetricGauge, "VMs", "", "both", "VMs known to be leaving"},
	{"membership_down", MetricGauge, "upstreams", "", "both", "upstreams considered down"},
	{"mailbox_posted", MetricGauge, "events", "mailbox", "both", "events posted to the control loop"},
	{"mailbox_dropped", MetricGauge, "events", "mailbox", "both", "events dropped because a mailbox was full"},
	{"mailbox_replaced", MetricGauge, "events", "mailbox", "both", "events replaced by a newer one before they were handled"},
	{"mailbox_waited", MetricGauge, "events", "mailbox", "both", "events whose sender waited because the mailbox was full"},
	{"requests", MetricCounter, "requests", "member", "router", "requests received from callers"},
	{"answers_whole", MetricCounter, "answers", "member", "router", "complete responses sent to callers"},
	{"failures", MetricCounter, "answers", "code", "router", "responses that ended in a failure, by code"},
	{"failures_run", MetricCounter, "answers", "run", "router", "responses that ended in a failure, by run state"},
	{"retries", MetricCounter, "sends", "", "router", "attempts after the first of a request"},
	{"hedges", MetricCounter, "sends", "", "router", "hedged attempts: a second concurrent attempt of an idempotent request whose response head is late"},
	{"resumes", MetricCounter, "sends", "", "router", "streams resumed at another upstream"},
	{"retries_denied", MetricCounter, "sends", "", "router", "retries denied by the retry budget"},
	{"outcome_queries", MetricCounter, "queries", "", "router", "queries for the outcome of an attempt after its link was lost"},
	{"chunks_duplicate", MetricCounter, "chunks", "", "router", "duplicate chunks dropped"},
	{"chunks_foreign", MetricCounter, "chunks", "", "router", "chunks dropped because they belong to another request or to an attempt that was never made"},
	{"chunks_late", MetricCounter, "chunks", "", "router", "chunks dropped because they belong to an earlier attempt"},
	{"keys_issued", MetricCounter, "keys", "", "router", "bound idempotency keys issued"},
	{"streams", MetricGauge, "requests", "", "router", "requests in flight"},
	{"streams_refused", MetricCounter, "requests", "", "router", "requests refused by the limit on requests in flight"},
	{"connections", MetricGauge, "connections", "", "all", "open connections of all listeners"},
	{"connection_bytes", MetricGauge, "bytes", "", "all", "bytes of heads, bodies and frames that are charged to connections"},
	{"connections_refused", MetricCounter, "connections", "listener", "all", "new connections closed because there was no room for another one"},
	{"connections_ended", MetricCounter, "connections", "reason", "all", "connections ended because of the least progress: for lack of room for `connections`, `bytes` or `requests`, or because the response was `unread` for too long; or because a `head` was not complete, or a connection `idle`, for longer than the published time"},
	{"bodies_refused", MetricCounter, "requests", "", "edge", "request bodies and parts of responses refused because too many bytes of them are held"},
	{"first_chunk", MetricHistogram, "us", "member", "router", "time from arrival to the first chunk"},
	{"chunk_gap", MetricHistogram, "us", "member", "router", "time between two successive chunks"},
	{"request_time", MetricHistogram, "us", "member", "router", "time from arrival to the end of the response"},
	{"burn", MetricReport, "", "", "router", "counts for the service-level objectives; read by `mulberryfork burn`"},
	{"route_choices", MetricCounter, "choices", "reason", "router", "choices of upstream, by the deciding factor: `affinity` (a cached prefix), `work` (outstanding work and zone) or `only` (no alternative)"},
	{"waited", MetricCounter, "requests", "", "edge", "requests that found no room in the groups and waited for it"},
	{"wait_ends", MetricCounter, "requests", "end", "edge", "ends of such waits: `sent`, `canceled` (the caller is gone), `expired` (no room in time) or `displaced` (by a more urgent request)"},
	{"room_refused", MetricCounter, "requests", "priority", "edge", "requests refused for want of room in the groups, at once or after a wait; the label holds the priorities of the customer and the route, higher is more urgent, 0 is the usual one"},
	{"uneven_choices", MetricCounter, "requests", "difference", "edge", "requests placed while the groups of their service differ, by how: `at_risk` (a rank is lost, leaving or just failed a request), `forming`, `filling` (formed lately) or `slow`"},
	{"late_paced", MetricCounter, "requests", "", "edge", "requests that could not be in time anymore and waited at groups with room, so that their prompts delay no one"},
	{"route_ejected", MetricCounter, "ejections", "", "router", "upstreams ejected as outliers"},
	{"discovery_updates", MetricCounter, "views", "", "edge", "changes of the known routes, members and upstreams"},
	{"discovery_malformed", MetricCounter, "entries", "", "edge", "unusable entries of the platform's store, ignored"},
	{"discovery_older", MetricCounter, "configurations", "", "edge", "configurations ignored because they are older than the active one"},
	{"discovery_config_version", MetricGauge, "version", "", "edge", "version of the active configuration, 0 before the first"},
	{"discovery_config_era", MetricGauge, "era", "", "edge", "era of the platform's store in which the active configuration was read, 0 if the store states none"},
	{"discovery_config_revision", MetricGauge, "revision", "", "edge", "revision of the active configuration in that era"},
	{"discovery_lost", MetricCounter, "calls", "", "edge", "failed calls to the platform's store"},
	{"discovery_age_ms", MetricGauge, "ms", "", "edge", "time since the view was last known to be current"},
	{"discovery_upstreams", MetricGauge, "upstreams", "", "edge", "upstreams listed in the platform's store"},
	{"fleet_edges", MetricGauge, "edges", "", "edge", "edges that share the global limits"},
	{"fleet_calls", MetricCounter, "calls", "", "edge", "calls to seeds"},
	{"fleet_call_failures", MetricCounter, "calls", "", "edge", "failed calls to seeds"},
	{"fleet_reports", MetricCounter, "requests", "", "edge", "suspect requests reported to another edge"},
	{"fleet_report_failures", MetricCounter, "messages", "", "edge", "failed reports to another edge"},
	{"crash_suspects", MetricCounter, "attempts", "", "edge", "attempts in flight at an upstream when that crashed"},
	{"suspects_refused", MetricCounter, "attempts", "", "edge", "attempts refused because the request crashed upstreams"},
	{"upstream_statements", MetricCounter, "statements", "", "edge", "upstreams that said that they leave or want no requests for a time"},
	{"zone_requests", MetricCounter, "requests", "zones and reason", "edge", "attempts sent to another zone, labelled with the zone of the edge, that of the upstream and the reason of the share"},
	{"zone_bytes", MetricCounter, "bytes", "zones", "edge", "bytes of requests and responses between zones, labelled with the zone of the sender and that of the receiver; response headers are not counted"},
	{"zone_shares", MetricReport, "", "", "edge", "part of the edge's work that goes to each other zone, with the reason, for each service"},
	{"store_calls", MetricCounter, "calls", "", "edge", "calls to the platform's store"},
	{"rank_calls", MetricCounter, "calls", "", "side", "calls to ranks of the group"},
	{"group_load_calls", MetricCounter, "calls", "", "edge", "requests to side processes for the load of a group"},
	{"group_load_failures", MetricCounter, "calls", "", "edge", "such requests without an answer"},
	{"rank_readings", MetricCounter, "readings", "", "side", "reads of all ranks of the group"},
	{"group_stalls", MetricCounter, "stalls", "", "side", "times the group made no passes although requests ran, mostly because a rank was lost"},
	{"rank_readings_incomplete", MetricCounter, "readings", "", "side", "reads of the group in which a rank was missing or had another epoch"},
	{"map_changes", MetricCounter, "changes", "", "side", "changes of the expert map that were started"},
	{"map_copies", MetricCounter, "experts", "", "side", "experts that ranks had to copy for these changes"},
	{"demand_shifts", MetricCounter, "shifts", "", "side", "shifts of the demand for experts that the leader saw"},
	{"map_undone", MetricCounter, "changes", "", "side", "changes of the expert map that were rolled back, started by this or another leader"},
	{"work_started", MetricCounter, "requests", "member", "agent", "requests started at the upstream"},
	{"work_refused", MetricCounter, "requests", "code", "agent", "requests refused before they started, by code"},
	{"work_running", MetricGauge, "requests", "", "agent", "requests running at the upstream"},
	{"work_queued", MetricGauge, "requests", "", "agent", "requests queued for the upstream"},
	{"work_limit", MetricGauge, "requests", "", "agent", "current limit on running requests"},
	{"work_cold", MetricGauge, "flag", "", "agent", "1 while the upstream is in cold start"},
	{"work_cold_falls", MetricCounter, "events", "reason", "agent", "resets to the cold-start limit, by reason"},
	{"work_crashes", MetricCounter, "events", "", "agent", "detected crashes of the upstream"},
	{"work_displaced", MetricCounter, "requests", "", "agent", "waiting requests that were refused because a more urgent one of the same member needed their place in its queue"},
	{"work_isolated", MetricCounter, "requests", "", "agent", "suspect requests run in isolation"},
	{"work_recalled", MetricCounter, "requests", "", "agent", "running idempotent requests canceled because they crashed another upstream"},
	{"ledger_entries", MetricGauge, "keys", "", "agent", "idempotency keys in the ledger"},
	{"ledger_repeats", MetricCounter, "requests", "", "agent", "requests answered from the ledger"},
	{"ledger_tombstones", MetricCounter, "sends", "", "agent", "attempts tombstoned: they are guaranteed never to start"},
	{"engine_runs", MetricCounter, "requests", "", "agent", "requests sent to the upstream"},
	{"engine_feed_failures", MetricCounter, "calls", "", "agent", "failed reads of the engine's reports"},
	{"engine_failures", MetricCounter, "requests", "code", "agent", "requests without a complete response from the upstream, by code"},
}
