package links

import (
	"context"
	"sync"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

// answer is one event of an exchange; exactly one field is set.
type answer struct {
	head  *api.Head
	chunk *api.Chunk
	end   *api.End
}

// exchange carries the answer to one send. Its backlog is bounded by the
// flow-control window that the agent was granted.
type exchange struct {
	session *session
	send    api.AttemptID
	sink    api.Sink

	mu      sync.Mutex
	backlog []answer
	wake    chan struct{}
}

func (l *link) send(ctx context.Context, o api.Order, sink api.Sink) (api.Exchange, error) {
	s := l.session.Load()
	if s == nil {
		return nil, api.NewFailure(api.CodeUpstreamUnreached, api.NotRun, "link to upstream "+l.upstream+" is down")
	}
	x := &exchange{session: s, send: o.AttemptID, sink: sink, wake: make(chan struct{}, 1)}
	if b, ok := sink.(api.Binder); ok {
		b.Bind(x)
	}
	if !s.add(x) {
		return nil, api.NewFailure(api.CodeUpstreamUnreached, api.NotRun, "link to upstream "+l.upstream+" is down")
	}
	frame := &wire.RouterFrame{Body: &wire.RouterFrame_Order{Order: wire.FromOrder(o)}}
	select {
	case s.outbound <- frame:
		s.ordered.Add(1)
	case <-ctx.Done():
		s.remove(o.AttemptID)
		return nil, &api.Failure{Code: api.CodeCanceled, Run: api.NotRun, Err: context.Cause(ctx)}
	case <-s.lost:
		s.remove(o.AttemptID)
		return nil, api.NewFailure(api.CodeUpstreamUnreached, api.NotRun, "link to upstream "+l.upstream+" went down")
	}
	go x.run()
	return x, nil
}

// run hands the answer to the sink, one event at a time.
func (x *exchange) run() {
	broken := false
	flusher, _ := x.sink.(api.Flusher)
	for range x.wake {
		for {
			a, ok := x.next()
			if !ok {
				if flusher != nil && !broken {
					flusher.Flush()
				}
				break
			}
			if a.end != nil {
				x.sink.End(*a.end)
				return
			}
			if broken {
				continue
			}
			if err := x.offer(a); err != nil {
				broken = true
				x.Cancel()
			}
		}
	}
}

func (x *exchange) offer(a answer) error {
	if a.head != nil {
		return x.sink.Head(*a.head)
	}
	return x.sink.Chunk(*a.chunk)
}

func (x *exchange) push(a answer) {
	x.mu.Lock()
	x.backlog = append(x.backlog, a)
	x.mu.Unlock()
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

func (x *exchange) next() (answer, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.backlog) == 0 {
		return answer{}, false
	}
	a := x.backlog[0]
	x.backlog[0] = answer{}
	x.backlog = x.backlog[1:]
	return a, true
}

// Cancel tells the agent that nobody wants the rest.
func (x *exchange) Cancel() {
	x.session.post(&wire.RouterFrame{Body: &wire.RouterFrame_Cancel{Cancel: &wire.Cancel{
		Request: x.send.RequestID,
		Attempt: x.send.Number,
	}}})
}

// GrantCredit grants the agent credit for more chunks.
func (x *exchange) GrantCredit(bytes uint32) {
	x.session.post(&wire.RouterFrame{Body: &wire.RouterFrame_Credit{Credit: &wire.Credit{
		Request: x.send.RequestID,
		Attempt: x.send.Number,
		Bytes:   bytes,
	}}})
}

func (s *session) post(f *wire.RouterFrame) {
	select {
	case s.outbound <- f:
	case <-s.lost:
	}
}

func (s *session) add(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.exchanges[x.send] = x
	return true
}

func (s *session) remove(send api.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, send)
}

func (s *session) deliver(send api.AttemptID, a answer) {
	s.mu.Lock()
	x, ok := s.exchanges[send]
	if ok && a.end != nil {
		delete(s.exchanges, send)
	}
	s.mu.Unlock()
	if !ok {
		s.link.service.counts.foreign.Add(1)
		return
	}
	x.push(a)
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

func (s *session) addQuery() (uint64, chan api.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, nil, false
	}
	s.nextQuery++
	reply := make(chan api.Outcome, 1)
	s.queries[s.nextQuery] = reply
	return s.nextQuery, reply, true
}

func (s *session) removeQuery(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.queries, id)
}

func (s *session) answerQuery(m *wire.Outcome) {
	s.mu.Lock()
	reply, ok := s.queries[m.GetId()]
	delete(s.queries, m.GetId())
	s.mu.Unlock()
	if !ok {
		s.link.service.counts.foreign.Add(1)
		return
	}
	reply <- wire.ToOutcome(m)
}
