package fleet

import (
	"context"
	"maps"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// reportDelay collects the crashes of requests that were in flight at the same
	// upstream in one message.
	reportDelay = 5 * time.Millisecond
	// reportRetryInterval is the time between attempts to report to an edge that cannot
	// be reached. An edge that is back is told at once by others as well.
	reportRetryInterval = time.Second
	// maxReportsPerMessage bounds the reports in one message. The rest follows in the
	// next one.
	maxReportsPerMessage = 64
	// maxPendingReports bounds the requests to be reported to one edge. More reach it
	// with the calls to seeds.
	maxPendingReports = 512
	// reportsPerCall is the size of the digest in a call to a seed and in its response.
	reportsPerCall = 16
)

// outbox holds what is to be reported to one edge. The control loop owns it.
type outbox struct {
	// pending holds fingerprints. The reports are read when they are sent, because
	// they contain the age of a crash.
	pending map[uint64]struct{}
	// busy is set while a message is on its way or the next one is scheduled.
	busy bool
}

// reportResult is the end of a message to an edge.
type reportResult struct {
	address  string
	sent     []uint64
	received []api.Suspicion
	err      error
}

// ExchangeSuspicions sets the records that are exchanged with other edges.
func (s *service) ExchangeSuspicions(r api.SuspicionRecords) { s.records = r }

// ReportSuspicions schedules reports to all known edges.
func (s *service) ReportSuspicions(suspicions []api.Suspicion) {
	if len(suspicions) == 0 {
		return
	}
	for _, address := range s.view.Addresses {
		box := s.outboxes[address]
		if box == nil {
			box = &outbox{pending: make(map[uint64]struct{})}
			s.outboxes[address] = box
		}
		for _, report := range suspicions {
			if len(box.pending) < maxPendingReports {
				box.pending[report.Fingerprint] = struct{}{}
			}
		}
		s.scheduleReport(address, box, reportDelay)
	}
}

func (s *service) scheduleReport(address string, box *outbox, delay time.Duration) {
	if box.busy || len(box.pending) == 0 {
		return
	}
	box.busy = true
	s.loop.After(delay, func(now time.Duration) { s.sendReports(now, address, box) })
}

// sendReports takes reports from an outbox and sends them on a goroutine of its own.
func (s *service) sendReports(now time.Duration, address string, box *outbox) {
	var sent []uint64
	var reports []api.Suspicion
	for fp := range maps.Keys(box.pending) {
		if len(sent) == maxReportsPerMessage {
			break
		}
		delete(box.pending, fp)
		sent = append(sent, fp)
		reports = append(reports, s.records.Report(now, fp)...)
	}
	go func() {
		received, err := report(s.running, address, reports)
		_ = s.reportResults.Post(s.running, reportResult{address: address, sent: sent, received: received, err: err})
	}()
}

// report sends reports to an edge and returns what that edge knows of the same requests.
func report(ctx context.Context, address string, reports []api.Suspicion) ([]api.Suspicion, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := wire.DialPlaintext(ctx, address, callTimeout, wire.MaxFleetMessageBytes)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	response, err := wire.NewDRPCFleetClient(conn).Report(ctx, &wire.Suspicions{Suspicions: wire.FromSuspicions(reports)})
	if err != nil {
		return nil, err
	}
	return wire.ToSuspicions(response.GetSuspicions()), nil
}

func (s *service) handleReportResult(now time.Duration, r reportResult) {
	box := s.outboxes[r.address]
	if box == nil {
		return
	}
	box.busy = false
	if r.err == nil {
		s.counts.sentReports.Add(int64(len(r.sent)))
		// What the called edge knows better, such as a part that is sound, is news to the
		// others as well.
		s.ReportSuspicions(s.mergeReports(now, r.received))
		s.scheduleReport(r.address, box, reportDelay)
		return
	}
	s.counts.failedReports.Add(1)
	if !s.knows(r.address) {
		delete(s.outboxes, r.address)
		return
	}
	for _, fp := range r.sent {
		box.pending[fp] = struct{}{}
	}
	s.scheduleReport(r.address, box, reportRetryInterval)
}

// mergeReports merges reports of another edge and returns those that are new.
func (s *service) mergeReports(now time.Duration, received []api.Suspicion) []api.Suspicion {
	if s.records == nil || len(received) == 0 {
		return nil
	}
	return s.records.Merge(now, received)
}

// digest returns some of the known reports, for a call to a seed or its response.
func (s *service) digest(now time.Duration) []*wire.Suspicion {
	if s.records == nil {
		return nil
	}
	return wire.FromSuspicions(s.records.Digest(now, reportsPerCall))
}

// Report merges the reports of another edge and returns what this edge knows of the same
// requests.
func (s *service) Report(ctx context.Context, m *wire.Suspicions) (*wire.Suspicions, error) {
	return kernel.Ask(ctx, s.receivedReports, m)
}

func (s *service) mergeAndAnswer(now time.Duration, m *wire.Suspicions) *wire.Suspicions {
	received := wire.ToSuspicions(m.GetSuspicions())
	s.mergeReports(now, received)
	var known []api.Suspicion
	for _, r := range received[:min(len(received), maxReportsPerMessage)] {
		if s.records != nil {
			known = append(known, s.records.Report(now, r.Fingerprint)...)
		}
	}
	return &wire.Suspicions{Suspicions: wire.FromSuspicions(known)}
}

// dropOutboxes drops the outboxes of edges that are no longer known. One with a message
// on its way is dropped when that ends.
func (s *service) dropOutboxes() {
	maps.DeleteFunc(s.outboxes, func(address string, box *outbox) bool { return !box.busy && !s.knows(address) })
}

func (s *service) knows(address string) bool {
	for _, known := range s.view.Addresses {
		if known == address {
			return true
		}
	}
	return false
}
