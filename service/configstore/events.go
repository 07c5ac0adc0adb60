package configstore

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/decide/spread"
)

// event is an input to the control loop from another goroutine. Its apply method
// returns the actions to run.
type event interface {
	apply(now time.Duration, c *control) []spread.Action
}

// started begins the search for the highest accepted version among peers.
type started struct{}

func (started) apply(now time.Duration, c *control) []spread.Action {
	c.started = true
	out := c.state.Start(now)
	settings := c.service.settings
	noPeers := settings.Membership.Service == "" && len(settings.Peers) == 0
	if noPeers || c.service.peers == nil {
		// Without peers, this process reads the source itself.
		out = append(out, c.state.SetMembers(now, nil)...)
	}
	return out
}

// candidate is content from the source or a peer. Validation sets snapshot or
// failure.
type candidate struct {
	version  spread.Version
	files    map[string][]byte
	snapshot *api.Snapshot
	failure  *config.Errors
}

// delivered is content from the source.
type delivered struct{ candidate *candidate }

func (e delivered) apply(now time.Duration, c *control) []spread.Action {
	c.candidate = e.candidate
	c.recordConfirmation(now, e.candidate.version)
	return c.state.Delivered(now, e.candidate.version)
}

// fetched is content from a peer and the version that the peer claims for it.
type fetched struct {
	peer      string
	claimed   spread.Version
	candidate *candidate
}

func (e fetched) apply(now time.Duration, c *control) []spread.Action {
	c.candidate = e.candidate
	return c.state.Fetched(now, e.peer, e.claimed, e.candidate.version.Digest)
}

type fetchFailed struct{ peer string }

func (e fetchFailed) apply(now time.Duration, c *control) []spread.Action {
	return c.state.FetchFailed(now, e.peer)
}

// validated is the result of a validation.
type validated struct{ candidate *candidate }

func (e validated) apply(now time.Duration, c *control) []spread.Action {
	c.candidate = e.candidate
	return c.state.Validated(now, e.candidate.version, e.candidate.failure == nil)
}

type peerVersion struct {
	peer    string
	version spread.Version
}

func (e peerVersion) apply(now time.Duration, c *control) []spread.Action {
	c.recordConfirmation(now, e.version)
	return c.state.DigestReceived(now, e.peer, e.version)
}

func (c *control) recordConfirmation(now time.Duration, v spread.Version) {
	if v == c.state.Accepted() {
		c.confirmedAt = now
	}
}

type exchangeFailed struct{ peer string }

func (e exchangeFailed) apply(now time.Duration, c *control) []spread.Action {
	return c.state.ExchangeFailed(now, e.peer)
}

// trafficRevision is a configuration revision in a message from the process on a VM.
type trafficRevision struct {
	vm       string
	revision uint64
}

func (e trafficRevision) apply(now time.Duration, c *control) []spread.Action {
	return c.state.RevisionSeen(now, e.vm, e.revision)
}

// ObservePeerVersion handles the version that a peer reports as active there.
func (s *service) ObservePeerVersion(ctx context.Context, peer string, v api.ConfigVersion) {
	_ = s.events.Post(ctx, peerVersion{peer: peer, version: spread.Version{Revision: v.Revision, Digest: v.Content}})
}

// ObserveRevision handles the revision in a message from the process on a VM. It
// ignores revisions that are not newer than the active one.
func (s *service) ObserveRevision(vm string, revision uint64) {
	if vm == "" || revision <= s.active.Load().version.Revision {
		return
	}
	_ = s.traffic.Post(s.ctx, trafficRevision{vm: vm, revision: revision})
}
