package pool

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
)

// publish puts the configuration with the operators' changes into the service.
// A change that starts or ends something recorded takes its time from before
// the publication.
func (p *Pool) publish(initial bool) error {
	files := make(map[string]string)
	for name, data := range p.layout.render(p.addresses) {
		files[name] = string(data)
	}
	files[operatorsFile] = p.operators.render()
	at := p.Now()
	revision, err := p.Config.Publish(files)
	if err != nil {
		return err
	}
	if initial {
		// Processes that start have no limit yet; the pool is recorded once it
		// is ready.
		return nil
	}
	p.Recorder.Update(func(r *proof.Record) {
		r.Publications = append(r.Publications, proof.Publication{Revision: revision, At: at})
	})
	return nil
}

// Publish makes a revision that changes nothing but its number.
func (p *Pool) Publish() error {
	p.operators.changes++
	return p.publish(false)
}

// SetZoneOut takes an availability zone out of service, or puts it back.
func (p *Pool) SetZoneOut(zone string, out bool) error {
	return p.setExcluded(p.operators.zonesOut, func(r *proof.Record) *[]proof.Exclusion { return &r.Zones }, zone, out)
}

// SetLeaving takes an upstream out of new work, or puts it back.
func (p *Pool) SetLeaving(upstream string, leaving bool) error {
	return p.setExcluded(p.operators.leaving, func(r *proof.Record) *[]proof.Exclusion { return &r.Leaving }, upstream, leaving)
}

func (p *Pool) setExcluded(of map[string]bool, list func(*proof.Record) *[]proof.Exclusion, name string, taken bool) error {
	if !taken {
		// Work may start again as soon as one process knows.
		p.Recorder.Update(func(r *proof.Record) {
			all := *list(r)
			for i := range all {
				if all[i].Name == name && all[i].Until == 0 {
					all[i].Until = p.Now()
				}
			}
		})
		delete(of, name)
		return p.publish(false)
	}
	of[name] = true
	if err := p.publish(false); err != nil {
		return err
	}
	p.Recorder.Update(func(r *proof.Record) {
		*list(r) = append(*list(r), proof.Exclusion{Name: name, From: p.Now()})
	})
	return nil
}

// Restart stops a process by a planned stop and starts it again.
func (n *Node) Restart(ctx context.Context) error {
	if err := n.Stop(ctx); err != nil {
		return err
	}
	return n.Start(ctx)
}

// AwaitLinkLost waits until a router has given up a link to an agent.
func (p *Pool) AwaitLinkLost(ctx context.Context) error {
	return p.await(ctx, func(known map[string]state) bool {
		for _, n := range p.Routers {
			if s, ok := known[n.Name]; ok && s.Links < int64(len(p.Agents)) {
				return true
			}
		}
		return false
	})
}

// AwaitTime waits until the clock of the record has passed a time.
func (p *Pool) AwaitTime(ctx context.Context, at time.Duration) error {
	return p.await(ctx, func(map[string]state) bool { return p.Now() > at })
}

// AwaitReady waits until a process says that it is ready.
func (p *Pool) AwaitReady(ctx context.Context, n *Node) error {
	return p.await(ctx, func(known map[string]state) bool {
		s := known[n.Name]
		return s.Ready && s.incarnation == n.snapshot().incarnation
	})
}

// AwaitRevision waits until all processes have a revision in force.
func (p *Pool) AwaitRevision(ctx context.Context, revision uint64) error {
	return p.await(ctx, func(known map[string]state) bool {
		for _, n := range p.Nodes() {
			if known[n.Name].Revision < revision {
				return false
			}
		}
		return true
	})
}

// await waits until what processes said last meets a condition.
func (p *Pool) await(ctx context.Context, met func(map[string]state) bool) error {
	for {
		known, round := p.states.get()
		if met(known) {
			return nil
		}
		select {
		case <-round:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
