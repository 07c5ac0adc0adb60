package configstore

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/decide/spread"
)

// event is something that happened outside the control loop.
type event interface {
	apply(now time.Duration, c *control) []spread.Action
}

// begun starts the search for the highest accepted version.
type begun struct{}

func (begun) apply(now time.Duration, c *control) []spread.Action {
	c.begun = true
	out := c.state.Start(now)
	settings := c.service.settings
	alone := settings.Membership.Service == "" && len(settings.Peers) == 0
	if alone || c.service.carrier == nil {
		// Nobody else can be asked, so this process reads the source itself.
		out = append(out, c.state.SetMembers(now, nil)...)
	}
	return out
}

// arrival is content from the source or a peer, and later the verdict on it.
type arrival struct {
	version  spread.Version
	files    map[string][]byte
	snapshot *api.Snapshot
	failure  *config.Errors
}

// delivered is content read from the source.
type delivered struct{ arrival *arrival }

func (e delivered) apply(now time.Duration, c *control) []spread.Action {
	c.arrived = e.arrival
	c.confirm(now, e.arrival.version)
	return c.state.Delivered(now, e.arrival.version)
}

// fetched is content from a peer under the version that the peer claims.
type fetched struct {
	peer    string
	claimed spread.Version
	arrival *arrival
}

func (e fetched) apply(now time.Duration, c *control) []spread.Action {
	c.arrived = e.arrival
	return c.state.Fetched(now, e.peer, e.claimed, e.arrival.version.Digest)
}

type fetchFailed struct{ peer string }

func (e fetchFailed) apply(now time.Duration, c *control) []spread.Action {
	return c.state.FetchFailed(now, e.peer)
}

// validated is the verdict on content.
type validated struct{ arrival *arrival }

func (e validated) apply(now time.Duration, c *control) []spread.Action {
	c.arrived = e.arrival
	return c.state.Validated(now, e.arrival.version, e.arrival.failure == nil)
}

type heard struct {
	peer    string
	version spread.Version
}

func (e heard) apply(now time.Duration, c *control) []spread.Action {
	c.confirm(now, e.version)
	return c.state.DigestReceived(now, e.peer, e.version)
}

func (c *control) confirm(now time.Duration, v spread.Version) {
	if v == c.state.Accepted() {
		c.confirmedAt = now
	}
}

type exchangeFailed struct{ peer string }

func (e exchangeFailed) apply(now time.Duration, c *control) []spread.Action {
	return c.state.ExchangeFailed(now, e.peer)
}

// sighted is a revision in a message between a router and an agent. The VM is
// named, or the upstream that runs on it.
type sighted struct {
	vm       string
	revision uint64
}

func (e sighted) apply(now time.Duration, c *control) []spread.Action {
	return c.state.RevisionSeen(now, e.vm, e.revision)
}

// ObservePeerVersion takes the version that a peer says is in force there.
func (s *service) ObservePeerVersion(ctx context.Context, peer string, v api.ConfigVersion) {
	_ = s.events.Post(ctx, heard{peer: peer, version: spread.Version{Revision: v.Revision, Digest: v.Content}})
}

// ObserveRevision takes the revision of a message. Only a newer one is news.
func (s *service) ObserveRevision(vm string, revision uint64) {
	if vm == "" || revision <= s.held.Load().version.Revision {
		return
	}
	_ = s.traffic.Post(s.ctx, sighted{vm: vm, revision: revision})
}
