package api

import (
	"math"
	"time"
)

// RequestKind determines whether the requests of a route may be retried.
type RequestKind string

// Kinds of request. A stream may be retried only if its route is resumable.
const (
	RequestIdempotent    RequestKind = "idempotent"
	RequestNonIdempotent RequestKind = "non_idempotent"
	RequestStream        RequestKind = "stream"
)

// Split assigns a service a share of the requests of a route, in proportion to
// Weight.
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
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// MaxAttempts bounds the attempts of one request, each at another upstream.
	MaxAttempts int
	Splits      []Split
	// Priority is that of requests whose member has none, as in Request.
	Priority int32
	// FirstEventTarget is the time from the arrival of a request within which the first
	// event of its response, or a response that is no stream, is in time. 0 if none is given.
	FirstEventTarget time.Duration
	// Anonymous allows requests without an API key.
	Anonymous bool
	// MaxPause is the longest pause between the events of a stream that is still in
	// time, 0 if none is given.
	MaxPause time.Duration
	// Resumable allows a stream to be resumed at another upstream.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RequestIdempotent || r.Kind == RequestStream && r.Resumable
}

// ServiceProfile is the operator's description of the upstreams of a service.
type ServiceProfile struct {
	Name string
	// ColdRate limits the request rate of a cold upstream in requests per
	// second; 0 means no limit.
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *EngineProfile
}

// EngineProfile describes the model engine of a service.
type EngineProfile struct {
	// Layers is the number of layers, each with its own placement of experts.
	Layers  int
	Experts int
	// SlotsPerRank is the number of experts of one layer that a rank can hold.
	SlotsPerRank int
	// StagedPerRank is the number of experts that a rank can stage, beyond its
	// slots, before a change of the expert map.
	StagedPerRank int
	// CopyTime is the time that a rank needs to copy one expert.
	CopyTime time.Duration
	// StepTime is the time of a step of a pass, and RequestTime that which each running
	// request adds to it. A pass has StepsPerPass steps.
	StepTime, RequestTime time.Duration
	StepsPerPass          int
	// ExpertShare is the part of the work for tokens that the experts do. The load of the
	// fullest rank determines its time.
	ExpertShare float64
	// ReadTime is the time of reading the prompt of a usual request, and AnswerTokens the
	// number of steps in which its answer is written. Both are 0 if they are unknown.
	ReadTime     time.Duration
	AnswerTokens int
	// FormTime is the time that a group takes to form again once all ranks are back.
	FormTime time.Duration
	// ReportLag is how old the report of a rank may be when it is read from another VM.
	ReportLag time.Duration
}

// UnknownReportLag is the ReportLag of a rank whose profile is not known or does not state
// it. Reports of engines are some hundred milliseconds old.
const UnknownReportLag = time.Second

// memberPriorityWeight exceeds the number of priorities of routes, so that the priority of a
// member precedes that of the route, which decides between members of equal priority.
const memberPriorityWeight = 16

// PriorityOf returns the priority of a member's request to a route.
func (t *RouteTable) PriorityOf(r *Route, member string) int32 {
	return t.MemberPriorities[member]*memberPriorityWeight + r.Priority
}

// SplitPriority returns the priorities of the member and the route of which PriorityOf
// consists.
func SplitPriority(priority int32) (member, route int32) {
	member = int32(math.Round(float64(priority) / memberPriorityWeight))
	return member, priority - member*memberPriorityWeight
}

// RouteTable is one version of the operator's configuration.
type RouteTable struct {
	Version  uint64
	Routes   []Route
	Services map[string]ServiceProfile
	// Keys maps an API key to its member.
	Keys map[string]string
	// MemberPriorities maps a member to the priority of its requests. A member without an
	// entry has priority 0.
	MemberPriorities map[string]int32
	// MemberCount is the number of members. If it is 0, requests need no API key.
	MemberCount int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the header of a request, 0 if the configuration has no bound.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time in which the header of a request arrives, IdleTimeout the
	// time for which a connection without a request is kept. 0 stands for the default of the
	// process.
	HeaderTimeout, IdleTimeout time.Duration
	// ZoneDelays holds the one-way delays between zones, as far as they are published.
	ZoneDelays map[ZonePair]time.Duration
}

// ShortestPauses returns the shortest of the pauses that callers of the routes to each
// service accept. The table may be nil.
func (t *RouteTable) ShortestPauses() map[string]time.Duration {
	pauses := make(map[string]time.Duration)
	if t == nil {
		return pauses
	}
	for _, r := range t.Routes {
		for _, split := range r.Splits {
			if p := pauses[split.Service]; r.MaxPause > 0 && (p == 0 || r.MaxPause < p) {
				pauses[split.Service] = r.MaxPause
			}
		}
	}
	return pauses
}

// ZonePair is a direction between two availability zones.
type ZonePair struct {
	From, To string
}

// Instance is one incarnation of an upstream, as it registered itself.
type Instance struct {
	ID      string
	Service string
	// Address is the IP address and port.
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// StartedAtMs is the Unix time of its start in milliseconds. It distinguishes
	// incarnations with the same ID.
	StartedAtMs int64
	// ColdUntil is the elapsed time at which the cold start ends.
	ColdUntil time.Duration
}

// DiscoveryItem is one entry read from the platform's store. Exactly one of the
// fields after Revision is set.
type DiscoveryItem struct {
	Key      string
	Revision uint64
	Deleted  bool
	Table    *RouteTable
	Instance *Instance
	// OutOfServiceZone is an availability zone that is out of service.
	OutOfServiceZone string
	// Malformed is the decoding error of an unusable entry.
	Malformed error
}

// DiscoveryUpdate is the result of one read of the platform's store.
type DiscoveryUpdate struct {
	// Full means that Items lists every entry: unlisted entries were deleted,
	// except those that were not read.
	Full bool
	// SkippedPrefix is the prefix of keys that were not read, empty if all were.
	// Entries with this prefix stay as they are.
	SkippedPrefix string
	Items         []DiscoveryItem
	// Era is the era of the store in which the read began, 0 if the store states none.
	// Revisions of different eras can't be compared.
	Era uint64
	// AsOf is an elapsed time at which the update was current.
	AsOf time.Duration
	// FirstAnswerAt is the elapsed time at which the first answer of the read came, 0 for
	// the time at which the update is applied.
	FirstAnswerAt time.Duration
	// Revision is that of the store at the last answer of the read, 0 if only that of the items
	// is known.
	Revision uint64
	// Err is the error of a failed read. The other fields are empty then.
	Err error
}

// View is the routes, members and upstreams known to a process. It must not be
// modified.
type View struct {
	Table     *RouteTable
	Instances map[string]Instance
	// ZonesOut holds the availability zones that take no new requests.
	ZonesOut map[string]bool
	// ChangeCount counts the changes of the view since the process started.
	ChangeCount uint64
	// TableSource is the read that Table comes from.
	TableSource TableSource
}

// TableSource identifies the read of the platform's store that a route table comes from.
type TableSource struct {
	// Era and Revision are those of the entry. Era is 0 if the store states none.
	Era, Revision uint64
	// Full is set if the read listed all entries, and not set if it returned changes.
	Full bool
	// ReadAt is the elapsed time at which the read was applied.
	ReadAt time.Duration
}

// Discovery maintains the routes, members and upstreams known to the process.
type Discovery interface {
	// View returns the current view. It is never nil.
	View() *View
	// AsOf returns the last elapsed time at which the view was known to be current.
	AsOf() time.Duration
	// Subscribe adds a function that runs on the control loop after each
	// change. It must be called while services are provisioned.
	Subscribe(func(now time.Duration, v *View))
	// Apply applies an update. Calls must come from one goroutine.
	Apply(u DiscoveryUpdate)
	// ReportAddressReuse reports that another upstream now has the address of this one.
	ReportAddressReuse(upstream string)
}

// UpstreamLoad is the load that an upstream reports in a response.
type UpstreamLoad struct {
	Upstream string
	Running  int
	Waiting  int
	Slots    int
}

// UpstreamStatement is what an upstream says of itself in a response.
type UpstreamStatement struct {
	Upstream string
	// Incarnation is that of the RouteChoice.
	Incarnation Incarnation
	// Leaving is true if the upstream is about to end. It must get no new requests.
	Leaving bool
	// HoldOff is the time for which the upstream wants no requests from this process, nil
	// if it says nothing about it.
	HoldOff *time.Duration
}

// UpstreamObserver receives what upstreams report in their responses.
type UpstreamObserver interface {
	ObserveLoad(l UpstreamLoad)
	ObserveStatement(s UpstreamStatement)
}
