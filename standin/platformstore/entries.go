package platformstore

import (
	"encoding/json"
	"time"
)

// Upstream is the entry in which an upstream registers itself.
type Upstream struct {
	Service, Address, Zone string
	Slots                  int
	Draining               bool
	// ColdStart is the remaining duration of its cold start.
	ColdStart time.Duration
	// StartedAtMs is its start as Unix time in milliseconds.
	StartedAtMs int64
	// Heartbeats is the number of times that it has written the entry before.
	Heartbeats int
}

// Route is a route of a Config.
type Route struct {
	Prefix string
	// Kind is idempotent, non_idempotent or streaming.
	Kind        string
	Service     string
	Timeout     time.Duration
	MaxAttempts int
	Resumable   bool
}

// Config is the configuration that operators write.
type Config struct {
	Version uint64
	Host    string
	Routes  []Route
	// ColdRate is the request rate that an upstream in cold start sustains,
	// by service.
	ColdRate map[string]float64
	// Keys holds the API keys of each member.
	Keys map[string][]string
	// HeaderTimeout and IdleTimeout are time limits of callers' connections, which are not
	// written if they are 0.
	HeaderTimeout, IdleTimeout time.Duration
}

const (
	maxBodyBytes    = 1 << 20
	connectionLimit = 100
)

// SetUpstream writes the entry of an upstream.
func (s *Store) SetUpstream(id string, u Upstream) {
	state := "available"
	if u.Draining {
		state = "draining"
	}
	s.putJSON("servers/"+id, map[string]any{
		"service": u.Service, "address": u.Address, "availabilityZone": u.Zone, "version": "v1",
		"capacitySlots": u.Slots, "lifecycleState": state, "coldRemainingMs": u.ColdStart.Milliseconds(),
		"sequenceNumber": 1 + u.Heartbeats, "born": u.StartedAtMs,
	})
}

// DeleteUpstream removes the entry of an upstream.
func (s *Store) DeleteUpstream(id string) { s.Delete("servers/" + id) }

// SetZoneEvacuated marks a zone as evacuated, or clears the mark.
func (s *Store) SetZoneEvacuated(zone string, evacuated bool) {
	if evacuated {
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
			"timeoutMs": r.Timeout.Milliseconds(), "maxAttempts": r.MaxAttempts, "streamResumption": r.Resumable,
		})
	}
	for name, rate := range c.ColdRate {
		services = append(services, map[string]any{"name": name, "coldPerS": rate, "connectionLimit": connectionLimit})
	}
	for name, keys := range c.Keys {
		members = append(members, map[string]any{"name": name, "apiKeys": keys})
	}
	limits := map[string]any{"maxBodyBytes": maxBodyBytes}
	if c.HeaderTimeout > 0 {
		limits["headerTimeoutMs"] = c.HeaderTimeout.Milliseconds()
	}
	if c.IdleTimeout > 0 {
		limits["idleTimeoutMs"] = c.IdleTimeout.Milliseconds()
	}
	s.putJSON("op/config", map[string]any{
		"version": c.Version, "routes": routes, "services": services, "tenants": members,
		"limits": limits,
	})
}

func (s *Store) putJSON(key string, value map[string]any) {
	data, err := json.Marshal(value)
	if err != nil {
		// The values are strings, numbers, lists and maps, which always encode.
		panic(err)
	}
	s.Put(key, data)
}
