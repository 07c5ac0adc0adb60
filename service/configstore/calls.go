package configstore

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// readTimeout bounds a single read of the source. A watch is bounded by the source.
const readTimeout = 2 * time.Second

// setWatch starts or stops the watch on the source. A running watch is always
// stopped first.
func (c *control) setWatch(on bool) {
	if c.stopWatch != nil {
		c.stopWatch()
		c.stopWatch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(c.service.ctx)
	c.stopWatch = cancel
	c.spawn(func() {
		s := c.service
		s.source.Watch(ctx, func(raw api.RawConfig) { s.deliver(ctx, raw) }, func(err error) {
			_ = s.health.Post(ctx, err)
		})
	})
}

// deliver posts content from the source to the control loop, with its digest.
func (s *service) deliver(ctx context.Context, raw api.RawConfig) {
	_ = s.events.Post(ctx, sourceRead{newCandidate(raw.Revision, raw.Files)})
}

func newCandidate(revision uint64, files map[string][]byte) *candidate {
	v := spread.Version{Revision: revision, Digest: spread.Files(files).Digest()}
	return &candidate{version: v, files: files}
}

// readSource reads the source once, if it supports this, and posts the content and
// the health of the source to the control loop.
func (s *service) readSource() {
	reader, ok := s.source.(api.ConfigReader)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	raw, err := reader.Read(ctx)
	if s.ctx.Err() != nil {
		return
	}
	_ = s.health.Post(s.ctx, err)
	if err == nil {
		s.deliver(s.ctx, raw)
	}
}

// exchange exchanges digests with a peer and posts the peer's version or the
// failure to the control loop.
func (s *service) exchange(peer string) {
	ctx, cancel := context.WithTimeout(s.ctx, spread.CatchUpRoundTimeout)
	defer cancel()
	if s.peers == nil {
		_ = s.events.Post(s.ctx, exchangeFailed{peer})
		return
	}
	v, err := s.peers.Exchange(ctx, peer)
	if err != nil {
		_ = s.events.Post(s.ctx, exchangeFailed{peer})
		return
	}
	s.ObservePeerVersion(s.ctx, peer, v)
}

// fetch requests content from a peer and posts it or the failure to the control
// loop. If f.Base is set, the peer may send a delta against that version, which
// must be the active one.
func (s *service) fetch(f spread.Fetch, base *activeConfig) {
	ctx, cancel := context.WithTimeout(s.ctx, spread.FetchTimeout)
	defer cancel()
	if s.peers == nil || f.Base != base.version && !f.Base.IsZero() {
		_ = s.events.Post(s.ctx, fetchFailed{f.Peer})
		return
	}
	content, err := s.peers.Fetch(ctx, f.Peer, toAPIVersion(f.Want), toAPIVersion(f.Base))
	if err != nil || content.Delta && f.Base.IsZero() {
		_ = s.events.Post(s.ctx, fetchFailed{f.Peer})
		return
	}
	files := content.Files
	if content.Delta {
		files = spread.Delta{Changed: files, Removed: content.Removed}.Apply(base.snapshot.Files)
	}
	_ = s.events.Post(s.ctx, fetched{
		peer:      f.Peer,
		claimed:   spread.Version{Revision: content.Version.Revision, Digest: content.Version.Digest},
		candidate: newCandidate(content.Version.Revision, files),
	})
}

// validate merges and checks content and posts the result. It runs outside the
// control loop because it is slow for a large configuration.
func (s *service) validate(c *candidate) {
	checked := &candidate{version: c.version, files: c.files}
	result, failure := config.Merge(c.files)
	if failure != nil {
		checked.failure = failure
	} else {
		checked.snapshot = &api.Snapshot{
			Revision: c.version.Revision, Digest: c.version.Digest, Config: result.Config, Files: c.files,
		}
	}
	_ = s.events.Post(s.ctx, validated{checked})
}

// CheckResend decides whether and how to resend a request that an agent refused
// because of its revision. It returns ResendGiveUp if ctx ends first.
func (s *service) CheckResend(ctx context.Context, r api.StaleRefusal) api.ResendDecision {
	decision, err := kernel.Ask(ctx, s.resends, r)
	if err != nil {
		return api.ResendGiveUp
	}
	return decision
}

func toAPIVersion(v spread.Version) api.ConfigVersion {
	return api.ConfigVersion{Revision: v.Revision, Digest: v.Digest}
}

// Version returns the active version, the zero value if there is none.
func (s *service) Version() api.ConfigVersion { return toAPIVersion(s.active.Load().version) }

// Content returns the active content, as a delta if base is the previous version.
// It returns false if the active version is below want.
func (s *service) Content(want, base api.ConfigVersion) (api.ConfigContent, bool) {
	active := s.active.Load()
	wanted := spread.Version{Revision: want.Revision, Digest: want.Digest}
	if active.snapshot == nil || wanted.Above(active.version) {
		return api.ConfigContent{}, false
	}
	c := api.ConfigContent{Version: toAPIVersion(active.version), Files: active.snapshot.Files}
	if active.previousFiles != nil && base == toAPIVersion(active.previousVersion) {
		d := spread.Diff(active.previousFiles, active.snapshot.Files)
		c.Delta, c.Files, c.Removed = true, d.Changed, d.Removed
	}
	return c, true
}
