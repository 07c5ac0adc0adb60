package api

// Settings are one process's own settings, from a small TOML file and flags.
type Settings struct {
	// Node names the process's VM.
	Node string `toml:"node"`
	// Zone is the availability zone of the process.
	Zone string `toml:"zone"`
	// Upstream names the upstream beside an agent; empty on a router.
	Upstream string `toml:"upstream"`

	Listen     Listen     `toml:"listen"`
	Config     ConfigFrom `toml:"config"`
	Membership From       `toml:"membership"`
	Engine     EngineAt   `toml:"engine"`
	TLS        TLS        `toml:"tls"`
	Limits     Limits     `toml:"limits"`
	Log        Log        `toml:"log"`
	// Peers are addresses to ask for the configuration at start, beside the
	// membership list.
	Peers []string `toml:"peers"`
	// StopDeadline bounds a graceful shutdown.
	StopDeadline Duration `toml:"stop_deadline"`
	// Edge is set for the processes of a platform with a store.
	Edge Edge `toml:"edge"`
	// DrainDelay is how long a router that stops still takes connections, since
	// the platform's balancer learns of its readiness with a delay.
	DrainDelay Duration `toml:"drain_delay"`
}

// Listen holds the addresses that a process serves, IP and port.
type Listen struct {
	// HTTP serves callers, on a router.
	HTTP string `toml:"http"`
	// Link serves other processes of the system.
	Link string `toml:"link"`
	// Admin serves health, metrics and profiles.
	Admin string `toml:"admin"`
}

// ConfigFrom says where the published configuration comes from: the
// platform's service, or a folder for a single machine.
type ConfigFrom struct {
	Service string `toml:"service"`
	Folder  string `toml:"folder"`
}

// From is the address of a platform service.
type From struct {
	Service string `toml:"service"`
}

// EngineAt is where an agent reaches its upstream.
type EngineAt struct {
	URL string `toml:"url"`
	// WeightStore is the platform's weight store.
	WeightStore string `toml:"weight_store"`
}

// TLS names the files of keys and certificates between processes.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
	// Plain allows links without TLS. The process refuses to run without TLS
	// files unless it is set.
	Plain bool `toml:"plain"`
}

// Limits bound what one caller may send.
type Limits struct {
	HeaderBytes int      `toml:"header_bytes"`
	BodyBytes   int64    `toml:"body_bytes"`
	ReadTimeout Duration `toml:"read_timeout"`
	// RequestTimeout is the deadline of a request whose caller names none.
	RequestTimeout Duration `toml:"request_timeout"`
	// Streams bounds concurrent requests of one process.
	Streams int `toml:"streams"`
}

// Log says what is logged and how.
type Log struct {
	Level string `toml:"level"`
	// Format is "text" or "json".
	Format string `toml:"format"`
}
