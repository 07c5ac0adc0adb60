//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The engine profile of bodky-hq.
const (
	groupSets    = 3
	groupExperts = 96
	groupPlaces  = 11
	groupSpare   = 4
	copyTime     = 400 * time.Millisecond
	// reportLag is the age of what a rank reports to callers on other machines, "some hundred ms".
	reportLag = 400 * time.Millisecond
	passTime  = 80 * time.Millisecond
	// linkDelay is the time between zones one way, of smaes.
	linkDelay = 1400 * time.Microsecond
)

// rank is a worker that runs in step with the others of its group.
type rank struct {
	index, mapVersion             int
	placement                     [][][]int
	content                       string
	prepared, copying             *preparedMap
	armedVersion, armedStep, held uint64
	highestToken, newestVersion   uint64
	counts                        []uint64
	requests                      int
	history                       []pastReport
}

type preparedMap struct {
	version   uint64
	placement [][][]int
	content   string
	readyAt   time.Time
}

type pastReport struct {
	at     time.Time
	report map[string]any
}

// group is a stand-in for a group of model workers as the platform's pages describe them.
type group struct {
	rec    *record
	mu     sync.Mutex
	ranks  []*rank
	step   uint64
	random *rand.Rand
	// popularity is the share of each expert, by set.
	popularity [][]float64
	switches   int
	mixed      string
	stopped    chan struct{}
	// onArm is called once, after the next order to arm was carried out.
	onArm func()
}

func newGroup(rec *record, size int, seed uint64) *group {
	g := &group{rec: rec, random: rand.New(rand.NewPCG(seed, 1)), stopped: make(chan struct{})}
	initial := make([][][]int, groupSets)
	for l := range initial {
		initial[l] = make([][]int, size)
		for e := range groupExperts {
			initial[l][e%size] = append(initial[l][e%size], e)
		}
	}
	for i := range size {
		g.ranks = append(g.ranks, &rank{index: i, placement: initial, content: contentOf(initial), counts: make([]uint64, groupSets*groupExperts)})
	}
	g.shiftDemand()
	return g
}

// changes returns the number of changes of the map.
func (g *group) changes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.switches
}

// brokenBy returns the first pass that began with two maps, "" if there is none.
func (g *group) brokenBy() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed
}

// strikeOnArm has f called after the next order to arm.
func (g *group) strikeOnArm(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onArm = f
}

func contentOf(placement [][][]int) string {
	data, _ := json.Marshal(placement)
	return string(data)
}

// shiftDemand makes other experts popular.
func (g *group) shiftDemand() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.popularity = make([][]float64, groupSets)
	for l := range g.popularity {
		g.popularity[l] = make([]float64, groupExperts)
		for position, e := range g.random.Perm(groupExperts) {
			g.popularity[l][e] = 1 / math.Pow(float64(position+1), 1.1)
		}
	}
}

// run begins passes until the group is stopped.
func (g *group) run() {
	next := time.Now()
	for {
		select {
		case <-g.stopped:
			return
		case <-time.After(time.Millisecond):
		}
		if now := time.Now(); now.After(next) && g.beginPass(now) {
			next = now.Add(passTime)
		}
	}
}

func (g *group) beginPass(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishCopies(now)
	for _, r := range g.ranks {
		if r.held == g.step+1 {
			return false
		}
	}
	g.step++
	switched := 0
	for _, r := range g.ranks {
		if r.armedVersion != 0 && r.armedStep == g.step {
			r.mapVersion, r.placement, r.content = int(r.armedVersion), r.prepared.placement, r.prepared.content
			r.armedVersion, r.prepared = 0, nil
			switched++
		}
		r.requests = 6 + g.random.IntN(6)
		for l := range groupSets {
			for e := range groupExperts {
				r.counts[l*groupExperts+e] += uint64(g.popularity[l][e]*400 + g.random.Float64())
			}
		}
		r.remember(now, g.step)
	}
	if switched > 0 {
		g.switches++
		g.rec.log("pass %d begins: %d of %d ranks switch", g.step, switched, len(g.ranks))
	}
	first := g.ranks[0]
	for _, r := range g.ranks {
		if (r.mapVersion != first.mapVersion || r.content != first.content) && g.mixed == "" {
			g.mixed = fmt.Sprintf("pass %d begins while rank 0 has map %d and rank %d has map %d (same content: %v)",
				g.step, first.mapVersion, r.index, r.mapVersion, r.content == first.content)
			g.rec.log("MAP broken: %s", g.mixed)
		}
	}
	return true
}

func (g *group) finishCopies(now time.Time) {
	for _, r := range g.ranks {
		if r.copying != nil && now.After(r.copying.readyAt) {
			r.prepared, r.copying = r.copying, nil
			r.remember(now, g.step)
		}
	}
}

// remember keeps the present report for callers on other machines.
func (r *rank) remember(now time.Time, step uint64) {
	r.history = append(r.history, pastReport{at: now, report: r.report(step)})
	for len(r.history) > 1 && now.Sub(r.history[1].at) > time.Second {
		r.history = r.history[1:]
	}
}

func (r *rank) report(step uint64) map[string]any {
	report := map[string]any{
		"inferenceStage": "colocated", "busy": false, "sequenceNumber": 1, "queuedRequests": 0, "activeRequests": r.requests,
		"kvCacheUsed": 40000, "kvCacheTotal": 280000, "kvHandles": 0, "pace": 1, "step": step, "placementMap": r.mapVersion,
		"preloaded": nil, "activated": nil, "held": nil,
	}
	if r.prepared != nil {
		report["preloaded"] = r.prepared.version
	}
	if r.armedVersion != 0 {
		report["activated"] = r.armedVersion
	}
	if r.held != 0 {
		report["held"] = r.held
	}
	return report
}

func (g *group) serve(r *rank, isLocal bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		g.mu.Lock()
		g.finishCopies(now)
		report := r.report(g.step)
		if !isLocal {
			for _, past := range r.history {
				if now.Sub(past.at) >= reportLag {
					report = past.report
				}
			}
		}
		g.mu.Unlock()
		report["group"] = map[string]any{"name": "g0", "epoch": 1, "rank": r.index, "lifecycleState": "open"}
		report["size"] = len(g.ranks)
		report["born"] = 1
		writeJSON(w, report)
	})
	mux.HandleFunc("GET /-/picked", func(w http.ResponseWriter, q *http.Request) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if q.URL.Query().Get("lists") == "" {
			writeJSON(w, map[string]any{"step": g.step, "epoch": 1, "expertCounts": r.counts})
			return
		}
		writeJSON(w, map[string]any{"step": g.step, "epoch": 1, "placementMap": map[string]any{"version": r.mapVersion, "experts": expertsOf(r.placement, r.index)}})
	})
	mux.HandleFunc("POST /-/order", func(w http.ResponseWriter, q *http.Request) {
		var o order
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(g.obey(r, o))
	})
	return mux
}

// expertsOf returns the experts of a rank by set.
func expertsOf(placement [][][]int, index int) [][]int {
	var experts [][]int
	for _, set := range placement {
		experts = append(experts, set[index])
	}
	return experts
}

// order is an order to a rank.
type order struct {
	Operation    string    `json:"operation"`
	FencingToken uint64    `json:"fencingToken"`
	Epoch        uint64    `json:"epoch"`
	Version      uint64    `json:"version"`
	Step         uint64    `json:"step"`
	PlacementMap [][][]int `json:"placementMap"`
}

// obey carries an order out and returns the status of the answer.
func (g *group) obey(r *rank, o order) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.finishCopies(now)
	status := g.execute(r, o, now)
	if status < 300 {
		r.highestToken = max(r.highestToken, o.FencingToken)
	}
	r.remember(now, g.step)
	g.rec.log("rank %d: order %s, version %d, step %d, token %d: %d", r.index, o.Operation, o.Version, o.Step, o.FencingToken, status)
	if o.Operation == "arm" && status < 300 && g.onArm != nil {
		go g.onArm()
		g.onArm = nil
	}
	return status
}

func (g *group) execute(r *rank, o order, now time.Time) int {
	switch {
	case o.Epoch != 0 && o.Epoch != 1:
		return http.StatusConflict
	case o.FencingToken < r.highestToken:
		return http.StatusPreconditionFailed
	}
	switch o.Operation {
	case "prepare":
		content := contentOf(o.PlacementMap)
		for _, known := range []*preparedMap{r.copying, r.prepared} {
			if known != nil && known.version == o.Version && known.content == content {
				return http.StatusOK
			}
		}
		if o.Version <= r.newestVersion || r.armedVersion != 0 || !r.fits(o.PlacementMap) {
			return http.StatusConflict
		}
		r.newestVersion = o.Version
		r.copying = &preparedMap{version: o.Version, placement: o.PlacementMap, content: content, readyAt: now.Add(copyTime)}
		return http.StatusAccepted
	case "arm":
		if r.armedVersion == o.Version && r.armedStep == o.Step {
			return http.StatusOK
		}
		if r.prepared == nil || r.prepared.version != o.Version || o.Step <= g.step {
			return http.StatusConflict
		}
		r.armedVersion, r.armedStep = o.Version, o.Step
		return http.StatusAccepted
	case "disarm":
		if uint64(r.mapVersion) == o.Version && o.Version != 0 {
			return http.StatusConflict
		}
		if r.armedVersion == o.Version {
			r.armedVersion = 0
		}
		return http.StatusOK
	case "holdRequest":
		if o.Step <= g.step || r.held != 0 && r.held != o.Step {
			return http.StatusConflict
		}
		r.held = o.Step
		return http.StatusAccepted
	case "go":
		if r.held == o.Step {
			r.held = 0
		}
		return http.StatusOK
	}
	return http.StatusBadRequest
}

// fits reports whether a rank may copy the experts of a map that are new to it.
func (r *rank) fits(placement [][][]int) bool {
	for l, set := range placement {
		fresh := 0
		for _, e := range set[r.index] {
			isNew := true
			for _, old := range r.placement[l][r.index] {
				isNew = isNew && old != e
			}
			if isNew {
				fresh++
			}
		}
		if fresh > groupSpare || len(set[r.index]) > groupPlaces {
			return false
		}
	}
	return true
}

// fleet is a group with the processes beside its ranks. Each process reaches each other
// machine through addresses of its own, at which proxies listen, so that the links between
// machines can be disturbed.
type fleet struct {
	*group
	system  *system
	proxies []*proxy
	servers []*http.Server
	// listeners are those that no server owns.
	listeners []net.Listener
}

// machineAddress is the address at which machine i reaches machine j.
func machineAddress(i, j int, port string) string {
	return net.JoinHostPort(fmt.Sprintf("127.77.%d.%d", i+1, j+1), port)
}

func (f *fleet) listen(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func startFleet(s *system, size int, seed uint64) (*fleet, error) {
	return startFleetWith(s, size, seed, func(f *fleet, r *rank) (string, error) { return f.listen("127.0.0.1:0", f.serve(r, false)) })
}

// startFleetWith starts a fleet. serveRemote serves a rank to other machines and returns the
// address.
func startFleetWith(s *system, size int, seed uint64, serveRemote func(*fleet, *rank) (string, error)) (*fleet, error) {
	f := &fleet{group: newGroup(s.rec, size, seed), system: s}
	_, workerPort, _ := net.SplitHostPort(freeAddress())
	_, sidePort, _ := net.SplitHostPort(freeAddress())
	_, adminPort, _ := net.SplitHostPort(freeAddress())
	service := serviceEntry("pool")
	service["engineProfile"] = map[string]any{
		"capacitySlots": 12, "kvCapacityTokens": 280000, "linkBandwidthMbps": 44000.0, "stepsPerPass": 4, "step_ms": 4.55, "per_seq_ms": 0.905,
		"report_lag_ms": reportLag.Milliseconds(), "expertSets": groupSets, "experts": groupExperts, "placements": groupPlaces,
		"spareCapacity": groupSpare, "expertSizeMb": 2200.0, "expertTrafficShare": 0.85, "form_ms": 600.0,
	}
	configuration := config(7, []map[string]any{route("draft", "/draft/", "streaming", "pool", 8000, 2)}, []map[string]any{service})
	for i, r := range f.ranks {
		remote, err := serveRemote(f, r)
		if err != nil {
			return f, err
		}
		if _, err := f.listen(machineAddress(i, i, workerPort), f.serve(r, true)); err != nil {
			return f, err
		}
		for from := range f.ranks {
			if from == i {
				continue
			}
			for _, link := range [][2]string{{workerPort, remote}, {sidePort, machineAddress(i, i, sidePort)}} {
				p, err := startProxy(machineAddress(from, i, link[0]), link[1])
				if err != nil {
					return f, err
				}
				p.from, p.to, p.delay, p.isSide = from, i, linkDelay, link[0] == sidePort
				f.proxies = append(f.proxies, p)
			}
		}
	}
	for i := range f.ranks {
		view := newStore()
		view.put("op/config", configuration)
		for j := range f.ranks {
			k := worker{id: fmt.Sprintf("i-%d", j), service: "pool", address: machineAddress(i, j, workerPort), zone: "sk-west-a", slots: 12, born: 1, weightVersion: 1}
			k.register(view)
		}
		address, err := f.listen("127.0.0.1:0", view)
		if err != nil {
			return f, err
		}
		p := &process{role: "side", name: fmt.Sprintf("side-%d", i), fields: map[string]any{
			"ipAddress": fmt.Sprintf("127.77.%d.%d", i+1, i+1), "internalPortRange": []any{json.Number(sidePort), json.Number(adminPort)},
			"app": machineAddress(i, i, workerPort), "service": "pool", "platform": map[string]any{"address": address},
			"limits": map[string]any{"memoryLimitMb": 152, "linkBandwidthMbps": 20.0, "cpuQuota": 0.24},
		}}
		s.sides = append(s.sides, p)
	}
	go f.run()
	for _, p := range s.sides {
		if err := s.start(p); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) stop() {
	close(f.stopped)
	for _, p := range f.proxies {
		p.stop()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, l := range f.listeners {
		_ = l.Close()
	}
}

// killProcesses kills the processes beside the given ranks at the same moment, and starts each
// again after its delay. Until then, connections to it are refused.
func (f *fleet) killProcesses(delays map[int]time.Duration) error {
	for x := range delays {
		f.system.sides[x].signal(syscall.SIGKILL)
	}
	f.rec.log("%d processes beside ranks are killed at the same moment: %v", len(delays), delays)
	var wait sync.WaitGroup
	failures := make(chan error, len(delays))
	for x, delay := range delays {
		<-f.system.sides[x].done
		for _, p := range f.proxies {
			if p.to == x && p.isSide {
				if err := p.setDown(true); err != nil {
					return err
				}
				p.reset()
			}
		}
		wait.Go(func() {
			time.Sleep(delay)
			for _, p := range f.proxies {
				if p.to == x && p.isSide {
					if err := p.setDown(false); err != nil {
						failures <- err
					}
				}
			}
			if err := f.system.start(f.system.sides[x]); err != nil {
				failures <- err
			}
		})
	}
	wait.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}
