package spread

// Action is something that a service carries out for a State.
type Action interface{ action() }

// Watch starts or ends the watch on the platform's service.
type Watch struct{ On bool }

// ReadSource asks the platform's service once, outside a watch.
type ReadSource struct{}

// Exchange sends the own digest to a peer. The reply comes back as Heard, its
// absence as ExchangeFailed.
type Exchange struct{ Peer string }

// Fetch asks a peer for content. Base is the version in force here, so that
// the peer can send a delta. The result comes back as Fetched or FetchFailed.
type Fetch struct {
	Peer string
	Want Version
	Base Version
}

// Validate asks for the verdict on content that has arrived. It comes back
// as Validated. The service files content under its revision and its computed
// digest, so that a corrupted transfer cannot replace what is being validated.
type Validate struct{ Version Version }

// Adopt puts validated content in force. Content of lower versions can be
// dropped, but for the one before, which serves as base of deltas.
type Adopt struct{ Version Version }

// Refuse reports content that does not validate. What was in force stays.
type Refuse struct{ Version Version }

// Readiness reports a change of whether the process may take work.
type Readiness struct{ Ready bool }

func (Watch) action()      {}
func (ReadSource) action() {}
func (Exchange) action()   {}
func (Fetch) action()      {}
func (Validate) action()   {}
func (Adopt) action()      {}
func (Refuse) action()     {}
func (Readiness) action()  {}

// Counters are totals since the start of the process.
type Counters struct {
	Adopted  uint64
	Rejected uint64
	// Stale counts deliveries of the service below the version in force.
	Stale uint64
	// Conflicts counts contents that share a revision with another content.
	Conflicts uint64
	// Mismatches counts fetched content that differs from its digest.
	Mismatches    uint64
	FetchFailures uint64
	// Pauses counts detected suspensions of the process.
	Pauses uint64
	// Exchanges counts digests sent on the own initiative.
	Exchanges uint64
}
