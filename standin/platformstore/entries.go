package platformstore

import (
	"encoding/json"
	"time"
)

// Upstream is what an upstream writes of itself.
type Upstream struct {
	Service, Address, Zone string
	Slots                  int
	Leaving                bool
	// Cold is how long it stays in cold start.
	Cold time.Duration
	// Born is the Unix time of its start in milliseconds.
	Born int64
}

// Route is a route of a configuration.
type Route struct {
	Prefix string
	// Kind is idempotent, non_idempotent or streaming.
	Kind      string
	Service   string
	Timeout   time.Duration
	MaxSends  int
	Resumable bool
}

// Config is a configuration as operators write it.
type Config struct {
	Version uint64
	Host    string
	Routes  []Route
	// ColdPerSecond is the rate that a cold upstream of each service bears.
	ColdPerSecond map[string]float64
	// Keys are the API keys of each member.
	Keys map[string][]string
}

const (
	configBodyBytes = 1 << 20
	configConns     = 100
)

// SetUpstream writes the entry of an upstream.
func (s *Store) SetUpstream(id string, u Upstream) {
	state := "available"
	if u.Leaving {
		state = "draining"
	}
	s.putJSON("servers/"+id, map[string]any{
		"service": u.Service, "address": u.Address, "availabilityZone": u.Zone, "version": "v1",
		"capacitySlots": u.Slots, "lifecycleState": state, "coldRemainingMs": u.Cold.Milliseconds(),
		"sequenceNumber": 1, "born": u.Born,
	})
}

// DeleteUpstream removes the entry of an upstream.
func (s *Store) DeleteUpstream(id string) { s.Delete("servers/" + id) }

// SetZoneOut takes a zone out of service, or puts it back.
func (s *Store) SetZoneOut(zone string, out bool) {
	if out {
		s.putJSON("op/evacuate/"+zone, map[string]any{})
		return
	}
	s.Delete("op/evacuate/" + zone)
}

// SetConfig writes a configuration.
func (s *Store) SetConfig(c Config) {
	var routes, services, members []map[string]any
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Prefix, "host": c.Host, "prefix": r.Prefix, "kind": r.Kind, "service": r.Service,
			"timeoutMs": r.Timeout.Milliseconds(), "maxAttempts": r.MaxSends, "streamResumption": r.Resumable,
		})
	}
	for name, rate := range c.ColdPerSecond {
		services = append(services, map[string]any{"name": name, "coldPerS": rate, "connectionLimit": configConns})
	}
	for name, keys := range c.Keys {
		members = append(members, map[string]any{"name": name, "apiKeys": keys})
	}
	s.putJSON("op/config", map[string]any{
		"version": c.Version, "routes": routes, "services": services, "tenants": members,
		"limits": map[string]any{"maxBodyBytes": configBodyBytes},
	})
}

func (s *Store) putJSON(key string, value map[string]any) {
	data, err := json.Marshal(value)
	if err != nil {
		// The maps above hold only strings, numbers and lists.
		panic(err)
	}
	s.Put(key, data)
}
