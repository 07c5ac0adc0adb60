package experts

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rankpacing"
	"github.com/mulberryfork/mulberryfork/wire"
)

// ReadRank handles a poll by a leader. It returns the state of the local rank and
// notifies the control loop of the poll.
func (s *service) ReadRank(ctx context.Context, r wire.RankReadRequest) (wire.RankReadReply, error) {
	_ = s.leaderReads.Post(ctx, r)
	if r.Load != nil && len(r.Load.Load.Ranks) > 0 {
		s.board.set(s.clock.Now(), *r.Load)
	} else {
		s.board.setPublisher(r.Publisher)
	}
	state, err := s.readLocal(ctx, r)
	reply := wire.RankReadReply{State: state}
	if err == nil && r.Counts {
		s.countEncoder.encode(&reply, state.Counts, r.LastSnapshot, uint64(time.Now().UnixMicro()))
	}
	return reply, err
}

func (s *service) readLocal(ctx context.Context, r wire.RankReadRequest) (api.RankState, error) {
	report, err := s.engine.ReadRank(ctx, s.settings.Edge.LocalUpstreamAddress)
	if err != nil {
		return api.RankState{}, err
	}
	out := api.RankState{Report: report, Token: s.peers.highestToken()}
	if r.Counts {
		if out.Counts, err = s.engine.ReadCounts(ctx, s.settings.Edge.LocalUpstreamAddress); err != nil {
			return out, err
		}
	}
	if r.Experts {
		if out.Experts, err = s.engine.ReadExperts(ctx, s.settings.Edge.LocalUpstreamAddress); err != nil {
			return out, err
		}
	}
	return out, nil
}

// target is a rank to read. Its counts are read if counts is set. Its process gets the
// load of the group if load is set.
type target struct {
	address string
	counts  bool
	load    bool
	// publisher is the address of an engine whose process publishes the load.
	publisher string
}

// poll reads the local rank and the targets, and posts the result to the control loop.
// counts is true if the poll requests counts.
func (s *service) poll(request wire.RankReadRequest, targets []target, counts bool, pacing rankpacing.Group) {
	r := pollResult{startedAt: s.clock.Now(), counts: counts}
	defer func() { _ = s.pollResults.Post(s.ctx, r) }()
	localRequest := request
	localRequest.Counts = counts
	ctx, cancel := context.WithTimeout(s.ctx, pacing.ReadTimeout(counts))
	defer cancel()
	local, err := s.readLocal(ctx, localRequest)
	if err != nil {
		r.localErr = err
		return
	}
	r.local = &local
	request.Token = local.Token
	load := s.board.get(s.clock.Now())
	load.Publishers = nil
	request.Load = &load
	r.readings = s.reader.read(s.ctx, request, targets, pacing)
}

// localFailures counts the failed reads of the local rank since the last log line.
type localFailures struct {
	count    int
	loggedAt time.Duration
}

// recordLocalFailure logs a failed read of the local rank, at most once in
// localFailureLogInterval. All processes fail to read theirs until the engines listen.
func (s *service) recordLocalFailure(now time.Duration, err error) {
	f := &s.localFailures
	f.count++
	if f.loggedAt > 0 && now-f.loggedAt < localFailureLogInterval {
		return
	}
	s.log.Decision("reading local rank failed", api.DecisionRoutine, api.Fields{
		"upstream": s.settings.Edge.LocalUpstreamAddress, "error": err.Error(), "failures": f.count,
	})
	*f = localFailures{loggedAt: now}
}

// candidateAddresses returns the addresses of other upstreams of the local service
// that are not known to belong to another group.
func (s *service) candidateAddresses() []string {
	var addresses []string
	for _, in := range s.discovery.View().Instances {
		if in.Service == s.settings.Edge.LocalService && in.Address != s.settings.Edge.LocalUpstreamAddress && !s.otherGroupAddresses[in.Address] {
			addresses = append(addresses, in.Address)
		}
	}
	return addresses
}

// peerAddress returns the listen address of the process on an upstream's VM. All
// processes listen on the same port. The result is empty if the upstream's address
// or the local listen address is invalid.
func (s *service) peerAddress(upstream string) string {
	remote, err := netip.ParseAddrPort(upstream)
	local, localErr := netip.ParseAddrPort(s.settings.Listen.Link)
	if err != nil || localErr != nil {
		return ""
	}
	return net.JoinHostPort(remote.Addr().String(), strconv.Itoa(int(local.Port())))
}

// readRemote reads a rank through the process on its VM. If that process is down, it
// reads the rank directly and without counts. Such a report may be old: a rank reports its
// present state on its own VM only.
func (s *service) readRemote(ctx context.Context, upstream string, request wire.RankReadRequest) (api.RankState, error) {
	now, peer := s.clock.Now(), s.peerAddress(upstream)
	if !s.peers.isDown(now, peer) {
		var reply wire.RankReadReply
		request.LastSnapshot = s.countDecoder.lastSnapshot(upstream)
		err := s.peers.call(ctx, now, peer, func(ctx context.Context, c *drpcconn.Conn) (err error) {
			reply, err = wire.ReadRank(ctx, c, request)
			return err
		})
		if err == nil {
			s.countDecoder.decode(upstream, &reply)
		}
		return reply.State, err
	}
	if s.peers.isDown(now, upstream) {
		return api.RankState{}, &DownError{Address: upstream}
	}
	report, err := s.engine.ReadRank(ctx, upstream)
	if err != nil {
		s.peers.recordFailure(now, upstream, failuresUntilDown)
	}
	return api.RankState{Report: report, MaxAge: s.reportLag()}, err
}

// reportLag returns how old a report may be that is read from a rank on another VM.
func (s *service) reportLag() time.Duration {
	if p := s.engineProfile(); p != nil {
		return p.ReportLag
	}
	return api.UnknownReportLag
}
