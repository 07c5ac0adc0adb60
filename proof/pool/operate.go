package pool

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
)

// publish publishes the configuration with the operators' changes. Its recorded
// time is before the publication, since processes may apply it at once.
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
		// ConfigLimit does not apply to processes that are starting. Recording
		// begins when the pool is ready.
		return nil
	}
	p.Recorder.Update(func(r *proof.Record) {
		r.Publications = append(r.Publications, proof.Publication{Revision: revision, At: at})
	})
	return nil
}

// Publish publishes a new revision without other changes.
func (p *Pool) Publish() error {
	p.operators.changes++
	return p.publish(false)
}

// SetZoneOut takes an availability zone out of service or returns it to service.
func (p *Pool) SetZoneOut(zone string, out bool) error {
	return p.setExcluded(p.operators.zonesOut, func(r *proof.Record) *[]proof.Exclusion { return &r.Zones }, zone, out)
}

// SetLeaving marks an upstream as leaving, so that it gets no new requests, or
// removes the mark.
func (p *Pool) SetLeaving(upstream string, leaving bool) error {
	return p.setExcluded(p.operators.leaving, func(r *proof.Record) *[]proof.Exclusion { return &r.Leaving }, upstream, leaving)
}

// setExcluded adds a name to the set of excluded names or removes it, publishes the
// change and records the exclusion.
func (p *Pool) setExcluded(set map[string]bool, list func(*proof.Record) *[]proof.Exclusion, name string, excluded bool) error {
	if !excluded {
		// The exclusion ends before the publication, since requests may run as
		// soon as one process has applied it.
		p.Recorder.Update(func(r *proof.Record) {
			exclusions := *list(r)
			for i := range exclusions {
				if exclusions[i].Name == name && exclusions[i].Until == 0 {
					exclusions[i].Until = p.Now()
				}
			}
		})
		delete(set, name)
		return p.publish(false)
	}
	set[name] = true
	if err := p.publish(false); err != nil {
		return err
	}
	p.Recorder.Update(func(r *proof.Record) {
		*list(r) = append(*list(r), proof.Exclusion{Name: name, From: p.Now()})
	})
	return nil
}

// Restart shuts the process down gracefully and starts it again.
func (n *Node) Restart(ctx context.Context) error {
	if err := n.Stop(ctx); err != nil {
		return err
	}
	return n.Start(ctx)
}

// AwaitLinkLost waits until a router has lost its link to an agent.
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

// AwaitReady waits until the current process of a node reports that it is ready.
func (p *Pool) AwaitReady(ctx context.Context, n *Node) error {
	return p.await(ctx, func(known map[string]state) bool {
		s := known[n.Name]
		return s.Ready && s.incarnation == n.snapshot().incarnation
	})
}

// AwaitRevision waits until all processes have applied a revision.
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

// await waits until the latest states of the processes meet a condition.
func (p *Pool) await(ctx context.Context, met func(map[string]state) bool) error {
	for {
		known, updated := p.states.get()
		if met(known) {
			return nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
