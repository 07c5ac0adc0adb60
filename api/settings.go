package api

// Settings are the settings of one process, from a TOML file and flags.
type Settings struct {
	// Node is the name of the VM that the process runs on.
	Node string `toml:"node"`
	// Zone is the availability zone of the process.
	Zone string `toml:"zone"`
	// Upstream is the upstream of an agent, on the same VM; empty on a router.
	Upstream string `toml:"upstream"`

	Listen     Listen          `toml:"listen"`
	Config     ConfigLocation  `toml:"config"`
	Membership ServiceAddress  `toml:"membership"`
	Engine     EngineAddresses `toml:"engine"`
	TLS        TLS             `toml:"tls"`
	Limits     Limits          `toml:"limits"`
	Log        Log             `toml:"log"`
	// Peers are the addresses of processes to fetch the configuration from at
	// start, in addition to those on the membership list.
	Peers []string `toml:"peers"`
	// StopDeadline limits the duration of a graceful shutdown.
	StopDeadline Duration `toml:"stop_deadline"`
	// Edge is set on a platform with a store.
	Edge EdgeSettings `toml:"edge"`
	// DrainDelay is how long a stopping router still accepts connections, since the
	// platform's load balancer notices the change of readiness with a delay.
	DrainDelay Duration `toml:"drain_delay"`
}

// Listen holds the addresses that a process listens on, each an IP address and
// port.
type Listen struct {
	// HTTP serves callers, on a router.
	HTTP string `toml:"http"`
	// Link serves other processes of mulberryfork.
	Link string `toml:"link"`
	// Admin serves health, metrics and profiles.
	Admin string `toml:"admin"`
}

// ConfigLocation is the source of the published configuration: a service of the
// platform, or a folder if everything runs on one machine.
type ConfigLocation struct {
	// Service is the address of the platform's configuration service.
	Service string `toml:"service"`
	// Folder is the path of a folder with the configuration files.
	Folder string `toml:"folder"`
}

// ServiceAddress holds the address of a platform service.
type ServiceAddress struct {
	Service string `toml:"service"`
}

// EngineAddresses holds the addresses of an agent's upstream and its weights.
type EngineAddresses struct {
	// URL is the base URL of the upstream.
	URL string `toml:"url"`
	// WeightStore is the address of the platform's weight store.
	WeightStore string `toml:"weight_store"`
}

// TLS holds the paths of the key and certificate files for mutual TLS between
// processes.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
	// AllowPlaintext allows connections without TLS. If it is false, the process refuses to
	// start without TLS files.
	AllowPlaintext bool `toml:"plain"`
}

// Limits bounds the requests from callers.
type Limits struct {
	HeaderBytes int   `toml:"header_bytes"`
	BodyBytes   int64 `toml:"body_bytes"`
	// ReadTimeout limits the time to read the header of a request.
	ReadTimeout Duration `toml:"read_timeout"`
	// RequestTimeout is the deadline of a request whose caller sets none.
	RequestTimeout Duration `toml:"request_timeout"`
	// Streams bounds the requests in flight of one process.
	Streams int `toml:"streams"`
	// MemoryMB is the memory limit of a router or an agent in MB, Descriptors its limit of
	// open descriptors. 0 stands for unknown. Edges have their own in EdgeSettings.
	MemoryMB    float64 `toml:"memory_mb"`
	Descriptors float64 `toml:"descriptors"`
	// MinRate is the rate in bytes/s below which a connection that receives a request or
	// sends a response makes no progress. Without progress for StallTime, it may be ended
	// when memory, connections or descriptors run short.
	MinRate   int64    `toml:"min_rate"`
	StallTime Duration `toml:"stall_time"`
	// WriteTimeout limits the time in which a client takes less than MinRate of a response.
	WriteTimeout Duration `toml:"write_timeout"`
}

// MemoryLimitMB returns the memory limit of the process in MB, 0 if it is unknown.
func (s *Settings) MemoryLimitMB() float64 { return max(s.Limits.MemoryMB, s.Edge.MemoryMB) }

// DescriptorLimit returns the limit of open descriptors, 0 if it is unknown.
func (s *Settings) DescriptorLimit() int { return int(max(s.Limits.Descriptors, s.Edge.Descriptors)) }

// Log holds the log level and format.
type Log struct {
	Level string `toml:"level"`
	// Format is "text" or "json".
	Format string `toml:"format"`
}
