package peers

import (
	"context"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

// server answers the calls of peers.
type server struct{ service *service }

// DigestError reports a digest that was refused.
type DigestError struct {
	Node    string
	Verdict api.DigestDecision
}

func (e *DigestError) Error() string {
	if e.Verdict == api.DigestReplayed {
		return "digest of " + e.Node + " was seen before or comes from an incarnation that has ended"
	}
	return "digest of " + e.Node + " names no other process of the pool"
}

// NoContentError reports content that is not in force here.
type NoContentError struct{ Revision uint64 }

func (*NoContentError) Error() string { return "the content is not in force here" }

func (s *service) count(v api.DigestDecision) {
	switch v {
	case api.DigestReplayed:
		s.counts.replayed.Add(1)
	case api.DigestForeign:
		s.counts.foreign.Add(1)
	}
}

// Exchange takes a peer's digest and returns the own one.
func (p *server) Exchange(ctx context.Context, m *wire.Digest) (*wire.Digest, error) {
	s := p.service
	d := wire.ToDigest(m)
	if d.Role != api.RoleRouter && d.Role != api.RoleAgent {
		s.count(api.DigestForeign)
		return nil, &DigestError{Node: d.Node, Verdict: api.DigestForeign}
	}
	// The role that the digest states must be the one in the certificate.
	if err := s.registrar.CheckRole(ctx, d.Role); err != nil {
		s.count(api.DigestForeign)
		return nil, err
	}
	if verdict := s.observations.MergeDigest(ctx, d, false); verdict != api.DigestAccepted {
		s.count(verdict)
		return nil, &DigestError{Node: d.Node, Verdict: verdict}
	}
	s.mergeSuspicions(d.Suspicions)
	s.spread.ObservePeerVersion(ctx, d.Node, d.Version)
	return wire.FromDigest(s.digest(ctx, 0)), nil
}

// Fetch returns the content in force here.
func (p *server) Fetch(ctx context.Context, m *wire.FetchRequest) (*wire.FetchResponse, error) {
	s := p.service
	if err := s.registrar.CheckRole(ctx, ""); err != nil {
		return nil, err
	}
	content, ok := s.spread.Content(wire.ToFetch(m))
	if !ok {
		return nil, &NoContentError{Revision: m.GetRevision()}
	}
	return wire.FromContent(content), nil
}
