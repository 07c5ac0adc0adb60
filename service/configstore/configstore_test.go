package configstore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/configstore"
	"github.com/mulberryfork/mulberryfork/service/log"
	"github.com/mulberryfork/mulberryfork/service/metrics"
)

// fakeSource is a fake configuration source that delivers the revisions sent to it. A
// value in unchanged ends a watch without a change.
type fakeSource struct {
	revisions chan api.RawConfig
	unchanged chan struct{}
}

func (p *fakeSource) Watch(ctx context.Context, deliver func(api.RawConfig), health func(error)) {
	for {
		select {
		case raw := <-p.revisions:
			health(nil)
			deliver(raw)
		case <-p.unchanged:
			health(nil)
		case <-ctx.Done():
			return
		}
	}
}

// fakePeers is a fake api.PeerClient.
type fakePeers struct {
	mu sync.Mutex
	// versions holds the active version of each reachable peer.
	versions map[string]api.ConfigVersion
	files    map[api.ConfigVersion]map[string][]byte
	// wrongBase makes peers send deltas against another base than the requested one.
	wrongBase bool
	exchanges int
	deltas    int
	fetches   int
}

// UnreachableError reports a peer that does not respond.
type UnreachableError struct{}

func (*UnreachableError) Error() string { return "no response" }

func (p *fakePeers) Exchange(_ context.Context, peer string) (api.ConfigVersion, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exchanges++
	v, ok := p.versions[peer]
	if !ok {
		return v, &UnreachableError{}
	}
	return v, nil
}

func (p *fakePeers) Fetch(_ context.Context, peer string, want, base api.ConfigVersion) (api.ConfigContent, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.versions[peer]
	if !ok || v != want {
		return api.ConfigContent{}, &UnreachableError{}
	}
	p.fetches++
	old, known := p.files[base]
	if !known {
		return api.ConfigContent{Version: v, Files: p.files[v]}, nil
	}
	p.deltas++
	d := spread.Diff(old, p.files[v])
	if p.wrongBase {
		d.Changed = spread.Files{"90-other.toml": []byte("# other\n")}
	}
	return api.ConfigContent{Version: v, Delta: true, Files: d.Changed, Removed: d.Removed}, nil
}

func (p *fakePeers) setVersion(peer string, raw api.RawConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := api.ConfigVersion{Revision: raw.Revision, Digest: spread.Files(raw.Files).Digest()}
	p.versions[peer], p.files[v] = v, raw.Files
}

// revision returns valid content that is different for each number.
func revision(n uint64) api.RawConfig {
	return api.RawConfig{Revision: n, Files: map[string][]byte{
		"10-pool.toml": []byte("[zones.za]\nregion = \"r\"\nstate = \"in\"\n"),
		"20-desk.toml": fmt.Appendf(nil, "[members.desk]\nshare = %d\n", n),
	}}
}

type testbed struct {
	t      *testing.T
	host   *kernel.Host
	source *fakeSource
	peers  *fakePeers
	clock  *pausableClock
	calls  *kernel.Mailbox[func(now time.Duration)]
	log    logBuffer
}

// pausableClock can jump forward, like the clock of a process that was paused.
type pausableClock struct {
	kernel.Clock
	mu     sync.Mutex
	offset time.Duration
}

func (c *pausableClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now() + c.offset
}

func (c *pausableClock) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// Provision creates a mailbox for functions that the test runs on the control
// loop.
func (b *testbed) Provision(c *kernel.Context) error {
	store, err := kernel.Lookup[api.ConfigGossip](c, api.ServiceConfigStore)
	if err != nil {
		return err
	}
	b.calls = kernel.NewMailbox(c.Loop(), "test", 4, kernel.Wait, func(now time.Duration, f func(time.Duration)) { f(now) })
	store.SetPeerClient(b.peers)
	return nil
}

func (b *testbed) runOnLoop(f func(now time.Duration)) {
	b.t.Helper()
	if err := b.calls.Post(b.t.Context(), f); err != nil {
		b.t.Fatal(err)
	}
	synctest.Wait()
}

func find[T any](b *testbed) T {
	b.t.Helper()
	s, err := kernel.Find[T](b.host, api.ServiceConfigStore)
	if err != nil {
		b.t.Fatal(err)
	}
	return s
}

func (b *testbed) revision() uint64 { return find[api.ConfigGossip](b).Version().Revision }

// setMembership applies a membership list of the process itself and peers a and b.
func (b *testbed) setMembership() {
	var vms []api.VM
	for _, name := range []string{"a", "b", "self"} {
		vms = append(vms, api.VM{Name: name, Address: name, Zone: "za", State: api.VMLive})
	}
	b.runOnLoop(func(now time.Duration) { find[api.ConfigGossip](b).UpdateMembers(now, vms) })
}

func withTestbed(t *testing.T, settings *api.Settings, test func(t *testing.T, b *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testbed{
			t:      t,
			source: &fakeSource{revisions: make(chan api.RawConfig), unchanged: make(chan struct{})},
			peers: &fakePeers{
				versions: map[string]api.ConfigVersion{}, files: map[api.ConfigVersion]map[string][]byte{},
			},
			clock: &pausableClock{Clock: kernel.NewRuntimeClock()},
		}
		r := kernel.NewRegistry()
		for name, f := range map[string]kernel.Factory{
			api.ServiceConfigSource: func() any { return b.source },
			"test":                  func() any { return b },
		} {
			if err := r.Register(name, f); err != nil {
				t.Fatal(err)
			}
		}
		for _, register := range []func(*kernel.Registry) error{configstore.Register, log.Register, metrics.Register} {
			if err := register(r); err != nil {
				t.Fatal(err)
			}
		}
		b.host = kernel.NewHost(r, r.Names(), kernel.Options{Clock: b.clock, Values: []any{
			settings, &log.Output{Writer: &b.log},
		}})
		if err := b.host.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := b.host.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		}()
		synctest.Wait()
		test(t, b)
	})
}

func withMembership() *api.Settings {
	return &api.Settings{Node: "self", Zone: "za", Membership: api.ServiceAddress{Service: "http://list"}}
}

// Guards against a process without peers, as on a single machine, that waits for
// them, and against invalid content that replaces the last valid one or is not
// reported until a newer revision is active.
func TestSingleProcessUsesSource(t *testing.T) {
	withTestbed(t, &api.Settings{Node: "self", Zone: "za"}, func(t *testing.T, b *testbed) {
		if _, none := find[api.ConfigFreshness](b).Confirmed().(*configstore.NoConfigurationError); !none {
			t.Error("ready without a configuration")
		}
		b.source.revisions <- revision(3)
		synctest.Wait()
		if b.revision() != 3 || find[api.ConfigFreshness](b).Confirmed() != nil {
			t.Errorf("revision %d, %v", b.revision(), find[api.ConfigFreshness](b).Confirmed())
		}
		b.source.revisions <- api.RawConfig{Revision: 5, Files: map[string][]byte{"a.toml": []byte("zones = 1")}}
		b.source.revisions <- revision(2)
		synctest.Wait()
		if b.revision() != 3 {
			t.Errorf("revision %d replaced 3", b.revision())
		}
		for i, reported := range []bool{true, true, false} {
			refused, ok := find[api.ConfigRejection](b).LastRejection().(*configstore.RefusedError)
			if ok != reported || ok && refused.Revision != 5 || find[api.ConfigFreshness](b).Confirmed() != nil {
				t.Errorf("at revision %d: refused %v, confirmed %v", b.revision(), refused, find[api.ConfigFreshness](b).Confirmed())
			}
			b.source.revisions <- revision(uint64(4 + 2*i))
			synctest.Wait()
		}
	})
}

// Guards against a restarted process that reads from a stale replica of the source
// and activates a revision that is older than that of its peers.
func TestStaleReplicaDoesNotRevert(t *testing.T) {
	withTestbed(t, withMembership(), func(t *testing.T, b *testbed) {
		b.peers.setVersion("a", revision(7))
		b.setMembership()
		for _, n := range []uint64{2, 6} {
			select {
			case b.source.revisions <- revision(n):
			case <-time.After(time.Second):
				t.Fatal("the process does not watch the source")
			}
			synctest.Wait()
		}
		time.Sleep(2 * spread.CatchUpRoundTimeout)
		if b.revision() != 7 || find[api.ConfigFreshness](b).Confirmed() != nil {
			t.Errorf("revision %d, %v", b.revision(), find[api.ConfigFreshness](b).Confirmed())
		}
	})
}

// Guards against fetches that transfer unchanged files, and against a process that
// keeps its old revision after a delta with a wrong digest instead of fetching the
// full content.
func TestDeltaFallsBackToFullContent(t *testing.T) {
	for _, wrongBase := range []bool{false, true} {
		withTestbed(t, withMembership(), func(t *testing.T, b *testbed) {
			b.peers.wrongBase = wrongBase
			b.peers.setVersion("a", revision(7))
			b.setMembership()
			time.Sleep(2 * spread.CatchUpRoundTimeout)
			b.peers.setVersion("a", revision(8))
			time.Sleep(3 * spread.ExchangeInterval)
			if b.revision() != 8 {
				t.Errorf("revision %d", b.revision())
			}
			want := map[bool]int{false: 2, true: 3}[wrongBase]
			if b.peers.deltas != 1 || b.peers.fetches != want {
				t.Errorf("%d deltas in %d fetches", b.peers.deltas, b.peers.fetches)
			}
		})
	}
}

// Guards against a process that takes work under an outdated revision after a
// pause, because it does not exchange digests with its peers first.
func TestPauseRequiresPeerExchange(t *testing.T) {
	withTestbed(t, withMembership(), func(t *testing.T, b *testbed) {
		b.peers.setVersion("a", revision(7))
		b.setMembership()
		time.Sleep(2 * spread.CatchUpRoundTimeout)
		b.peers.setVersion("a", revision(8))
		var mayStart bool
		var decision api.OrderDecision
		check := find[api.OrderCheck](b)
		b.runOnLoop(func(time.Duration) {
			// Both run in one function on the loop. Otherwise a tick that is due now
			// could exchange digests with peers between the pause and the order.
			b.clock.pause(time.Minute)
			now := b.clock.Now()
			mayStart = check.MayStart(now)
			decision = check.CheckOrder(now, now, 7, true)
		})
		if mayStart || decision != api.OrderHold {
			t.Errorf("after a pause: may start %t, decision %d", mayStart, decision)
		}
		time.Sleep(2 * spread.CatchUpRoundTimeout)
		b.runOnLoop(func(now time.Duration) {
			mayStart = check.MayStart(now)
			decision = check.CheckOrder(now, now, 7, true)
		})
		if !mayStart || decision != api.OrderRefuse || b.revision() != 8 {
			t.Errorf("later: may start %t, decision %d under revision %d", mayStart, decision, b.revision())
		}
	})
}

// Guards against a process that sees a newer revision in a message from an agent
// and waits for its next exchange instead of fetching it from that agent.
func TestRevisionOnTrafficIsFetched(t *testing.T) {
	withTestbed(t, withMembership(), func(t *testing.T, b *testbed) {
		b.peers.setVersion("a", revision(7))
		b.peers.setVersion("b", revision(7))
		b.setMembership()
		time.Sleep(2 * spread.CatchUpRoundTimeout)
		b.peers.setVersion("b", revision(9))
		find[api.RevisionObserver](b).ObserveRevision("b", 9)
		synctest.Wait()
		if b.revision() != 9 {
			t.Errorf("revision %d", b.revision())
		}
	})
}

// Guards against requests that fail during a configuration change because they are
// not resent after a refusal by an agent with another revision, and against requests
// that are held forever for a revision that no peer has.
func TestResendAfterRefusal(t *testing.T) {
	withTestbed(t, withMembership(), func(t *testing.T, b *testbed) {
		b.peers.setVersion("a", revision(7))
		b.setMembership()
		time.Sleep(2 * spread.CatchUpRoundTimeout)
		check := find[api.ResendCheck](b)
		now := b.clock.Now()
		for _, c := range []struct {
			orderRevision, agentRevision uint64
			after                        time.Duration
			want                         api.ResendDecision
		}{
			{orderRevision: 6, agentRevision: 7, want: api.ResendNow},
			{orderRevision: 7, agentRevision: 6, want: api.ResendElsewhere},
			{orderRevision: 7, agentRevision: 9, want: api.ResendHold},
			{orderRevision: 7, agentRevision: 9, after: spread.ResendHoldTimeout, want: api.ResendGiveUp},
		} {
			r := api.StaleRefusal{RefusedAt: now - c.after, OrderRevision: c.orderRevision, AgentRevision: c.agentRevision}
			if got := check.CheckResend(t.Context(), r); got != c.want {
				t.Errorf("%+v: decision %d", c, got)
			}
		}
	})
}
