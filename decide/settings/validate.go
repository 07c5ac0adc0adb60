package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// Limits of values.
const (
	minHeaderBytes    = 1 << 10
	maxHeaderBytes    = 1 << 20
	minBodyBytes      = 1 << 10
	maxBodyBytes      = 1 << 30
	minReadTimeout    = 100 * time.Millisecond
	maxReadTimeout    = 10 * time.Minute
	minRequestTimeout = 100 * time.Millisecond
	maxRequestTimeout = 24 * time.Hour
	maxStreams        = 1_000_000
	maxMemoryMB       = 16 << 20
	maxDescriptors    = 1 << 30
	minDescriptors    = 256
	maxMinRate        = 1 << 20
	minStallTime      = 100 * time.Millisecond
	maxStallTime      = time.Minute
	minWriteTimeout   = time.Second
	maxWriteTimeout   = time.Hour
	minStopDeadline   = time.Second
	maxStopDeadline   = time.Hour
)

// checker checks the settings of a process in one role.
type checker struct {
	tomltree.Checker
	settings *api.Settings
	role     Role
}

func validate(s *api.Settings, tree *tomltree.Node, role Role) []*tomltree.Error {
	c := &checker{Checker: tomltree.Checker{Tree: tree}, settings: s, role: role}
	c.nonEmpty(s.Node, "node")
	c.nonEmpty(s.Zone, "zone")
	c.roleKeys()
	c.listen()
	if role == Edge || role == Side {
		c.edge()
	} else {
		c.platform()
		c.tls()
	}
	c.limits()
	c.OneOf(s.Log.Level, []string{"debug", "info", "warn", "error"}, "log", "level")
	c.OneOf(s.Log.Format, []string{"text", "json"}, "log", "format")
	return c.Errs
}

func (c *checker) nonEmpty(value string, path ...string) {
	if c.Required(path...) && value == "" {
		c.Fail(tomltree.OutOfRange, "must not be empty", path...)
	}
}

// resources checks the memory and the descriptors of the VM in a table. 0 stands for unknown.
func (c *checker) resources(memoryMB, descriptors float64, table string) {
	if memoryMB < 0 || memoryMB > maxMemoryMB {
		c.Fail(tomltree.OutOfRange, fmt.Sprintf("must be between 0 and %d", maxMemoryMB), table, "memory_mb")
	}
	if descriptors != 0 && (descriptors < minDescriptors || descriptors > maxDescriptors) {
		c.Fail(tomltree.OutOfRange, fmt.Sprintf("must be 0 or between %d and %d", minDescriptors, maxDescriptors), table, "descriptors")
	}
}

// roleKeys checks the keys that only routers or only agents have.
func (c *checker) roleKeys() {
	if c.role == Edge || c.role == Side {
		for _, key := range []string{"memory_mb", "descriptors"} {
			c.notApplicable("a process with a store", "limits", key)
		}
		return
	}
	agentKeys := [][]string{{"upstream"}, {"engine", "url"}, {"engine", "weight_store"}}
	if c.role == Router {
		c.notApplicable("a router", "edge")
		for _, path := range agentKeys {
			c.notApplicable("a router", path...)
		}
		return
	}
	c.notApplicable("an agent", "edge")
	c.notApplicable("an agent", "listen", "http")
	c.nonEmpty(c.settings.Upstream, "upstream")
	if c.Required("engine", "url") {
		c.url(c.settings.Engine.URL, "engine", "url")
	}
	if c.Tree.Get("engine", "weight_store") != nil {
		c.url(c.settings.Engine.WeightStore, "engine", "weight_store")
	}
}

func (c *checker) notApplicable(role string, path ...string) {
	if c.Tree.Get(path...) != nil {
		c.Fail(tomltree.NotApplicable, role+" has no such key", path...)
	}
}

func (c *checker) listen() {
	l := c.settings.Listen
	seen := map[string]string{}
	for _, address := range []struct{ key, value string }{{"http", l.HTTP}, {"link", l.Link}, {"admin", l.Admin}} {
		if address.key == "http" && (c.role == Agent || c.role == Side) {
			continue
		}
		c.ListenAddress(address.value, "listen", address.key)
		a, err := netip.ParseAddrPort(address.value)
		if err != nil || a.Port() == 0 {
			continue
		}
		if other, ok := seen[address.value]; ok {
			c.Fail(tomltree.DuplicateEntry, fmt.Sprintf("%q is already used by listen.%s", address.value, other), "listen", address.key)
		}
		seen[address.value] = address.key
	}
}

// platform checks the sources of the configuration and of the membership list, and
// the peers.
func (c *checker) platform() {
	service := c.Tree.Get("config", "service") != nil
	folder := c.Tree.Get("config", "folder") != nil
	switch {
	case service && folder:
		c.Fail(tomltree.NotApplicable, "config.service and config.folder cannot both be set", "config", "folder")
	case service:
		c.url(c.settings.Config.Service, "config", "service")
	case !folder:
		c.Fail(tomltree.Missing, "config.service or config.folder is required", "config")
	default:
		c.nonEmpty(c.settings.Config.Folder, "config", "folder")
	}
	if c.Tree.Get("membership", "service") != nil {
		c.url(c.settings.Membership.Service, "membership", "service")
	}
	c.Distinct(c.settings.Peers, "peers")
	for _, p := range c.settings.Peers {
		c.Address(p, "peers")
	}
}

// url checks an HTTP or HTTPS URL whose host is an IP literal with a port.
func (c *checker) url(value string, path ...string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.Fail(tomltree.BadURL, fmt.Sprintf("%q is not a URL such as \"http://10.0.0.1:8000\"", value), path...)
		return
	}
	c.Address(u.Host, path...)
}

func (c *checker) tls() {
	if c.settings.TLS.AllowPlaintext {
		for _, key := range []string{"cert", "key", "ca"} {
			if c.Tree.Get("tls", key) != nil {
				c.Fail(tomltree.NotApplicable, "the file is not used because tls.plain is set", "tls", key)
			}
		}
		return
	}
	c.nonEmpty(c.settings.TLS.Cert, "tls", "cert")
	c.nonEmpty(c.settings.TLS.Key, "tls", "key")
	c.nonEmpty(c.settings.TLS.CA, "tls", "ca")
}

func (c *checker) limits() {
	l := c.settings.Limits
	c.IntegerBetween(l.HeaderBytes, minHeaderBytes, maxHeaderBytes, "limits", "header_bytes")
	c.IntegerBetween(int(l.BodyBytes), minBodyBytes, maxBodyBytes, "limits", "body_bytes")
	c.DurationBetween(time.Duration(l.ReadTimeout), minReadTimeout, maxReadTimeout, "limits", "read_timeout")
	c.DurationBetween(time.Duration(l.RequestTimeout), minRequestTimeout, maxRequestTimeout, "limits", "request_timeout")
	c.IntegerBetween(l.Streams, 1, maxStreams, "limits", "streams")
	c.IntegerBetween(int(l.MinRate), 1, maxMinRate, "limits", "min_rate")
	c.DurationBetween(time.Duration(l.StallTime), minStallTime, maxStallTime, "limits", "stall_time")
	c.DurationBetween(time.Duration(l.WriteTimeout), minWriteTimeout, maxWriteTimeout, "limits", "write_timeout")
	c.resources(l.MemoryMB, l.Descriptors, "limits")
	c.DurationBetween(time.Duration(c.settings.StopDeadline), minStopDeadline, maxStopDeadline, "stop_deadline")
	c.DurationBetween(time.Duration(c.settings.DrainDelay), 0, maxStopDeadline, "drain_delay")
}
