package api

import "time"

// RequestKind says how often a request of a route may run.
type RequestKind string

// Kinds of request. A stream may run again only where its route is resumable.
const (
	KindIdempotent    RequestKind = "idempotent"
	KindNonIdempotent RequestKind = "non_idempotent"
	KindStream        RequestKind = "stream"
)

// Split sends a part of a route's requests to a service.
type Split struct {
	Service string
	Weight  float64
}

// Route maps a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// MaxSends bounds the upstreams that one request is sent to.
	MaxSends int
	Splits   []Split
	// Anonymous routes take requests without an API key.
	Anonymous bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// ServiceProfile is what operators say of the upstreams of a service.
type ServiceProfile struct {
	Name string
	// ColdPerSecond is the rate that a cold upstream bears, 0 if any.
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *EngineProfile
}

// EngineProfile describes the model engine of a service.
type EngineProfile struct {
	// Layers are those whose experts are placed apart.
	Layers  int
	Experts int
	// SlotsPerRank bounds the experts of one layer on a rank, StagedPerRank
	// those that a rank can copy in beside them.
	SlotsPerRank  int
	StagedPerRank int
	// CopyTime is what a rank needs to copy in one expert.
	CopyTime time.Duration
}

// RouteTable is one version of the operator's configuration.
type RouteTable struct {
	Version  uint64
	Routes   []Route
	Services map[string]ServiceProfile
	// Keys maps an API key to its member. Without members no key is needed.
	Keys    map[string]string
	Members int
	// BodyBytes bounds the body of a request.
	BodyBytes int64
}

// Instance is one incarnation of an upstream, as it registered itself.
type Instance struct {
	ID      string
	Service string
	// Address is an IP and port.
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// Born tells two starts under one ID apart.
	Born int64
	// ColdUntil is the elapsed time at which it counts as warm.
	ColdUntil time.Duration
}

// DiscoveryItem is one entry of the platform's store that was read. One of
// Table, Instance and Zone is set, or the entry is Deleted or malformed.
type DiscoveryItem struct {
	Key      string
	Revision uint64
	Deleted  bool
	Table    *RouteTable
	Instance *Instance
	// Zone is an availability zone that is taken out of service.
	Zone string
	// Malformed says why the entry can't be used.
	Malformed error
}

// DiscoveryUpdate is news from the platform's store.
type DiscoveryUpdate struct {
	// Full updates list every entry; what they lack is gone. Those whose keys
	// begin with Unread were not looked at and stay as they are.
	Full   bool
	Unread string
	Items  []DiscoveryItem
	// AsOf is an elapsed time at which the store held nothing newer.
	AsOf time.Duration
	// Lost is why the store was not reached; the rest is empty then.
	Lost error
}

// View is what a process knows of routes, members and upstreams. It is never
// changed after publication.
type View struct {
	Table     *RouteTable
	Instances map[string]Instance
	// ZonesOut are the availability zones that take no new work.
	ZonesOut map[string]bool
	// Changed counts the changes since the start of the process.
	Changed uint64
}

// Discovery owns what the process knows of routes, members and upstreams.
type Discovery interface {
	// View returns the view in force, never nil.
	View() *View
	// AsOf is the elapsed time at which the view was known to be current.
	AsOf() time.Duration
	// Subscribe adds a function that runs on the control loop after each
	// change. It must be called while services are provisioned.
	Subscribe(func(now time.Duration, v *View))
	// Learn takes news from the platform's store. Calls must come from one
	// goroutine.
	Learn(u DiscoveryUpdate)
	// Misplaced says that an address no longer belongs to an upstream.
	Misplaced(upstream string)
}

// UpstreamLoad is what an upstream says of its load in an answer.
type UpstreamLoad struct {
	Upstream string
	Running  int
	Waiting  int
	Slots    int
}

// LoadObserver takes the loads that answers carry.
type LoadObserver interface {
	ObserveLoad(l UpstreamLoad)
}
