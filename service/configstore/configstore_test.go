package configstore_test

import (
	"context"
	"fmt"
	"io"
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

// platform is a configuration service whose answers the test chooses.
type platform struct{ answers chan api.RawConfig }

func (p *platform) Watch(ctx context.Context, deliver func(api.RawConfig), _ func(error)) {
	for {
		select {
		case raw := <-p.answers:
			deliver(raw)
		case <-ctx.Done():
			return
		}
	}
}

// peers answers as the processes that the test describes.
type peers struct {
	mu sync.Mutex
	// versions is what each peer has in force; others do not answer.
	versions map[string]api.ConfigVersion
	files    map[api.ConfigVersion]map[string][]byte
	// spoil lets peers send deltas to another base than the one named.
	spoil   bool
	asked   int
	deltas  int
	fetches int
}

// UnreachedError reports a peer that does not answer.
type UnreachedError struct{}

func (*UnreachedError) Error() string { return "no answer" }

func (p *peers) Exchange(_ context.Context, peer string) (api.ConfigVersion, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	v, ok := p.versions[peer]
	if !ok {
		return v, &UnreachedError{}
	}
	return v, nil
}

func (p *peers) Fetch(_ context.Context, peer string, want, base api.ConfigVersion) (api.ConfigContent, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.versions[peer]
	if !ok || v != want {
		return api.ConfigContent{}, &UnreachedError{}
	}
	p.fetches++
	old, known := p.files[base]
	if !known {
		return api.ConfigContent{Version: v, Files: p.files[v]}, nil
	}
	p.deltas++
	d := spread.Diff(old, p.files[v])
	if p.spoil {
		d.Changed = spread.Files{"90-other.toml": []byte("# other\n")}
	}
	return api.ConfigContent{Version: v, Delta: true, Files: d.Changed, Removed: d.Removed}, nil
}

func (p *peers) set(peer string, raw api.RawConfig) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := api.ConfigVersion{Revision: raw.Revision, Content: spread.Files(raw.Files).Digest()}
	p.versions[peer], p.files[v] = v, raw.Files
}

// revision is valid content that differs by its number.
func revision(n uint64) api.RawConfig {
	return api.RawConfig{Revision: n, Files: map[string][]byte{
		"10-pool.toml": []byte("[zones.za]\nregion = \"r\"\nstate = \"in\"\n"),
		"20-desk.toml": fmt.Appendf(nil, "[members.desk]\nshare = %d\n", n),
	}}
}

type bed struct {
	t        *testing.T
	host     *kernel.Host
	platform *platform
	peers    *peers
	clock    *clock
	calls    *kernel.Mailbox[func(now time.Duration)]
}

// clock can jump, as the clock of a process that was paused does.
type clock struct {
	kernel.Clock
	mu   sync.Mutex
	jump time.Duration
}

func (c *clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now() + c.jump
}

func (c *clock) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jump += d
}

// Provision lets the test run functions on the control loop.
func (b *bed) Provision(c *kernel.Context) error {
	store, err := kernel.Lookup[api.ConfigGossip](c, api.ServiceConfigStore)
	if err != nil {
		return err
	}
	b.calls = kernel.NewMailbox(c.Loop(), "test", 4, kernel.Wait, func(now time.Duration, f func(time.Duration)) { f(now) })
	store.SetPeerClient(b.peers)
	return nil
}

func (b *bed) on(f func(now time.Duration)) {
	b.t.Helper()
	if err := b.calls.Post(b.t.Context(), f); err != nil {
		b.t.Fatal(err)
	}
	synctest.Wait()
}

func find[T any](b *bed) T {
	b.t.Helper()
	s, err := kernel.Find[T](b.host, api.ServiceConfigStore)
	if err != nil {
		b.t.Fatal(err)
	}
	return s
}

func (b *bed) revision() uint64 { return find[api.ConfigGossip](b).Version().Revision }

// list gives the process its membership list: itself and two others.
func (b *bed) list() {
	var vms []api.VM
	for _, name := range []string{"a", "b", "self"} {
		vms = append(vms, api.VM{Name: name, Address: name, Zone: "za", State: api.VMLive})
	}
	b.on(func(now time.Duration) { find[api.ConfigGossip](b).UpdateMembers(now, vms) })
}

func run(t *testing.T, settings *api.Settings, test func(t *testing.T, b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{
			t:        t,
			platform: &platform{answers: make(chan api.RawConfig)},
			peers: &peers{
				versions: map[string]api.ConfigVersion{}, files: map[api.ConfigVersion]map[string][]byte{},
			},
			clock: &clock{Clock: kernel.NewRuntimeClock()},
		}
		r := kernel.NewRegistry()
		for name, f := range map[string]kernel.Factory{
			api.ServiceConfigSource: func() any { return b.platform },
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
			settings, &log.Output{Writer: io.Discard},
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

func pooled() *api.Settings {
	return &api.Settings{Node: "self", Zone: "za", Membership: api.ServiceAddress{Service: "http://list"}}
}

// A process alone, as on a single machine, must not wait for peers, and a
// content that does not validate must leave the last good one in force
// and show until a newer one is.
func TestAloneTakesTheSource(t *testing.T) {
	run(t, &api.Settings{Node: "self", Zone: "za"}, func(t *testing.T, b *bed) {
		if _, none := find[api.ConfigFreshness](b).Confirmed().(*configstore.NoneError); !none {
			t.Error("ready without a configuration")
		}
		b.platform.answers <- revision(3)
		synctest.Wait()
		if b.revision() != 3 || find[api.ConfigFreshness](b).Confirmed() != nil {
			t.Errorf("revision %d, %v", b.revision(), find[api.ConfigFreshness](b).Confirmed())
		}
		b.platform.answers <- api.RawConfig{Revision: 5, Files: map[string][]byte{"a.toml": []byte("zones = 1")}}
		b.platform.answers <- revision(2)
		synctest.Wait()
		if b.revision() != 3 {
			t.Errorf("revision %d replaced 3", b.revision())
		}
		for last, shows := range []bool{true, true, false} {
			refused, ok := find[api.ConfigRejection](b).LastRejection().(*configstore.RefusedError)
			if ok != shows || ok && refused.Revision != 5 || find[api.ConfigFreshness](b).Confirmed() != nil {
				t.Errorf("at revision %d: refused %v, confirmed %v", b.revision(), refused, find[api.ConfigFreshness](b).Confirmed())
			}
			b.platform.answers <- revision(uint64(4 + 2*last))
			synctest.Wait()
		}
	})
}

// A process that restarts beside a stale replica must come up with what its
// peers have, and never go back.
func TestStaleReplicaDoesNotRevert(t *testing.T) {
	run(t, pooled(), func(t *testing.T, b *bed) {
		b.peers.set("a", revision(7))
		b.list()
		for _, n := range []uint64{2, 6} {
			select {
			case b.platform.answers <- revision(n):
			case <-time.After(time.Second):
				t.Fatal("the process of a small zone does not watch")
			}
			synctest.Wait()
		}
		time.Sleep(2 * spread.CatchUpRoundTimeout)
		if b.revision() != 7 || find[api.ConfigFreshness](b).Confirmed() != nil {
			t.Errorf("revision %d, %v", b.revision(), find[api.ConfigFreshness](b).Confirmed())
		}
	})
}

// A changed file must travel alone, and a delta that does not lead to the
// digest named must be replaced by the whole content.
func TestDeltaFallsBackToTheWhole(t *testing.T) {
	for _, spoil := range []bool{false, true} {
		run(t, pooled(), func(t *testing.T, b *bed) {
			b.peers.spoil = spoil
			b.peers.set("a", revision(7))
			b.list()
			time.Sleep(2 * spread.CatchUpRoundTimeout)
			b.peers.set("a", revision(8))
			time.Sleep(3 * spread.ExchangeInterval)
			if b.revision() != 8 {
				t.Errorf("revision %d", b.revision())
			}
			want := map[bool]int{false: 2, true: 3}[spoil]
			if b.peers.deltas != 1 || b.peers.fetches != want {
				t.Errorf("%d deltas in %d fetches", b.peers.deltas, b.peers.fetches)
			}
		})
	}
}

// A process that was paused must not take work before it has asked peers, and
// then act on what they have.
func TestPauseAsksPeersFirst(t *testing.T) {
	run(t, pooled(), func(t *testing.T, b *bed) {
		b.peers.set("a", revision(7))
		b.list()
		time.Sleep(2 * spread.CatchUpRoundTimeout)
		b.peers.set("a", revision(8))
		var may bool
		var verdict api.OrderDecision
		check := find[api.OrderCheck](b)
		b.on(func(time.Duration) {
			// On the loop, so that no tick that is due at this instant asks peers
			// between the pause and the order.
			b.clock.pause(time.Minute)
			now := b.clock.Now()
			may = check.MayStart(now)
			verdict = check.CheckOrder(now, now, 7, true)
		})
		if may || verdict != api.OrderHold {
			t.Errorf("after a pause work may start: %t, verdict %d", may, verdict)
		}
		time.Sleep(2 * spread.CatchUpRoundTimeout)
		b.on(func(now time.Duration) {
			may = check.MayStart(now)
			verdict = check.CheckOrder(now, now, 7, true)
		})
		if !may || verdict != api.OrderRefuse || b.revision() != 8 {
			t.Errorf("later: may start %t, verdict %d under revision %d", may, verdict, b.revision())
		}
	})
}

// A revision that an agent names must be had from that agent at once, also by a
// process that no watcher tells.
func TestRevisionOnTrafficIsFetched(t *testing.T) {
	run(t, pooled(), func(t *testing.T, b *bed) {
		b.peers.set("a", revision(7))
		b.peers.set("b", revision(7))
		b.list()
		time.Sleep(2 * spread.CatchUpRoundTimeout)
		b.peers.set("b", revision(9))
		find[api.RevisionObserver](b).ObserveRevision("b", 9)
		synctest.Wait()
		if b.revision() != 9 {
			t.Errorf("revision %d", b.revision())
		}
	})
}

// A refusal under an older revision costs nothing and is routed again at once;
// one that names a revision nobody has must end.
func TestResendAfterRefusal(t *testing.T) {
	run(t, pooled(), func(t *testing.T, b *bed) {
		b.peers.set("a", revision(7))
		b.list()
		time.Sleep(2 * spread.CatchUpRoundTimeout)
		check := find[api.ResendCheck](b)
		refused := b.clock.Now()
		for _, c := range []struct {
			sent, theirs uint64
			after        time.Duration
			want         api.ResendDecision
		}{
			{sent: 6, theirs: 7, want: api.ResendNow},
			{sent: 7, theirs: 6, want: api.ResendElsewhere},
			{sent: 7, theirs: 9, want: api.ResendHold},
			{sent: 7, theirs: 9, after: spread.ResendHoldTimeout, want: api.ResendGiveUp},
		} {
			r := api.StaleRefusal{RefusedAt: refused - c.after, OrderRevision: c.sent, AgentRevision: c.theirs}
			if got := check.CheckResend(t.Context(), r); got != c.want {
				t.Errorf("%+v: verdict %d", c, got)
			}
		}
	})
}
