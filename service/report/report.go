// Package report counts the requests of a router for the service-level objectives
// and publishes the counts. `mulberryfork burn` sums the counts of all routers.
package report

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/burn"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	summaryMailboxSize = 4096
	// publishInterval bounds the time until a counted request is published.
	// idleInterval is how often a router without requests publishes, so that its idle
	// time is not treated as missing data.
	publishInterval = 5 * time.Second
	idleInterval    = 10 * time.Second
	metricBurn      = "burn"
)

type service struct {
	settings  *api.Settings
	summaries *kernel.Mailbox[api.RequestSummary]
	// lost counts requests that were not recorded because the mailbox was full.
	lost      atomic.Uint64
	published atomic.Pointer[burn.Published]

	// The control loop owns the fields below.
	state         *burn.State
	revision      uint64
	unpublished   bool // set by changes since the last publication
	lastPublished time.Duration
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	store, err := kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore)
	if err != nil {
		return err
	}
	publisher, err := kernel.Lookup[api.Publisher](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.lastPublished = c.Clock().Now()
	s.state = burn.New(s.lastPublished)
	s.published.Store(&burn.Published{Node: s.settings.Node, Zone: s.settings.Zone})
	s.summaries = kernel.NewMailbox(c.Loop(), "report.end", summaryMailboxSize, kernel.Drop, s.recordSummary)
	store.Subscribe(s.configure)
	c.Loop().Every(publishInterval, s.tick)
	// A scrape holds the lock of the metrics service. The control loop may be waiting
	// for this lock, so a scrape must not wait for the loop. It reads the last
	// publication instead.
	publisher.Publish(metricBurn, func() any { return s.published.Load() })
	return nil
}

// RecordRequest passes the summary of a finished request to the control loop. If the
// mailbox is full, the request is counted as lost.
func (s *service) RecordRequest(summary api.RequestSummary) {
	var full *kernel.MailboxFullError
	if err := s.summaries.Post(context.Background(), summary); errors.As(err, &full) {
		s.lost.Add(1)
	}
}

func (s *service) configure(now time.Duration, snap *api.Snapshot) {
	s.state.Configure(now, snap.Config.Objectives)
	s.revision, s.unpublished = snap.Revision, true
}

func (s *service) recordSummary(now time.Duration, summary api.RequestSummary) {
	s.state.Record(now, summary)
	s.unpublished = true
}

func (s *service) tick(now time.Duration) {
	s.state.Advance(now)
	if lost := s.lost.Swap(0); lost > 0 {
		s.state.RecordLost(now, lost)
		s.unpublished = true
	}
	if !s.unpublished && now-s.lastPublished < idleInterval {
		return
	}
	s.unpublished, s.lastPublished = false, now
	s.published.Store(&burn.Published{
		Node:       s.settings.Node,
		Zone:       s.settings.Zone,
		Revision:   s.revision,
		Objectives: s.state.Publish(now),
	})
}
