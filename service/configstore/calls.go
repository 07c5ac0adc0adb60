package configstore

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// readTimeout bounds one read of the source outside a watch.
const readTimeout = 2 * time.Second

// watch starts or ends the watch on the source.
func (c *control) watch(on bool) {
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

// deliver takes content from the source, filed under its computed digest.
func (s *service) deliver(ctx context.Context, raw api.RawConfig) {
	_ = s.events.Post(ctx, delivered{arrivalOf(raw.Revision, raw.Files)})
}

func arrivalOf(revision uint64, files map[string][]byte) *arrival {
	v := spread.Version{Revision: revision, Digest: spread.Files(files).Digest()}
	return &arrival{version: v, files: files}
}

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

func (s *service) exchange(peer string) {
	ctx, cancel := context.WithTimeout(s.ctx, spread.CatchUpRoundTimeout)
	defer cancel()
	if s.carrier == nil {
		_ = s.events.Post(s.ctx, exchangeFailed{peer})
		return
	}
	v, err := s.carrier.Exchange(ctx, peer)
	if err != nil {
		_ = s.events.Post(s.ctx, exchangeFailed{peer})
		return
	}
	s.ObservePeerVersion(s.ctx, peer, v)
}

// fetch asks a peer for content, as a delta to what is in force here if the
// decision names that as base.
func (s *service) fetch(f spread.Fetch, base *held) {
	ctx, cancel := context.WithTimeout(s.ctx, spread.FetchTimeout)
	defer cancel()
	if s.carrier == nil || f.Base != base.version && !f.Base.IsZero() {
		_ = s.events.Post(s.ctx, fetchFailed{f.Peer})
		return
	}
	content, err := s.carrier.Fetch(ctx, f.Peer, outside(f.Want), outside(f.Base))
	if err != nil || content.Delta && f.Base.IsZero() {
		_ = s.events.Post(s.ctx, fetchFailed{f.Peer})
		return
	}
	files := content.Files
	if content.Delta {
		files = spread.Delta{Changed: files, Removed: content.Removed}.Apply(base.snapshot.Files)
	}
	_ = s.events.Post(s.ctx, fetched{
		peer:    f.Peer,
		claimed: spread.Version{Revision: content.Version.Revision, Digest: content.Version.Content},
		arrival: arrivalOf(content.Version.Revision, files),
	})
}

// validate merges content, which takes long for a large configuration.
func (s *service) validate(a *arrival) {
	done := &arrival{version: a.version, files: a.files}
	result, failure := config.Merge(a.files)
	if failure != nil {
		done.failure = failure
	} else {
		done.snapshot = &api.Snapshot{
			Revision: a.version.Revision, Digest: a.version.Digest, Config: result.Config, Files: a.files,
		}
	}
	_ = s.events.Post(s.ctx, validated{done})
}

// CheckResend decides what becomes of a request that an agent refused because
// of its revision.
func (s *service) CheckResend(ctx context.Context, r api.StaleRefusal) api.ResendDecision {
	verdict, err := kernel.Ask(ctx, s.resends, r)
	if err != nil {
		return api.ResendGiveUp
	}
	return verdict
}

func outside(v spread.Version) api.ConfigVersion {
	return api.ConfigVersion{Revision: v.Revision, Content: v.Digest}
}

// Version returns the version in force.
func (s *service) Version() api.ConfigVersion { return outside(s.held.Load().version) }

// Content returns the content in force, as a delta where the base is the
// version before.
func (s *service) Content(want, base api.ConfigVersion) (api.ConfigContent, bool) {
	h := s.held.Load()
	wanted := spread.Version{Revision: want.Revision, Digest: want.Content}
	if h.snapshot == nil || wanted.Above(h.version) {
		return api.ConfigContent{}, false
	}
	c := api.ConfigContent{Version: outside(h.version), Files: h.snapshot.Files}
	if h.previous != nil && base == outside(h.before) {
		d := spread.Diff(h.previous, h.snapshot.Files)
		c.Delta, c.Files, c.Removed = true, d.Changed, d.Removed
	}
	return c, true
}
