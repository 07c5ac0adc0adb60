package spread

// Action is an instruction from a State to its caller.
type Action interface{ action() }

// Watch starts or stops the watch on the platform's configuration service.
type Watch struct{ On bool }

// ReadSource reads the platform's configuration service once, outside a watch.
type ReadSource struct{}

// Exchange sends the digest of this process's active version to a peer. The caller
// reports the result with PeerVersionReceived or ExchangeFailed.
type Exchange struct{ Peer string }

// Fetch requests content from a peer. Base is the active version of this process,
// so that the peer can send a delta. The caller reports the result with Fetched or
// FetchFailed.
type Fetch struct {
	Peer string
	Want Version
	Base Version
}

// Validate requests the validation of received content. The caller reports the
// result with Validated. It must store content under its revision and its computed
// digest, so that a corrupted transfer cannot replace the content under validation.
type Validate struct{ Version Version }

// Adopt makes validated content active. The caller can delete the content of lower
// versions, except for the previous version, which is the base of deltas.
type Adopt struct{ Version Version }

// Reject reports invalid content. The active version stays.
type Reject struct{ Version Version }

// Readiness reports that the process became ready for work or stopped being
// ready.
type Readiness struct{ Ready bool }

func (Watch) action()      {}
func (ReadSource) action() {}
func (Exchange) action()   {}
func (Fetch) action()      {}
func (Validate) action()   {}
func (Adopt) action()      {}
func (Reject) action()     {}
func (Readiness) action()  {}

// Counters are totals since the start of the process.
type Counters struct {
	Adopted  uint64
	Rejected uint64
	// Stale counts versions read from the configuration service that are below the
	// active one.
	Stale uint64
	// Conflicts counts versions with the active revision but different content.
	Conflicts uint64
	// Mismatches counts fetched content that does not match its digest.
	Mismatches    uint64
	FetchFailures uint64
	// Pauses counts detected suspensions of the process.
	Pauses uint64
	// Exchanges counts digests sent, not counting replies.
	Exchanges uint64
}
