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
	watchInterval = 100 * time.Millisecond
	// watchTimeout bounds one question; a paused process does not answer.
	watchTimeout = time.Second
	settleWait   = time.Minute
)

// state is what a process said last.
type state struct {
	Ready    bool
	Revision uint64
	// Links are those that are up.
	Links int64
	// life is that of the process which answered.
	life int
}

// states are the last answers of all processes. The channel is closed by the
// next round of questions.
type states struct {
	mu    sync.Mutex
	of    map[string]state
	round chan struct{}
}

func (s *states) put(of map[string]state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of = of
	if s.round != nil {
		close(s.round)
	}
	s.round = make(chan struct{})
}

func (s *states) get() (map[string]state, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.round == nil {
		s.round = make(chan struct{})
	}
	return s.of, s.round
}

// watch asks every process for its state and records what it says of its
// configuration.
func (p *Pool) watch(ctx context.Context) {
	defer close(p.watched)
	client := &http.Client{Timeout: watchTimeout}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.states.put(p.ask(ctx, client))
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) ask(ctx context.Context, client *http.Client) map[string]state {
	found := make(map[string]state)
	var mu sync.Mutex
	var asking errgroup.Group
	for _, n := range p.Nodes() {
		now := n.now()
		if now.admin == "" {
			continue
		}
		asking.Go(func() error {
			at := p.Now()
			s, err := question(ctx, client, now.admin)
			// An answer that crossed the end of the process belongs to no life.
			if err != nil || n.now().life != now.life {
				return nil
			}
			s.life = now.life
			mu.Lock()
			found[n.Name] = s
			mu.Unlock()
			p.Recorder.Add(func(r *proof.Record) {
				r.Observed = append(r.Observed, proof.Observation{
					Node: n.Name, Life: now.life, At: at, Revision: s.Revision, Ready: s.Ready,
				})
			})
			return nil
		})
	}
	_ = asking.Wait()
	return found
}

func question(ctx context.Context, client *http.Client, admin string) (state, error) {
	var vars struct {
		Revision uint64 `json:"config_revision"`
		Up       int64  `json:"link_up"`
		Down     int64  `json:"link_down"`
	}
	status, err := get(ctx, client, "http://"+admin+"/readyz", nil)
	if err != nil {
		return state{}, err
	}
	// The revision is read after readiness, so that a process that becomes
	// ready in between is not blamed for what it had before.
	if _, err := get(ctx, client, "http://"+admin+"/debug/vars", &vars); err != nil {
		return state{}, err
	}
	return state{Ready: status == http.StatusOK, Revision: vars.Revision, Links: vars.Up - vars.Down}, nil
}

func get(ctx context.Context, client *http.Client, url string, into any) (int, error) {
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
	newest := p.newest()
	for _, n := range p.Nodes() {
		s := known[n.Name]
		router := n.Role == api.RoleRouter
		if !s.Ready || s.Revision < newest || router && s.Links != int64(len(p.Agents)) {
			return n
		}
	}
	return nil
}
