package api

import (
	"context"
	"time"
)

// ConfigVersion names one content of the configuration. Content is the digest
// of its files.
type ConfigVersion struct {
	Revision uint64
	Content  uint64
}

// ConfigContent is content as a peer sends it.
type ConfigContent struct {
	Version ConfigVersion
	// Delta is true if Files and Removed apply to the base that was named in
	// the request.
	Delta   bool
	Files   map[string][]byte
	Removed []string
}

// Sighting is what one process saw of an upstream, or of a VM on the
// membership list.
type Sighting struct {
	Upstream    string
	VM          string
	Incarnation Incarnation
	Up          bool
	// Age is the time since the observation, as the sender knows it.
	Age     time.Duration
	Leaving bool
}

// PeerDigest is what processes tell each other of themselves and of others.
type PeerDigest struct {
	Node        string
	Role        string
	Zone        string
	Incarnation Incarnation
	// Seq counts the digests that an incarnation sent on its own initiative.
	// It is zero in a reply.
	Seq       uint64
	Version   ConfigVersion
	Sightings []Sighting
	// Suspicions are a part of what the process knows of suspects.
	Suspicions []Suspicion
}

// DigestVerdict says what a process does with a digest.
type DigestVerdict int

const (
	// DigestTaken is for a digest that was taken.
	DigestTaken DigestVerdict = iota
	// DigestReplayed is for one that was seen before or that comes from an
	// incarnation which has ended.
	DigestReplayed
	// DigestForeign is for one that names no process, or this one.
	DigestForeign
)

// PeerCalls reaches other processes by the name of their VM.
type PeerCalls interface {
	// Exchange sends the own digest and returns the version in force there.
	Exchange(ctx context.Context, peer string) (ConfigVersion, error)
	// Fetch asks for content; base is the version in force here.
	Fetch(ctx context.Context, peer string, want, base ConfigVersion) (ConfigContent, error)
}

// ConfigSpread is the part of the configuration store that exchanges with
// other processes.
type ConfigSpread interface {
	// Carry names the service that reaches peers. It must be called while
	// services are provisioned.
	Carry(PeerCalls)
	// Members takes the membership list, on the control loop.
	Members(now time.Duration, members []VM)
	// Heard takes the version that a peer says is in force there.
	Heard(ctx context.Context, peer string, v ConfigVersion)
	// Version returns the version in force, zero before the first.
	Version() ConfigVersion
	// Content returns the content in force if it is at least the one wanted,
	// as a delta if the base is still known here.
	Content(want, base ConfigVersion) (ConfigContent, bool)
}

// TrafficRevisions takes the revisions that messages between routers and
// agents carry.
type TrafficRevisions interface {
	// SeenOnTraffic takes the revision in a message of the process on a VM.
	SeenOnTraffic(vm string, revision uint64)
}

// OrderVerdict is what an agent does with an order because of its revision.
type OrderVerdict int

const (
	// OrderRun lets the order proceed.
	OrderRun OrderVerdict = iota
	// OrderRefuse returns it as not run.
	OrderRefuse
	// OrderHold keeps it unstarted until the check gives another verdict.
	OrderHold
)

// OrderCheck decides on orders by their revision. The methods must be called
// on the control loop.
type OrderCheck interface {
	// CheckOrder decides on an order that arrived at the time received.
	CheckOrder(now, received time.Duration, revision uint64, idempotent bool) OrderVerdict
	// ConfirmedAt is when the platform or a peer last stated the version that
	// is in force here. It must be called on the control loop.
	ConfirmedAt() time.Duration
	// MayStart is false while the process does not know whether its
	// configuration is current: after its start and after a pause.
	MayStart(now time.Duration) bool
}

// ResendVerdict is what a router does with a request that an agent refused
// because of its revision.
type ResendVerdict int

const (
	// ResendNow routes the request again at once.
	ResendNow ResendVerdict = iota
	// ResendHold waits for a newer revision.
	ResendHold
	// ResendElsewhere routes it again without the upstream that refused.
	ResendElsewhere
	// ResendGiveUp ends the request as not run.
	ResendGiveUp
)

// StaleRefusal is a refusal because of the revision.
type StaleRefusal struct {
	Upstream string
	// Refused is the time of the refusal.
	Refused time.Duration
	// Sent and Theirs are the revisions of the order and of the agent.
	Sent   uint64
	Theirs uint64
}

// ResendCheck decides what becomes of a request after such a refusal.
type ResendCheck interface {
	CheckResend(ctx context.Context, r StaleRefusal) ResendVerdict
}

// ConfigConfirmed tells whether the configuration in force is known to be
// current.
type ConfigConfirmed interface {
	// Confirmed returns nil, or why the process must not take work.
	Confirmed() error
	// WaitConfirmed waits until it is, and returns false if ctx ends first.
	WaitConfirmed(ctx context.Context) bool
}

// ConfigRefused tells of content that did not validate.
type ConfigRefused interface {
	// Refused returns why the newest revision seen was refused, nil if it was
	// not. The last good one stays in force.
	Refused() error
}

// ConfigReader reads the source once, outside a watch.
type ConfigReader interface {
	Read(ctx context.Context) (RawConfig, error)
}

// Observations combines the observations of several processes.
type Observations interface {
	// Learn takes a digest. A direct digest answers a call of this process.
	Learn(ctx context.Context, d PeerDigest, direct bool) DigestVerdict
	// Sightings returns what this process tells others.
	Sightings() []Sighting
	// Notify names the function that sends a digest to a VM at once, because
	// of news that must not wait. It must be called while services are
	// provisioned and runs on the control loop.
	Notify(func(vms []string))
}
