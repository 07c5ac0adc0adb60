package peers

import (
	"context"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

// server implements the calls that peers make to this process.
type server struct{ service *service }

// DigestError reports a refused digest. Decision is the reason.
type DigestError struct {
	Node     string
	Decision api.DigestDecision
}

func (e *DigestError) Error() string {
	if e.Decision == api.DigestReplayed {
		return "digest of " + e.Node + " is a replay or comes from an incarnation that has ended"
	}
	return "digest of " + e.Node + " is not from another process of the pool"
}

// NoContentError reports a fetch of a newer revision than the active one of this
// process, or a fetch before this process has any configuration.
type NoContentError struct{ Revision uint64 }

func (*NoContentError) Error() string {
	return "this process has no configuration of the requested revision or a newer one"
}

func (s *service) countRefusal(d api.DigestDecision) {
	switch d {
	case api.DigestReplayed:
		s.counts.replayedDigests.Add(1)
	case api.DigestForeign:
		s.counts.foreignDigests.Add(1)
	}
}

// Exchange merges the digest of a peer and returns the digest of this process.
func (p *server) Exchange(ctx context.Context, m *wire.Digest) (*wire.Digest, error) {
	s := p.service
	d := wire.ToDigest(m)
	if d.Role != api.RoleRouter && d.Role != api.RoleAgent {
		s.countRefusal(api.DigestForeign)
		return nil, &DigestError{Node: d.Node, Decision: api.DigestForeign}
	}
	// The role in the digest must match the role in the certificate.
	if err := s.registrar.CheckRole(ctx, d.Role); err != nil {
		s.countRefusal(api.DigestForeign)
		return nil, err
	}
	if decision := s.observations.MergeDigest(ctx, d, false); decision != api.DigestAccepted {
		s.countRefusal(decision)
		return nil, &DigestError{Node: d.Node, Decision: decision}
	}
	s.mergeSuspicions(d.Suspicions)
	s.gossip.ObservePeerVersion(ctx, d.Node, d.Version)
	return wire.FromDigest(s.newDigest(ctx, 0)), nil
}

// Fetch returns the active configuration content of this process.
func (p *server) Fetch(ctx context.Context, m *wire.FetchRequest) (*wire.FetchResponse, error) {
	s := p.service
	if err := s.registrar.CheckRole(ctx, ""); err != nil {
		return nil, err
	}
	content, ok := s.gossip.Content(wire.ToFetch(m))
	if !ok {
		return nil, &NoContentError{Revision: m.GetRevision()}
	}
	return wire.FromContent(content), nil
}
