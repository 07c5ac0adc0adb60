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
	// pollTimeout bounds one question; a paused process does not answer.
	pollTimeout = time.Second
	settleWait  = time.Minute
)

// state is what a process said last.
type state struct {
	Ready    bool
	Revision uint64
	// Links are those that are up.
	Links int64
	// incarnation is that of the process which answered.
	incarnation int
}

// states are the last answers of all processes. The channel is closed by the
// next round of questions.
type states struct {
	mu      sync.Mutex
	byNode  map[string]state
	updated chan struct{}
}

func (s *states) put(of map[string]state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byNode = of
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

// pollStates asks every process for its state and records what it says of its
// configuration.
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
	found := make(map[string]state)
	var mu sync.Mutex
	var asking errgroup.Group
	for _, n := range p.Nodes() {
		now := n.snapshot()
		if now.admin == "" {
			continue
		}
		asking.Go(func() error {
			at := p.Now()
			s, err := queryState(ctx, client, now.admin)
			// An answer that crossed the end of the process belongs to no life.
			if err != nil || n.snapshot().incarnation != now.incarnation {
				return nil
			}
			s.incarnation = now.incarnation
			mu.Lock()
			found[n.Name] = s
			mu.Unlock()
			p.Recorder.Update(func(r *proof.Record) {
				r.Observations = append(r.Observations, proof.Observation{
					Node: n.Name, Incarnation: now.incarnation, At: at, Revision: s.Revision, Ready: s.Ready,
				})
			})
			return nil
		})
	}
	_ = asking.Wait()
	return found
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
	// The revision is read after readiness, so that a process that becomes
	// ready in between is not blamed for what it had before.
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

// NotSettledError reports processes that did not become ready.
type NotSettledError struct {
	Node  string
	State state
	Log   []string
}

func (e *NotSettledError) Error() string {
	text := fmt.Sprintf("%s did not settle: %+v", e.Node, e.State)
	for _, line := range e.Log {
		text += "\n" + line
	}
	return text
}

// Settle waits until all processes have the newest configuration and every
// router a link to each agent. Agents in a zone that is out need not be ready.
func (p *Pool) Settle(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	for {
		known, round := p.states.get()
		waits := p.unsettled(known)
		if waits == nil {
			return nil
		}
		select {
		case <-round:
		case <-limit.Done():
			return &NotSettledError{Node: waits.Name, State: known[waits.Name], Log: waits.Log()}
		}
	}
}

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
