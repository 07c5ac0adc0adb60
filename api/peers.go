package api

import (
	"context"
	"time"
)

// ConfigVersion identifies one revision of the configuration and its content.
type ConfigVersion struct {
	Revision uint64
	// Digest is the digest of the files.
	Digest uint64
}

// ConfigContent holds the configuration files, or a delta, as sent by a peer.
type ConfigContent struct {
	Version ConfigVersion
	// Delta is true if Files and Removed are changes of the base version in the
	// request, false if Files holds all files.
	Delta bool
	Files map[string][]byte
	// Removed lists the names of files deleted since the base version.
	Removed []string
}

// Observation is the state of an upstream or of a VM, as one process observed it. An
// observation of an upstream has no VM; one of a leaving VM has only VM, Leaving
// and Age.
type Observation struct {
	Upstream    string
	VM          string
	Incarnation Incarnation
	Up          bool
	// Age is the time since the observation, on the clock of the sender.
	Age time.Duration
	// Leaving is true if the VM is leaving.
	Leaving bool
}

// PeerDigest is the state that processes exchange: their own configuration
// version and their observations of others.
type PeerDigest struct {
	// Node is the name of the sender's VM.
	Node        string
	Role        string
	Zone        string
	Incarnation Incarnation
	// Seq numbers the digests sent as calls by one incarnation. It is zero in a
	// reply.
	Seq          uint64
	Version      ConfigVersion
	Observations []Observation
	// Suspicions are some of the suspicions known to the sender.
	Suspicions []Suspicion
}

// DigestDecision is the decision on a received digest.
type DigestDecision int

const (
	// DigestAccepted means that the digest was accepted.
	DigestAccepted DigestDecision = iota
	// DigestReplayed refuses a digest that was received before or comes from an
	// ended incarnation.
	DigestReplayed
	// DigestForeign refuses a digest whose sender is not a valid process: the name or
	// incarnation is missing, the name is that of this process, the role does not
	// match the certificate, or too many processes are known.
	DigestForeign
)

// PeerClient calls other processes, addressed by the name of their VM.
type PeerClient interface {
	// Exchange sends this process's digest and returns the peer's active
	// configuration version.
	Exchange(ctx context.Context, peer string) (ConfigVersion, error)
	// Fetch returns the wanted content or newer, possibly as a delta to base, which
	// is the version active in this process.
	Fetch(ctx context.Context, peer string, want, base ConfigVersion) (ConfigContent, error)
}

// ConfigGossip is the part of the configuration store that exchanges configuration
// versions with other processes.
type ConfigGossip interface {
	// SetPeerClient sets the client for calls to peers. It must be called while services
	// are provisioned.
	SetPeerClient(PeerClient)
	// UpdateMembers updates the membership list. It must be called on the control loop.
	UpdateMembers(now time.Duration, members []VM)
	// ObservePeerVersion records the active version reported by a peer.
	ObservePeerVersion(ctx context.Context, peer string, v ConfigVersion)
	// Version returns the active version, the zero value before the first.
	Version() ConfigVersion
	// Content returns the active content and true if it is the wanted version or
	// newer. It is a delta if the base version is still kept.
	Content(want, base ConfigVersion) (ConfigContent, bool)
}

// RevisionObserver observes the configuration revisions in messages between
// routers and agents.
type RevisionObserver interface {
	// ObserveRevision records the revision in a message from the process on a VM.
	ObserveRevision(vm string, revision uint64)
}

// OrderDecision is an agent's decision on an order by its configuration revision.
type OrderDecision int

const (
	// OrderAccept accepts the order.
	OrderAccept OrderDecision = iota
	// OrderRefuse refuses the order as not run.
	OrderRefuse
	// OrderHold delays the order until the check returns another decision.
	OrderHold
)

// OrderCheck decides on orders by their configuration revision. Its methods must
// be called on the control loop.
type OrderCheck interface {
	// CheckOrder decides on an order that arrived at the elapsed time received.
	CheckOrder(now, received time.Duration, revision uint64, idempotent bool) OrderDecision
	// ConfirmedAt returns the elapsed time at which the platform or a peer last
	// reported the version that is active in this process.
	ConfirmedAt() time.Duration
	// MayStart reports whether requests may start. It is false while the process
	// does not know whether its configuration is current: after its start and
	// after a pause.
	MayStart(now time.Duration) bool
}

// ResendDecision is a router's decision on a request that an agent refused
// because of its configuration revision.
type ResendDecision int

const (
	// ResendNow routes the request again immediately.
	ResendNow ResendDecision = iota
	// ResendHold waits for a newer revision first.
	ResendHold
	// ResendElsewhere routes the request again and excludes the upstream that
	// refused it.
	ResendElsewhere
	// ResendGiveUp fails the request as not run.
	ResendGiveUp
)

// StaleRefusal is the refusal of an order because of its configuration revision.
type StaleRefusal struct {
	Upstream string
	// RefusedAt is the elapsed time of the refusal.
	RefusedAt time.Duration
	// OrderRevision is the revision in the order.
	OrderRevision uint64
	// AgentRevision is the revision active at the agent.
	AgentRevision uint64
}

// ResendCheck decides how to proceed after a StaleRefusal.
type ResendCheck interface {
	// CheckResend returns ResendGiveUp if ctx ends first.
	CheckResend(ctx context.Context, r StaleRefusal) ResendDecision
}

// ConfigFreshness reports whether the active configuration is known to be current.
type ConfigFreshness interface {
	// Confirmed returns nil if the configuration is known to be current, or the
	// reason why the process must not accept requests.
	Confirmed() error
	// WaitConfirmed waits until Confirmed returns nil. It returns false if ctx ends
	// first.
	WaitConfirmed(ctx context.Context) bool
}

// ConfigRejection reports configuration that failed validation.
type ConfigRejection interface {
	// LastRejection returns the validation error of the newest revision received, nil
	// if it is valid. The last valid revision stays active.
	LastRejection() error
}

// ConfigReader reads the configuration source once, without a watch.
type ConfigReader interface {
	Read(ctx context.Context) (RawConfig, error)
}

// ObservationMerger merges the observations of several processes.
type ObservationMerger interface {
	// MergeDigest merges a digest. direct is true if the digest is the reply to a
	// call of this process.
	MergeDigest(ctx context.Context, d PeerDigest, direct bool) DigestDecision
	// Outgoing returns the observations to send to other processes.
	Outgoing() []Observation
	// SetUrgentSender sets the function that sends a digest immediately to the given
	// VMs after an urgent observation. It must be called while services are
	// provisioned. The function runs on the control loop.
	SetUrgentSender(func(vms []string))
}
