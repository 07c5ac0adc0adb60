package balance

import (
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
	"github.com/mulberryfork/mulberryfork/decide/zoneshare"
)

// zoneLogInterval is the least time between two log lines on the share of one service and
// zone.
const zoneLogInterval = 10 * time.Second

// publishedShare is an entry of the zone_shares report.
type publishedShare struct {
	Service string  `json:"service"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	Share   float64 `json:"share"`
	Reason  string  `json:"reason"`
}

// zoneTraffic counts the traffic between zones and publishes the shares.
type zoneTraffic struct {
	zone    string
	log     api.Logger
	counter func(name, label string) api.Counter
	// published is the current report.
	published atomic.Pointer[[]publishedShare]

	// The control loop owns the fields below.
	logged   map[servicePair]loggedShare
	requests map[requestLabel]api.Counter
}

// requestLabel is the label of zone_requests without the own zone.
type requestLabel struct {
	to     string
	reason zoneshare.Reason
}

// servicePair is a service and the zone that work goes to.
type servicePair struct{ service, to string }

type loggedShare struct {
	leaving bool
	at      time.Duration
}

func newZoneTraffic(zone string, log api.Logger, m api.Metrics, p api.Publisher) *zoneTraffic {
	z := &zoneTraffic{
		zone: zone, log: log, counter: m.Counter,
		logged: make(map[servicePair]loggedShare), requests: make(map[requestLabel]api.Counter),
	}
	z.published.Store(&[]publishedShare{})
	p.Publish("zone_shares", func() any { return *z.published.Load() })
	return z
}

// recordChoice counts an attempt that goes to another zone.
func (z *zoneTraffic) recordChoice(state *balance.State, upstream string) {
	service, to := state.ZoneOf(upstream)
	if to == "" || to == z.zone {
		return
	}
	label := requestLabel{to, state.ZoneShare(service, to).Reason}
	if z.requests[label] == nil {
		z.requests[label] = z.counter("zone_requests", z.zone+">"+to+" "+string(label.reason))
	}
	z.requests[label].Add(1)
}

// recordBytes counts the bytes of an attempt at an upstream of another zone.
func (z *zoneTraffic) recordBytes(state *balance.State, r api.RouteResult) {
	_, to := state.ZoneOf(r.Upstream)
	if to == "" || to == z.zone {
		return
	}
	z.counter("zone_bytes", z.zone+">"+to).Add(r.SentBytes)
	z.counter("zone_bytes", to+">"+z.zone).Add(r.ReceivedBytes)
}

// publish publishes the shares, and logs those that begin or end.
func (z *zoneTraffic) publish(now time.Duration, shares []balance.ZoneShare) {
	list := make([]publishedShare, 0, len(shares))
	logged := make(map[servicePair]loggedShare, len(shares))
	for _, share := range shares {
		list = append(list, publishedShare{share.Service, z.zone, share.Zone, share.Fraction, string(share.Reason)})
		pair := servicePair{share.Service, share.Zone}
		last, known := z.logged[pair]
		leaving := share.Fraction > 0
		if !known || leaving != last.leaving && now-last.at >= zoneLogInterval {
			last = loggedShare{leaving, now}
			z.log.Change("share of another zone", api.Fields{
				"service": share.Service, "to": share.Zone, "share": share.Fraction, "reason": share.Reason,
			})
		}
		logged[pair] = last
	}
	z.logged = logged
	z.published.Store(&list)
}
