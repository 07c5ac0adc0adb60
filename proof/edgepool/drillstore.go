package edgepool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

const (
	// storeTick is the interval at which upstreams and leases are checked.
	storeTick    = 50 * time.Millisecond
	copyInterval = 250 * time.Millisecond
	// keptCopies is more than the store makes in maxCopyAge.
	keptCopies = 2 * int(maxCopyAge/copyInterval)
	serversKey = "servers/"
)

// registration is an incarnation of an upstream and its entry in the store.
type registration struct {
	id    string
	entry platformstore.Upstream
	// beating is set while the upstream writes its entry at nextBeat and every beatInterval
	// after. expires is the time at which the entry is removed otherwise.
	beating           bool
	nextBeat, expires time.Duration
}

type storeCopy struct {
	at      time.Duration
	content platformstore.Copy
}

// drillStore writes to the store for the operator and the upstreams, also again after the
// store lost what they had written.
type drillStore struct {
	pool *Pool
	// beatsChange is set if each heartbeat changes the entry of the upstream.
	beatsChange bool

	mu     sync.Mutex
	random *rand.Rand
	away   bool
	copies []storeCopy
	// written holds the payloads of entries as they were last written, by key.
	written       map[string]string
	registrations map[string]*registration
	// config is the newest version of the operator. rewriteAt is the time at which it is
	// written again, 0 if the store has it. versionDue is set if a version was due while the
	// store was away.
	config     configState
	rewriteAt  time.Duration
	versionDue bool
	// acknowledged is the newest version that the store has acknowledged.
	acknowledged configState
}

func newDrillStore(p *Pool, seed uint64) *drillStore {
	s := &drillStore{
		pool: p, random: rand.New(rand.NewPCG(seed, 1)), written: make(map[string]string), registrations: make(map[string]*registration),
	}
	s.beatsChange = s.random.IntN(2) == 0
	s.config.number = 10
	p.Store.SetEra(1)
	for _, u := range p.upstreams {
		s.register(u)
	}
	s.writeVersion()
	return s
}

// register makes the current incarnation of an upstream write its entry. The caller holds
// s.mu or is the only user.
func (s *drillStore) register(u *upstream) {
	id, entry := u.current()
	g := &registration{id: id, entry: entry, beating: true, nextBeat: s.pool.Now() + time.Duration(s.random.Int64N(int64(beatInterval)))}
	s.registrations[g.id] = g
	if !s.away {
		s.write(g)
	}
}

// write writes the entry of an upstream.
func (s *drillStore) write(g *registration) {
	s.pool.Store.SetUpstream(g.id, g.entry)
	s.written[serversKey+g.id] = s.pool.Store.Payloads(serversKey)[serversKey+g.id]
	s.acknowledge(g)
}

// acknowledge records that the store has accepted what an upstream says.
func (s *drillStore) acknowledge(g *registration) {
	g.expires = s.pool.Now() + leaseDuration
	if g.entry.Draining {
		s.recordDeparture(g.id)
	}
}

func (s *drillStore) recordDeparture(id string) {
	at := s.pool.Now()
	s.pool.UpdateRecord(func(r *proof.Record) { r.Departures = append(r.Departures, proof.Departure{Upstream: id, At: at}) })
}

// run writes heartbeats, expires leases and copies the store until the context ends.
func (s *drillStore) run(ctx context.Context) {
	for schedule.Sleep(ctx, storeTick) == nil {
		s.mu.Lock()
		s.tick(s.pool.Now())
		s.mu.Unlock()
	}
}

func (s *drillStore) tick(now time.Duration) {
	for _, g := range s.registrations {
		if g.beating && now >= g.nextBeat {
			g.nextBeat += beatInterval
			s.beat(g)
		}
	}
	if s.away {
		return
	}
	for key := range s.pool.Store.Payloads(serversKey) {
		id := strings.TrimPrefix(key, serversKey)
		if g := s.registrations[id]; g != nil && !g.beating && now >= g.expires {
			s.remove(id)
		}
	}
	if s.rewriteAt > 0 && now >= s.rewriteAt {
		s.rewriteConfig()
	}
	if n := len(s.copies); n == 0 || now >= s.copies[n-1].at+copyInterval {
		s.copies = append(s.copies, storeCopy{now, s.pool.Store.Copy()})
		s.copies = s.copies[max(len(s.copies)-keptCopies, 0):]
	}
}

// beat writes the entry of an upstream if it differs from the one in the store or if each
// heartbeat changes it.
func (s *drillStore) beat(g *registration) {
	if s.away {
		return
	}
	if s.beatsChange {
		g.entry.Heartbeats++
	}
	if held, ok := s.pool.Store.Payloads(serversKey)[serversKey+g.id]; !s.beatsChange && ok && held == s.written[serversKey+g.id] {
		s.acknowledge(g)
		return
	}
	s.write(g)
}

func (s *drillStore) remove(id string) {
	s.pool.Store.DeleteUpstream(id)
	s.recordDeparture(id)
}

// depart makes an upstream say that it is draining, or removes its entry although it goes on
// serving.
func (s *drillStore) depart(id string, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.registrations[id]
	if draining {
		g.entry.Draining = true
		if !s.away {
			s.write(g)
		}
		return
	}
	g.beating = false
	if !s.away {
		s.remove(id)
	}
}

// replace ends an upstream that departed. The next incarnation registers at its address.
func (s *drillStore) replace(u *upstream, id string) error {
	if err := u.renew(u.service(), 0); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.registrations[id]
	if g.beating && !s.away {
		s.remove(id)
	}
	g.beating = false
	s.register(u)
	return nil
}

// changeConfig writes the next version, at the latest when the store is back.
func (s *drillStore) changeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		s.versionDue = true
		return
	}
	s.writeVersion()
}

func (s *drillStore) rewriteConfig() {
	if s.versionDue {
		s.writeVersion()
		return
	}
	s.pool.Store.SetConfig(s.config.document())
	s.rewriteAt = 0
}

func (s *drillStore) writeVersion() {
	s.versionDue, s.rewriteAt = false, 0
	s.config = s.config.next(s.random)
	v := s.config.version()
	v.Sent = s.pool.Now()
	index := 0
	s.pool.UpdateRecord(func(r *proof.Record) { index = len(r.Versions); r.Versions = append(r.Versions, v) })
	s.pool.Store.SetConfig(s.config.document())
	s.acknowledged = s.config
	at := s.pool.Now()
	s.pool.UpdateRecord(func(r *proof.Record) { r.Versions[index].Acknowledged = at })
}

// newest returns the newest acknowledged version.
func (s *drillStore) newest() configState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acknowledged
}

// drill makes the store refuse connections and come back from a copy in the next era.
func (s *drillStore) drill(ctx context.Context, e drillEvent) error {
	from, err := s.leave()
	if err != nil {
		return err
	}
	if err := schedule.Sleep(ctx, e.length); err != nil {
		return err
	}
	return s.comeBack(from, e)
}

func (s *drillStore) leave() (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	from := s.pool.Now()
	s.pool.UpdateRecord(func(r *proof.Record) { r.Faults = append(r.Faults, proof.Fault{Name: "store away", From: from}) })
	var errs []error
	for _, e := range s.pool.Edges {
		errs = append(errs, e.storeProxy.Refuse())
	}
	return from, errors.Join(errs...)
}

func (s *drillStore) comeBack(from time.Duration, e drillEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.copies[0]
	for _, c := range s.copies {
		if c.at <= from-e.copyAge {
			used = c
		}
	}
	s.pool.Store.Restore(used.content)
	now := s.pool.Now()
	for _, g := range s.registrations {
		g.expires = now + leaseDuration
	}
	s.rewriteAt, s.away = now+e.rewriteDelay, false
	var errs []error
	for _, edge := range s.pool.Edges {
		errs = append(errs, edge.storeProxy.Accept())
	}
	name := fmt.Sprintf("store away, back from a copy of %.3fs", used.at.Seconds())
	s.pool.UpdateRecord(func(r *proof.Record) {
		r.Restores = append(r.Restores, proof.Restore{CopiedAt: used.at, At: now})
		for i := range r.Faults {
			if f := &r.Faults[i]; f.From == from && f.Until == 0 && len(f.Nodes) == 0 {
				f.Name, f.Until = name, s.pool.Now()
			}
		}
	})
	return errors.Join(errs...)
}
