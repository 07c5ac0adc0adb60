package api

import "time"

// FleetView is the set of edges known to one edge. The edges share two global
// limits: the retry budget and the request rates of cold upstreams.
type FleetView struct {
	// Self is the name of this edge.
	Self string
	// Names are the sorted names of all known edges, including this one.
	Names []string
	// LimitDivisor is the number that global limits are divided by to get the share of
	// one edge. It is 0 while the other edges are unknown, and otherwise at least
	// the number of names.
	LimitDivisor int
	// Addresses maps the names of the other edges to the addresses at which they take
	// calls. The address of an edge with an older build is missing.
	Addresses map[string]string
}

// Fleet publishes the set of known edges and carries reports of crashes between them.
type Fleet interface {
	// Subscribe adds a function that runs on the control loop after each change.
	// It must be called before the loop starts.
	Subscribe(f func(now time.Duration, v *FleetView))
	// ExchangeSuspicions sets the records that are exchanged with the other edges. It
	// must be called before the loop starts.
	ExchangeSuspicions(r SuspicionRecords)
	// ReportSuspicions sends reports to all known edges, with retries. It must be called
	// on the control loop.
	ReportSuspicions(suspicions []Suspicion)
}

// SuspicionRecords is the state that Fleet exchanges. Its methods run on the control
// loop.
type SuspicionRecords interface {
	// Merge adds the reports of another edge and returns those that are new.
	Merge(now time.Duration, received []Suspicion) []Suspicion
	// Report returns the current report on a request, empty if there is none.
	Report(now time.Duration, fingerprint uint64) []Suspicion
	// Digest returns reports for a process that may have none, about n. Successive calls
	// cycle through all of them.
	Digest(now time.Duration, n int) []Suspicion
}

// EdgeSettings holds the settings of an edge or side process.
type EdgeSettings struct {
	// Store is the address of the platform's store.
	Store string `toml:"store"`
	// Ready is the address that serves the platform's readiness checks.
	Ready string `toml:"ready"`
	// Seeds are the addresses of a few edges. Some may be stale.
	Seeds []string `toml:"seeds"`
	// LocalUpstreamAddress is the address of the upstream on the same VM.
	LocalUpstreamAddress string `toml:"worker"`
	// LocalService is the service of the upstream on the same VM.
	LocalService string `toml:"service"`
	// PollInterval is the polling interval for the store, 0 to watch it. Polling is
	// for processes that do not need each change immediately.
	PollInterval Duration `toml:"poll"`
	// ConfigPollInterval is the polling interval for the configuration entry, 0 to
	// read it at each poll of the store. It is separate because this entry is larger
	// than the others.
	ConfigPollInterval Duration `toml:"config_poll"`
	// RevocationDeadline is the longest time from the revocation of an API key until
	// requests with it are refused.
	RevocationDeadline Duration `toml:"revocation"`
	// Heartbeat is the interval in which upstreams renew their entries in the platform's
	// store, 0 for the default of decide/discovery.
	Heartbeat Duration `toml:"heartbeat"`
	// DrainTimeout is the longest time from the removal of an upstream, or its report that
	// it leaves, until it gets no more requests, 0 for the default of decide/discovery.
	DrainTimeout Duration `toml:"drain_timeout"`
	// RetryRatio and RetryExtra define the retry budget of all processes in one
	// RetryWindow: RetryRatio times the requests, plus RetryExtra.
	RetryRatio  float64  `toml:"retry_ratio"`
	RetryExtra  float64  `toml:"retry_extra"`
	RetryWindow Duration `toml:"retry_window"`
	// ColdOvershoot and ColdTolerance limit the request rate of all processes to
	// a cold upstream: ColdOvershoot times the rate of its service profile, plus
	// ColdTolerance requests per second.
	ColdOvershoot float64 `toml:"cold_overshoot"`
	ColdTolerance float64 `toml:"cold_tolerance"`
	// SidePort is the port of the processes beside upstreams, 0 if there are none.
	SidePort int `toml:"side_port"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s.
	LinkMbps float64 `toml:"link_mbps"`
	// MemoryMB is the memory limit of the process in MB.
	MemoryMB float64 `toml:"memory_mb"`
	// Descriptors is the limit of open descriptors of the process, 0 if it is unknown.
	Descriptors float64 `toml:"descriptors"`
	// CPUShare is the processor share of the process as a fraction of a core.
	CPUShare float64 `toml:"cpu_share"`
	// ZoneBytePrice is the price of bytes between zones, in milliseconds of a caller's time
	// for a megabyte.
	ZoneBytePrice float64 `toml:"zone_byte_price"`
}
