package experts

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/placement"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

const testPass = 20 * time.Millisecond

// testRank is one rank of a testGroup.
type testRank struct {
	version, prepared, armed, armedStep, held, token uint64
	maps                                             map[uint64][][][]int
	preparedAt                                       time.Time
	counts                                           []uint64
}

// testGroup simulates the engines of a group, as their side processes see them.
type testGroup struct {
	mu      sync.Mutex
	profile api.EngineProfile
	// popular is the first of the popular experts, a sixteenth of all but at least three.
	popular int
	step    uint64
	ranks   map[string]*testRank
	// addresses are those of the engines by rank.
	addresses []string
	// mixed is set if a pass began with different maps on two ranks.
	mixed bool
}

func newTestGroup(ranks int, profile api.EngineProfile) *testGroup {
	g := &testGroup{profile: profile, ranks: make(map[string]*testRank)}
	shape := placement.Shape{Ranks: ranks, Experts: profile.Experts, Layers: profile.Layers, Slots: profile.SlotsPerRank, RanksPerVM: 1}
	for rank := range ranks {
		address := fmt.Sprintf("127.0.1.%d:9000", rank+1)
		g.addresses = append(g.addresses, address)
		g.ranks[address] = &testRank{
			maps: map[uint64][][][]int{0: expertplan.InitialMap(shape)}, counts: make([]uint64, profile.Layers*profile.Experts),
		}
	}
	return g
}

// pass begins a forward pass unless a rank holds it, and counts the choices of experts.
func (g *testGroup) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.held == g.step+1 {
			return
		}
	}
	g.step++
	first := g.ranks[g.addresses[0]]
	for _, address := range g.addresses {
		r := g.ranks[address]
		if r.armed != 0 && r.armedStep == g.step {
			r.version, r.armed, r.prepared = r.armed, 0, 0
		}
		g.mixed = g.mixed || r.version != first.version
		for i := range r.counts {
			r.counts[i] += 10
			if g.isPopular(i % g.profile.Experts) {
				r.counts[i] += 60
			}
		}
	}
}

func (g *testGroup) isPopular(expert int) bool {
	return expert >= g.popular && expert < g.popular+max(3, g.profile.Experts/16)
}

// imbalance returns the load of the most loaded rank over the mean, on average over the
// layers.
func (g *testGroup) imbalance() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[g.addresses[0]]
	sum := 0.0
	for _, layer := range r.maps[r.version] {
		holders := make(map[int]float64)
		for _, experts := range layer {
			for _, e := range experts {
				holders[e]++
			}
		}
		most, total := 0.0, 0.0
		for _, experts := range layer {
			load := 0.0
			for _, e := range experts {
				share := 10.0
				if g.isPopular(e) {
					share = 70
				}
				load += share / holders[e]
			}
			most, total = max(most, load), total+load
		}
		sum += most / total * float64(len(layer))
	}
	return sum / float64(g.profile.Layers)
}

func (g *testGroup) setPopular(first int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.popular = first
}

func nonZero(x uint64) *uint64 {
	if x == 0 {
		return nil
	}
	return &x
}

func (g *testGroup) ReadRank(_ context.Context, address string) (api.RankReport, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[address]
	report := api.RankReport{
		Address: address, Group: "g", Epoch: 1, Rank: slices.Index(g.addresses, address), Size: len(g.ranks), Formed: true, Step: g.step,
		MapVersion: r.version, ArmedMapVersion: nonZero(r.armed), HeldStep: nonZero(r.held), Running: 10, Pace: 1,
	}
	if time.Now().After(r.preparedAt) {
		report.PreparedMapVersion = nonZero(r.prepared)
	}
	return report, nil
}

func (g *testGroup) ReadCounts(_ context.Context, address string) ([]uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.ranks[address].counts), nil
}

func (g *testGroup) ReadExperts(_ context.Context, address string) ([][]int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[address]
	var experts [][]int
	for _, layer := range r.maps[r.version] {
		experts = append(experts, layer[slices.Index(g.addresses, address)])
	}
	return experts, nil
}

func (g *testGroup) OrderRank(_ context.Context, address string, o api.RankOrder) (api.RankResult, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[address]
	if o.Token < r.token {
		return api.RankFenced, nil
	}
	r.token = o.Token
	switch o.Op {
	case api.RankPrepare:
		r.maps[o.MapVersion], r.prepared = o.Map, o.MapVersion
		r.preparedAt = time.Now().Add(time.Duration(g.newExperts(address, o.Map)) * g.profile.CopyTime)
	case api.RankArm:
		if r.prepared != o.MapVersion || o.Step <= g.step {
			return api.RankRefused, nil
		}
		r.armed, r.armedStep = o.MapVersion, o.Step
	case api.RankDisarm:
		r.armed = 0
	case api.RankHold:
		if o.Step <= g.step {
			return api.RankRefused, nil
		}
		r.held = o.Step
	case api.RankRelease:
		if r.held == o.Step {
			r.held = 0
		}
	}
	return api.RankDone, nil
}

// newExperts returns the number of experts that a rank has to copy for a map.
func (g *testGroup) newExperts(address string, next [][][]int) int {
	r, rank, n := g.ranks[address], slices.Index(g.addresses, address), 0
	for l, layer := range next {
		for _, e := range layer[rank] {
			if !slices.Contains(r.maps[r.version][l][rank], e) {
				n++
			}
		}
	}
	return n
}

type testMetrics struct{ api.Metrics }

type testCounter struct{}

func (testCounter) Add(int64) {}

func (testMetrics) Counter(string, string) api.Counter { return testCounter{} }

// startProcess starts the side process of a rank and returns its service.
func (g *testGroup) startProcess(t *testing.T, rank, port int) *service {
	t.Helper()
	s := &service{}
	view := newView(&g.profile, g.addresses...)
	r := kernel.NewRegistry()
	for name, value := range map[string]any{
		api.ServiceExperts: s, api.ServiceDiscovery: &fakeDiscovery{view: view}, api.ServiceRankEngine: g,
		api.ServiceLog: discardLog{}, api.ServiceMetrics: testMetrics{},
	} {
		if err := r.Register(name, func() any { return value }); err != nil {
			t.Fatal(err)
		}
	}
	settings := &api.Settings{
		Listen: api.Listen{Link: fmt.Sprintf("127.0.1.%d:%d", rank+1, port)},
		Edge:   api.EdgeSettings{LocalService: testService, LocalUpstreamAddress: g.addresses[rank]},
	}
	host := kernel.NewHost(r, r.Names(), kernel.Options{Values: []any{settings}})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = host.Stop(context.Background()) })
	return s
}

// until waits for a condition.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(20 * time.Second)
	for !condition() {
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatal("not within 20 s: " + what)
		}
	}
}

// Guards against a group whose processes do not follow a shift of demand, or do not tell
// edges of the imbalance after the next one; and against a pass with two maps.
func TestGroupFollowsShifts(t *testing.T) {
	g := newTestGroup(6, api.EngineProfile{Layers: 2, Experts: 12, SlotsPerRank: 4, StagedPerRank: 2, CopyTime: 10 * time.Millisecond})
	free, err := net.Listen("tcp", "127.0.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := free.Addr().(*net.TCPAddr).Port
	_ = free.Close()
	var processes []*service
	for rank := range g.addresses {
		processes = append(processes, g.startProcess(t, rank, port))
	}
	go func() {
		ticker := time.NewTicker(testPass)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				g.pass()
			case <-t.Context().Done():
				return
			}
		}
	}()
	fits := func() bool { return g.imbalance() < 1.25 }
	until(t, "map for the first demand", fits)
	for _, popular := range []int{4, 9} {
		time.Sleep(500 * time.Millisecond)
		g.setPopular(popular)
		shifted, startedAt := g.imbalance(), time.Now()
		until(t, "map for the next demand", fits)
		t.Logf("imbalance %.2f for %v", shifted, time.Since(startedAt))
	}
	until(t, "published imbalance", func() bool {
		reply, err := processes[1].ReadLoad(t.Context(), wire.RankLoadRequest{})
		return err == nil && reply.Load.ShiftImbalance > 1.25
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mixed {
		t.Error("a pass began with two maps")
	}
}
