package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/proof"
)

const (
	pollInterval = 100 * time.Millisecond
	// pollTimeout bounds one query; a paused process does not answer.
	pollTimeout = time.Second
	settleWait  = time.Minute
)

// state is the state that a process reported last.
type state struct {
	Ready    bool
	Revision uint64
	// Links is the number of links that are up.
	Links int64
	// incarnation is the incarnation that answered.
	incarnation int
}

// states holds the latest state of each process. The channel updated is closed when
// all processes have been polled again.
type states struct {
	mu      sync.Mutex
	byNode  map[string]state
	updated chan struct{}
}

func (s *states) put(byNode map[string]state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byNode = byNode
	if s.updated != nil {
		close(s.updated)
	}
	s.updated = make(chan struct{})
}

func (s *states) get() (map[string]state, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.updated == nil {
		s.updated = make(chan struct{})
	}
	return s.byNode, s.updated
}

// pollStates polls the state of every process and records its configuration
// revision and readiness.
func (p *Pool) pollStates(ctx context.Context) {
	defer close(p.pollingDone)
	client := &http.Client{Timeout: pollTimeout}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.states.put(p.pollOnce(ctx, client))
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) pollOnce(ctx context.Context, client *http.Client) map[string]state {
	states := make(map[string]state)
	var mu sync.Mutex
	var group errgroup.Group
	for _, n := range p.Nodes() {
		current := n.snapshot()
		if current.admin == "" {
			continue
		}
		group.Go(func() error {
			at := p.Now()
			s, err := queryState(ctx, client, current.admin)
			// An answer received after the process was stopped is discarded, since
			// the incarnation that sent it is unknown.
			if err != nil || n.snapshot().incarnation != current.incarnation {
				return nil
			}
			s.incarnation = current.incarnation
			mu.Lock()
			states[n.Name] = s
			mu.Unlock()
			p.Recorder.Update(func(r *proof.Record) {
				r.Observations = append(r.Observations, proof.Observation{
					Node: n.Name, Incarnation: current.incarnation, At: at, Revision: s.Revision, Ready: s.Ready,
				})
			})
			return nil
		})
	}
	_ = group.Wait()
	return states
}

func queryState(ctx context.Context, client *http.Client, admin string) (state, error) {
	var vars struct {
		Revision uint64 `json:"config_revision"`
		Up       int64  `json:"link_up"`
		Down     int64  `json:"link_down"`
	}
	status, err := getJSON(ctx, client, "http://"+admin+"/readyz", nil)
	if err != nil {
		return state{}, err
	}
	// The revision is read after the readiness. In the other order, a process that
	// becomes ready in between would be reported as ready with its old revision.
	if _, err := getJSON(ctx, client, "http://"+admin+"/debug/vars", &vars); err != nil {
		return state{}, err
	}
	return state{Ready: status == http.StatusOK, Revision: vars.Revision, Links: vars.Up - vars.Down}, nil
}

func getJSON(ctx context.Context, client *http.Client, url string, into any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if into != nil {
		err = json.NewDecoder(resp.Body).Decode(into)
	}
	return resp.StatusCode, err
}

// NotSettledError reports a process that did not settle in time.
type NotSettledError struct {
	Node  string
	State state
	Log   []string
}

func (e *NotSettledError) Error() string {
	text := fmt.Sprintf("%s did not become ready with the newest configuration and all links: %+v", e.Node, e.State)
	for _, line := range e.Log {
		text += "\n" + line
	}
	return text
}

// Settle waits until all processes are ready with the newest configuration and every
// router has a link to each agent.
func (p *Pool) Settle(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	for {
		known, updated := p.states.get()
		n := p.unsettled(known)
		if n == nil {
			return nil
		}
		select {
		case <-updated:
		case <-limit.Done():
			return &NotSettledError{Node: n.Name, State: known[n.Name], Log: n.Log()}
		}
	}
}

// unsettled returns the first node that has not settled, nil if all have.
func (p *Pool) unsettled(known map[string]state) *Node {
	newest := p.newestRevision()
	for _, n := range p.Nodes() {
		s := known[n.Name]
		router := n.Role == api.RoleRouter
		if !s.Ready || s.Revision < newest || router && s.Links != int64(len(p.Agents)) {
			return n
		}
	}
	return nil
}
