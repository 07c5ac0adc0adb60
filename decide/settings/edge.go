package settings

import (
	"time"

	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// Limits of settings in the edge table.
const (
	minRevocation  = time.Second
	maxRevocation  = time.Hour
	minHeartbeat   = 100 * time.Millisecond
	maxHeartbeat   = time.Minute
	minDrain       = 100 * time.Millisecond
	maxDrain       = time.Hour
	minRetryWindow = time.Second
	maxRetryWindow = time.Hour
	// maxZoneBytePrice is in ms for a megabyte. At this price a request of 1 KB costs
	// longer than any request may take, so that none leaves its zone by choice.
	maxZoneBytePrice = 1e9
)

// edge checks the keys of the edge and side roles, whose processes read the
// platform's store.
func (c *checker) edge() {
	e := c.settings.Edge
	if c.Required("edge", "store") {
		c.Address(e.Store, "edge", "store")
	}
	c.resources(e.MemoryMB, e.Descriptors, "edge")
	if e.Heartbeat != 0 {
		c.DurationBetween(time.Duration(e.Heartbeat), minHeartbeat, maxHeartbeat, "edge", "heartbeat")
	}
	if e.DrainTimeout != 0 {
		c.DurationBetween(time.Duration(e.DrainTimeout), minDrain, maxDrain, "edge", "drain_timeout")
	}
	if c.role == Side {
		if c.Required("edge", "worker") {
			c.Address(e.LocalUpstreamAddress, "edge", "worker")
		}
		return
	}
	if c.Required("edge", "ready") {
		c.ListenAddress(e.Ready, "edge", "ready")
	}
	c.Distinct(e.Seeds, "edge", "seeds")
	for _, seed := range e.Seeds {
		c.Address(seed, "edge", "seeds")
	}
	if c.Required("edge", "revocation") {
		c.DurationBetween(time.Duration(e.RevocationDeadline), minRevocation, maxRevocation, "edge", "revocation")
	}
	if c.Required("edge", "retry_window") {
		c.DurationBetween(time.Duration(e.RetryWindow), minRetryWindow, maxRetryWindow, "edge", "retry_window")
	}
	if e.RetryRatio < 0 || e.RetryRatio > 1 {
		c.Fail(tomltree.OutOfRange, "must be between 0 and 1", "edge", "retry_ratio")
	}
	if p := e.ZoneBytePrice; !(p >= 0 && p <= maxZoneBytePrice) {
		c.Fail(tomltree.OutOfRange, "must be between 0 and 1e9", "edge", "zone_byte_price")
	}
}
