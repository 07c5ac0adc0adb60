package peers_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/devcert"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/linkserver"
	"github.com/mulberryfork/mulberryfork/service/metrics"
	"github.com/mulberryfork/mulberryfork/service/peers"
	"github.com/mulberryfork/mulberryfork/service/trust"
)

const testTimeout = 20 * time.Second

// process is one process with the real transport and fake services.
type process struct {
	name, role string
	calls      api.PeerClient
	address    string
	metrics    *metrics.Service
	subscriber func(time.Duration, []api.VM)

	mu           sync.Mutex
	version      api.ConfigVersion
	files        map[string][]byte
	peerVersions map[string]api.ConfigVersion
	decision     api.DigestDecision
	seqs         []uint64
	observations []api.Observation
	suspicions   []api.Suspicion
}

// suspicionStore is a fake of the routing service of a router.
type suspicionStore struct{ *process }

func (s suspicionStore) MergeSuspicions(suspicions []api.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspicions = append(s.suspicions, suspicions...)
}
func (s suspicionStore) KnownSuspicions(_ context.Context, n int) []api.Suspicion {
	return make([]api.Suspicion, n, n+1)[:min(n, len(s.name))]
}

func (p *process) Current() *api.Snapshot                    { return nil }
func (p *process) Ready() <-chan struct{}                    { return nil }
func (p *process) WaitRevision(context.Context, uint64) bool { return true }
func (p *process) SetPeerClient(c api.PeerClient)            { p.calls = c }
func (p *process) UpdateMembers(time.Duration, []api.VM)     {}
func (p *process) Version() api.ConfigVersion                { return p.version }
func (p *process) SetUrgentSender(func([]string))            {}
func (p *process) Outgoing() []api.Observation               { return []api.Observation{{VM: "gone", Leaving: true}} }
func (p *process) ObservePeerVersion(_ context.Context, n string, v api.ConfigVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerVersions[n] = v
}
func (p *process) Content(want, _ api.ConfigVersion) (api.ConfigContent, bool) {
	return api.ConfigContent{Version: p.version, Files: p.files}, want == p.version
}
func (p *process) MergeDigest(_ context.Context, d api.PeerDigest, direct bool) api.DigestDecision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !direct {
		p.seqs = append(p.seqs, d.Seq)
	}
	p.observations = d.Observations
	return p.decision
}

// store and membership are separate types, because the interfaces that they
// implement have a method Subscribe with different signatures.
type store struct{ *process }

func (store) Subscribe(func(time.Duration, *api.Snapshot)) {}

type membership struct{ *process }

func (membership) Members() []api.VM                           { return nil }
func (m membership) Subscribe(f func(time.Duration, []api.VM)) { m.subscriber = f }
func (membership) Leaving(string) bool                         { return false }
func (membership) Down(string) bool                            { return false }

func start(t *testing.T, authority *devcert.Authority, name, role string) *process {
	t.Helper()
	cert, err := authority.Issue(role, name)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, role: role, peerVersions: map[string]api.ConfigVersion{}, metrics: metrics.New()}
	r := kernel.NewRegistry()
	for service, f := range map[string]kernel.Factory{
		api.ServiceConfigStore: func() any { return store{p} },
		api.ServiceMembership:  func() any { return membership{p} },
		api.ServiceRouting:     func() any { return suspicionStore{p} },
		api.ServiceMetrics:     func() any { return p.metrics },
	} {
		if err := r.Register(service, f); err != nil {
			t.Fatal(err)
		}
	}
	for _, register := range []func(*kernel.Registry) error{linkserver.Register, peers.Register, trust.Register} {
		if err := register(r); err != nil {
			t.Fatal(err)
		}
	}
	settings := &api.Settings{Node: name, Listen: api.Listen{Link: "127.0.0.1:0"}}
	host := kernel.NewHost(r, r.Names(), kernel.Options{Values: []any{
		settings, &trust.Credentials{Certificate: cert, Roots: authority.Roots},
	}})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := host.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	server, err := kernel.Find[interface{ Address() string }](host, api.ServiceTransportServer)
	if err != nil {
		t.Fatal(err)
	}
	p.address = server.Address()
	return p
}

func (p *process) counterValue(t *testing.T, name string) int {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal([]byte(p.metrics.JSON()), &all); err != nil {
		t.Fatal(err)
	}
	n, _ := all[name].(float64)
	return int(n)
}

func (p *process) vm() api.VM {
	return api.VM{Name: p.name, Address: p.address, Role: p.role, State: api.VMLive}
}

func startPair(t *testing.T) (context.Context, *devcert.Authority, *process, *process) {
	t.Helper()
	authority, err := devcert.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	a, b := start(t, authority, "a", api.RoleRouter), start(t, authority, "b", api.RoleRouter)
	a.subscriber(0, []api.VM{a.vm(), b.vm()})
	return ctx, authority, a, b
}

// Guards against digests and content that arrive incomplete, and against repeated
// sequence numbers, which receivers treat as replays.
func TestExchangeAndFetch(t *testing.T) {
	ctx, _, a, b := startPair(t)
	a.version = api.ConfigVersion{Revision: 4, Digest: 44}
	b.version, b.files = api.ConfigVersion{Revision: 5, Digest: 55}, map[string][]byte{"x.toml": []byte("x")}
	for range 3 {
		if v, err := a.calls.Exchange(ctx, "b"); err != nil || v != b.version {
			t.Fatalf("got %v, %v", v, err)
		}
	}
	if b.peerVersions["a"] != a.version || len(b.observations) != 1 || b.observations[0].VM != "gone" {
		t.Errorf("b received versions %v and observations %v", b.peerVersions, b.observations)
	}
	if len(b.seqs) != 3 || b.seqs[0] >= b.seqs[1] || b.seqs[1] >= b.seqs[2] {
		t.Errorf("digests numbered %v", b.seqs)
	}
	if len(a.suspicions) != 3 || len(b.suspicions) != 3 {
		t.Errorf("a merged %d suspicions, b %d, want one with each digest", len(a.suspicions), len(b.suspicions))
	}
	c, err := a.calls.Fetch(ctx, "b", b.version, a.version)
	if err != nil || c.Version != b.version || string(c.Files["x.toml"]) != "x" {
		t.Errorf("fetched %+v, %v", c, err)
	}
	if _, err = a.calls.Fetch(ctx, "b", a.version, a.version); err == nil {
		t.Error("content that is not active was sent")
	}
}

// Guards against a refused digest that isn't counted or whose content is used, and
// against calls to a failed peer before its backoff ends.
func TestRefusedDigestIsCounted(t *testing.T) {
	ctx, _, a, b := startPair(t)
	b.decision = api.DigestReplayed
	if _, err := a.calls.Exchange(ctx, "b"); err == nil {
		t.Error("the exchange of a refused digest succeeded")
	}
	if len(b.peerVersions) != 0 || len(b.suspicions) != 0 || b.counterValue(t, "peer_replayed") != 1 {
		t.Errorf("received versions %v, counted %d", b.peerVersions, b.counterValue(t, "peer_replayed"))
	}
	var backoff *peers.BackoffError
	if _, err := a.calls.Exchange(ctx, "b"); !errors.As(err, &backoff) {
		t.Errorf("a call during backoff: %v", err)
	}
	var unknown *peers.UnknownPeerError
	if _, err := a.calls.Exchange(ctx, "c"); !errors.As(err, &unknown) {
		t.Errorf("an unknown peer: %v", err)
	}
}

// Guards against exchanges with a process whose certificate comes from another
// authority or has another role than the membership list or the digest.
func TestWrongRoleOrAuthorityIsRefused(t *testing.T) {
	ctx, authority, a, _ := startPair(t)
	agent := start(t, authority, "c", api.RoleAgent)
	other, err := devcert.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	foreign := start(t, other, "d", api.RoleRouter)
	listed := agent.vm()
	listed.Role = api.RoleRouter
	a.subscriber(0, []api.VM{listed, foreign.vm()})
	for _, name := range []string{"c", "d"} {
		if _, err := a.calls.Exchange(ctx, name); err == nil {
			t.Errorf("the exchange with %s succeeded", name)
		}
	}
	// Without a work service, c sends digests as a router, but its certificate has
	// the role of an agent.
	agent.subscriber(0, []api.VM{a.vm()})
	if _, err := agent.calls.Exchange(ctx, "a"); err == nil || a.counterValue(t, "peer_foreign") != 1 {
		t.Errorf("a digest in a foreign role: %v, counted %d", err, a.counterValue(t, "peer_foreign"))
	}
}

// Guards against a call that ignores its deadline, so that a peer that accepts
// connections but never responds blocks the caller.
func TestSilentPeerTimesOut(t *testing.T) {
	ctx, _, a, _ := startPair(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	a.subscriber(0, []api.VM{{Name: "s", Address: silent.Addr().String(), Role: api.RoleRouter}})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, err := a.calls.Exchange(short, "s"); err == nil || ctx.Err() != nil {
		t.Errorf("got %v", err)
	}
}
