package api

import "time"

// FleetView is what an edge knows of the edges that share what is bounded over
// all of them: repeats, and requests to cold upstreams.
type FleetView struct {
	// Self is the name of this edge, Names are those of all known ones in order,
	// this one among them.
	Self  string
	Names []string
	// Sharers is the number of edges to share with, at least that of the names.
	// It is 0 while the edge can't know how many there are.
	Sharers int
}

// Fleet publishes which edges there are.
type Fleet interface {
	// Subscribe adds a function that runs on the control loop after each change.
	// It must be called before the loop starts.
	Subscribe(f func(now time.Duration, v *FleetView))
}

// Edge holds the settings of the processes of a platform that publishes routes
// and upstreams in a store.
type Edge struct {
	// Store is the address of the platform's store.
	Store string `toml:"store"`
	// Ready is the address at which the platform asks for readiness.
	Ready string `toml:"ready"`
	// Seeds are the addresses of a few edges, which may be stale.
	Seeds []string `toml:"seeds"`
	// Worker is the address of the upstream beside the process.
	Worker string `toml:"worker"`
	// Service is the service of that upstream.
	Service string `toml:"service"`
	// Poll is the time between readings of the store by a process that does not
	// need each change at once, 0 to watch it.
	Poll Duration `toml:"poll"`
	// ConfigPoll is the time between readings of the configuration by such a
	// process, which are larger, 0 to read it with everything else.
	ConfigPoll Duration `toml:"config_poll"`
	// Revocation is the time within which a revoked key must be refused.
	Revocation Duration `toml:"revocation"`
	// RetryRatio and RetryExtra bound the repeats of all processes in a window:
	// a part of the requests, and a number beside them.
	RetryRatio  float64  `toml:"retry_ratio"`
	RetryExtra  int      `toml:"retry_extra"`
	RetryWindow Duration `toml:"retry_window"`
	// ColdOvershoot and ColdTolerance bound the requests a second of all
	// processes to a cold upstream: a multiple of its rate, and a number beside it.
	ColdOvershoot float64 `toml:"cold_overshoot"`
	ColdTolerance float64 `toml:"cold_tolerance"`
	// LinkMbps is the rate of the VM's link.
	LinkMbps float64 `toml:"link_mbps"`
	// MemoryMB bounds the memory of the process.
	MemoryMB int `toml:"memory_mb"`
}
