package configstore

import (
	"context"
	"encoding/binary"
	"encoding/hex"
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
	actions := c.state.Start(now)
	settings := c.service.settings
	noPeers := settings.Membership.Service == "" && len(settings.Peers) == 0
	if noPeers || c.service.peers == nil {
		// An empty membership list makes this process read the source itself.
		actions = append(actions, c.state.SetMembers(now, nil)...)
	}
	return actions
}

// candidate is content from the source or a peer. Validation sets snapshot or
// failure.
type candidate struct {
	version  spread.Version
	files    map[string][]byte
	snapshot *api.Snapshot
	failure  *config.Errors
}

// sourceRead is content read from the source.
type sourceRead struct{ candidate *candidate }

func (e sourceRead) apply(now time.Duration, c *control) []spread.Action {
	c.candidate = e.candidate
	c.recordSourceVersion(now, e.candidate.version)
	return c.state.Delivered(now, e.candidate.version)
}

// recordSourceVersion compares the version of the source with the active one. A lower
// one comes from a stale replica, or from a service that was restored from a backup.
func (c *control) recordSourceVersion(now time.Duration, v spread.Version) {
	active := c.state.Accepted()
	if !active.Above(v) {
		c.ignored = spread.Version{}
		c.confirmIfActive(now, v)
		return
	}
	if v != c.ignored {
		c.ignored = v
		c.service.log.Change("older configuration ignored", api.Fields{
			"ignored": v.Revision, "ignored_digest": digestText(v), "revision": active.Revision, "digest": digestText(active),
		})
	}
}

// digestText returns the digest of a version as log lines show it.
func digestText(v spread.Version) string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, v.Digest))
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
	c.confirmIfActive(now, e.version)
	return c.state.PeerVersionReceived(now, e.peer, e.version)
}

// confirmIfActive records that the platform or a peer reported a version, if it
// is the active one.
func (c *control) confirmIfActive(now time.Duration, v spread.Version) {
	if v == c.state.Accepted() {
		c.confirmedAt = now
	}
}

type exchangeFailed struct{ peer string }

func (e exchangeFailed) apply(now time.Duration, c *control) []spread.Action {
	return c.state.ExchangeFailed(now, e.peer)
}

// observedRevision is the configuration revision that the process on a VM sent with
// a request or response.
type observedRevision struct {
	vm       string
	revision uint64
}

func (e observedRevision) apply(now time.Duration, c *control) []spread.Action {
	return c.state.RevisionSeen(now, e.vm, e.revision)
}

// ObservePeerVersion handles the active version reported by a peer.
func (s *service) ObservePeerVersion(ctx context.Context, peer string, v api.ConfigVersion) {
	_ = s.events.Post(ctx, peerVersion{peer: peer, version: spread.Version{Revision: v.Revision, Digest: v.Digest}})
}

// ObserveRevision handles the configuration revision that the process on a VM sent
// with a request or response. It ignores revisions that are not newer than the
// active one.
func (s *service) ObserveRevision(vm string, revision uint64) {
	if vm == "" || revision <= s.active.Load().version.Revision {
		return
	}
	_ = s.observedRevisions.Post(s.ctx, observedRevision{vm: vm, revision: revision})
}
