package links

import (
	"context"
	"sync"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

// responseEvent is one part of a response; exactly one field is set.
type responseEvent struct {
	head  *api.Head
	chunk *api.Chunk
	end   *api.End
}

// exchange passes the response to one attempt to the attempt's sink. The agent's
// flow-control credit limits the backlog.
type exchange struct {
	session   *session
	attemptID api.AttemptID
	sink      api.Sink

	mu      sync.Mutex
	backlog []responseEvent
	wake    chan struct{}
}

func (l *link) send(ctx context.Context, o api.Order, sink api.Sink) (api.Exchange, error) {
	s := l.session.Load()
	if s == nil {
		return nil, api.NewFailure(api.CodeUpstreamUnreached, api.NotRun, "link to upstream "+l.upstream+" is down")
	}
	x := &exchange{session: s, attemptID: o.AttemptID, sink: sink, wake: make(chan struct{}, 1)}
	if b, ok := sink.(api.Binder); ok {
		b.Bind(x)
	}
	if !s.addExchange(x) {
		return nil, api.NewFailure(api.CodeUpstreamUnreached, api.NotRun, "link to upstream "+l.upstream+" is down")
	}
	frame := &wire.RouterFrame{Body: &wire.RouterFrame_Order{Order: wire.FromOrder(o)}}
	select {
	case s.outbound <- frame:
		s.sentOrders.Add(1)
	case <-ctx.Done():
		s.removeExchange(o.AttemptID)
		return nil, &api.Failure{Code: api.CodeCanceled, Run: api.NotRun, Err: context.Cause(ctx)}
	case <-s.lost:
		s.removeExchange(o.AttemptID)
		return nil, api.NewFailure(api.CodeUpstreamUnreached, api.NotRun, "link to upstream "+l.upstream+" went down")
	}
	go x.run()
	return x, nil
}

// run writes response events to the sink in order until the end event. If the sink
// fails, it cancels the attempt and discards all events before the end.
func (x *exchange) run() {
	sinkFailed := false
	flusher, _ := x.sink.(api.Flusher)
	for range x.wake {
		for {
			e, ok := x.next()
			if !ok {
				if flusher != nil && !sinkFailed {
					flusher.Flush()
				}
				break
			}
			if e.end != nil {
				x.sink.End(*e.end)
				return
			}
			if sinkFailed {
				continue
			}
			if err := x.writeToSink(e); err != nil {
				sinkFailed = true
				x.Cancel()
			}
		}
	}
}

func (x *exchange) writeToSink(e responseEvent) error {
	if e.head != nil {
		return x.sink.Head(*e.head)
	}
	return x.sink.Chunk(*e.chunk)
}

func (x *exchange) push(e responseEvent) {
	x.mu.Lock()
	x.backlog = append(x.backlog, e)
	x.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (x *exchange) next() (responseEvent, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.backlog) == 0 {
		return responseEvent{}, false
	}
	e := x.backlog[0]
	x.backlog[0] = responseEvent{}
	x.backlog = x.backlog[1:]
	return e, true
}

// Cancel sends a request to the agent to stop the attempt.
func (x *exchange) Cancel() {
	x.session.post(&wire.RouterFrame{Body: &wire.RouterFrame_Cancel{Cancel: &wire.Cancel{
		Request: x.attemptID.RequestID,
		Attempt: x.attemptID.Number,
	}}})
}

// GrantCredit grants the agent flow-control credit for more bytes.
func (x *exchange) GrantCredit(bytes uint32) {
	x.session.post(&wire.RouterFrame{Body: &wire.RouterFrame_Credit{Credit: &wire.Credit{
		Request: x.attemptID.RequestID,
		Attempt: x.attemptID.Number,
		Bytes:   bytes,
	}}})
}

func (s *session) post(f *wire.RouterFrame) {
	select {
	case s.outbound <- f:
	case <-s.lost:
	}
}

// addExchange registers an exchange. It returns false if the session is lost.
func (s *session) addExchange(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.exchanges[x.attemptID] = x
	return true
}

func (s *session) removeExchange(id api.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, id)
}

// deliver passes a response event to the exchange of its attempt.
func (s *session) deliver(id api.AttemptID, e responseEvent) {
	s.mu.Lock()
	x, ok := s.exchanges[id]
	if ok && e.end != nil {
		delete(s.exchanges, id)
	}
	s.mu.Unlock()
	if !ok {
		s.link.service.counts.unexpectedFrames.Add(1)
		return
	}
	x.push(e)
}

func (l *link) query(ctx context.Context, q api.OutcomeQuery) (api.Outcome, error) {
	unknown := api.Outcome{Run: api.RunUnknown}
	s := l.session.Load()
	if s == nil {
		return unknown, api.NewFailure(api.CodeUpstreamUnreached, api.RunUnknown, "link to upstream "+l.upstream+" is down")
	}
	id, reply, ok := s.addQuery()
	if !ok {
		return unknown, api.NewFailure(api.CodeUpstreamUnreached, api.RunUnknown, "link to upstream "+l.upstream+" is down")
	}
	s.post(&wire.RouterFrame{Body: &wire.RouterFrame_Query{Query: wire.FromQuery(id, q)}})
	select {
	case o, ok := <-reply:
		if !ok {
			return unknown, api.NewFailure(api.CodeLinkLost, api.RunUnknown, "link to upstream "+l.upstream+" lost")
		}
		return o, nil
	case <-ctx.Done():
		s.removeQuery(id)
		return unknown, &api.Failure{Code: api.CodeDeadlineExceeded, Run: api.RunUnknown, Err: context.Cause(ctx)}
	}
}

// addQuery registers a query and returns its ID and the channel for its outcome. It
// returns false if the session is lost.
func (s *session) addQuery() (uint64, chan api.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, nil, false
	}
	s.lastQueryID++
	reply := make(chan api.Outcome, 1)
	s.queries[s.lastQueryID] = reply
	return s.lastQueryID, reply, true
}

func (s *session) removeQuery(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.queries, id)
}

func (s *session) completeQuery(m *wire.Outcome) {
	s.mu.Lock()
	reply, ok := s.queries[m.GetId()]
	delete(s.queries, m.GetId())
	s.mu.Unlock()
	if !ok {
		s.link.service.counts.unexpectedFrames.Add(1)
		return
	}
	reply <- wire.ToOutcome(m)
}
