package bench

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	configDuration = 6 * time.Minute
	// configQuietPeriod at the end of a run has no changes, so that the last
	// revisions can arrive.
	configQuietPeriod = 30 * time.Second
	// configChangeInterval is the mean time between changes. The resulting rate is
	// nine times that of 3,200 changes per day.
	configChangeInterval = 3 * time.Second
	configPauses         = 40
	configRestarts       = 40
	configReplacements   = 12

	configZonePartitionAt         = 190 * time.Second
	configZonePartitionDuration   = 30 * time.Second
	configRegionPartitionAt       = 230 * time.Second
	configRegionPartitionDuration = 50 * time.Second
	configZoneLostAt              = 290 * time.Second
	configZoneLostDuration        = 15 * time.Second
)

func init() {
	register(Experiment{
		Name:     "config",
		Question: "Does every accepted configuration reach all processes in time, without reverts and within the read limit of the service?",
		Run:      runConfig,
	})
}

var (
	configCurrentSize = configShape{zones: 3, regions: 1, nodes: 21,
		zoneDelay: 1100 * time.Microsecond, validation: 2 * time.Millisecond}
	configFullSize = configShape{zones: 6, regions: 2, nodes: 1010,
		zoneDelay: 1100 * time.Microsecond, validation: 30 * time.Millisecond}
	// configHalfSize measures how the load on the service grows with the fleet.
	configHalfSize = configShape{zones: 6, regions: 2, nodes: 505,
		zoneDelay: 1100 * time.Microsecond, validation: 30 * time.Millisecond}
	configSizes = []configSize{{"_today", configCurrentSize}, {"_half", configHalfSize}, {"_full", configFullSize}}
)

type configSize struct {
	suffix string
	shape  configShape
}

// configPair holds the runs of the tested design and of the baseline, which polls
// the service.
type configPair struct{ tested, baseline *configSim }

// runConfig runs all sizes, two runs at a time. Each run has its own random
// numbers.
func runConfig(ctx context.Context, p Params) (Result, error) {
	pairs := make([]configPair, len(configSizes))
	var g errgroup.Group
	g.SetLimit(2)
	for i := range slices.Backward(configSizes) {
		run := func(result **configSim, baseline bool) {
			g.Go(func() error {
				*result = newConfigSim(configSizes[i].shape, p.Seed, baseline)
				(*result).schedule()
				(*result).events.Run(configDuration)
				return ctx.Err()
			})
		}
		run(&pairs[i].tested, false)
		run(&pairs[i].baseline, true)
	}
	if err := g.Wait(); err != nil {
		return Result{}, err
	}
	figures := configTotals(pairs)
	for i, size := range configSizes {
		figures = append(figures, configFigures(size.suffix, pairs[i].tested)...)
		figures = append(figures, configBaseline(size.suffix, pairs[i].baseline)...)
	}
	return Result{Figures: figures}, nil
}

// configTotals returns the figures that cover several sizes.
func configTotals(pairs []configPair) []Figure {
	var reverts, wrong int
	for _, p := range pairs {
		reverts += p.tested.reverts
		wrong += p.tested.wrongAccepts
	}
	half, full := pairs[1].tested.service, pairs[2].tested.service
	growth := full.meanReads(configDuration) - half.meanReads(configDuration)
	return []Figure{
		Bounded("reverts", float64(reverts), "count", Exactly, 0),
		Bounded("wrong_accepts", float64(wrong), "count", Exactly, 0),
		Bounded("service_reads_per_s", full.peakReads(), "1/s", AtMost, 2000),
		Plain("service_reads_growth_per_1000_nodes", growth*1000/float64(configFullSize.nodes-configHalfSize.nodes), "1/s"),
	}
}

func configFigures(suffix string, s *configSim) []Figure {
	times, missing := s.spreadTimes(configDuration - configQuietPeriod)
	p99, limit, name := quantile(times, 0.99), 10.0, "spread_p99_s"+suffix
	if suffix == "_today" {
		limit, name = 3, "spread_p99_s"
	}
	return []Figure{
		Bounded(name, p99, "s", AtMost, limit),
		Plain("spread_p50_s"+suffix, quantile(times, 0.5), "s"),
		Plain("spread_max_s"+suffix, quantile(times, 1), "s"),
		Bounded("spread_missing"+suffix, float64(missing), "count", Exactly, 0),
		Plain("spread_pairs"+suffix, float64(len(times)), "count"),
		Plain("start_to_ready_p99_s"+suffix, quantile(s.readyTimes, 0.99), "s"),
		Plain("service_reads_peak_per_s"+suffix, s.service.peakReads(), "1/s"),
		Plain("service_reads_mean_per_s"+suffix, s.service.meanReads(configDuration), "1/s"),
		Plain("exchanges_per_s_per_node"+suffix, s.exchangeRate(), "1/s"),
	}
}

func configBaseline(suffix string, s *configSim) []Figure {
	times, missing := s.spreadTimes(configDuration - configQuietPeriod)
	return []Figure{
		Plain("polling_reverts"+suffix, float64(s.reverts), "count"),
		Plain("polling_spread_p99_s"+suffix, quantile(times, 0.99), "s"),
		Plain("polling_spread_missing"+suffix, float64(missing), "count"),
		Plain("polling_service_reads_peak_per_s"+suffix, s.service.peakReads(), "1/s"),
		Plain("polling_service_reads_mean_per_s"+suffix, s.service.meanReads(configDuration), "1/s"),
	}
}

func (s *configSim) exchangeRate() float64 {
	var sum uint64
	for _, n := range s.nodes {
		if n.state != nil {
			sum += n.state.Counters().Exchanges
		}
	}
	return float64(sum) / configDuration.Seconds() / float64(len(s.nodes))
}

// schedule starts the processes and schedules the changes and faults, which happen
// at the same times in the tested design and the baseline.
func (s *configSim) schedule() {
	for _, n := range s.nodes {
		n.start()
	}
	for at := time.Second; at < configDuration-configQuietPeriod; {
		s.events.At(at, s.service.publish)
		at += time.Duration((0.5 + s.rng.Float64()) * float64(configChangeInterval))
	}
	s.schedulePeriod(60*time.Second, 100*time.Second, s.service.setDown)
	s.schedulePeriod(120*time.Second, 180*time.Second, func(on bool) { s.service.freeze(0, on) })
	s.schedulePeriod(140*time.Second, 170*time.Second, func(on bool) { s.service.freeze(1, on) })
	s.schedulePeriod(configZonePartitionAt, configZonePartitionAt+configZonePartitionDuration, s.partitionZone)
	s.schedulePeriod(configRegionPartitionAt, configRegionPartitionAt+configRegionPartitionDuration, s.partitionRegions)
	s.schedulePeriod(configZoneLostAt, configZoneLostAt+configZoneLostDuration, s.loseZone)
	for range configPauses {
		s.events.At(s.randomBelow(configDuration-2*configQuietPeriod), s.pauseRandomNode)
	}
	for range configRestarts {
		s.events.At(s.randomBelow(configDuration-2*configQuietPeriod), s.restartRandomNode)
	}
	for range configReplacements {
		s.events.At(s.randomBelow(configDuration-2*configQuietPeriod), s.replaceRandomNode)
	}
}

// schedulePeriod calls set with true at the start and with false at the end of a
// period.
func (s *configSim) schedulePeriod(from, to time.Duration, set func(on bool)) {
	s.events.At(from, func() { set(true) })
	s.events.At(to, func() { set(false) })
}

func (s *configSim) partitionZone(on bool) {
	s.partitionedZone = ""
	if on {
		s.partitionedZone = "z1"
		s.blockAll(configZonePartitionDuration, func(n *configNode) bool { return n.identity.Zone == "z1" })
	}
}

func (s *configSim) partitionRegions(on bool) {
	s.regionsPartitioned = on && s.shape.regions > 1
	if s.regionsPartitioned {
		s.blockAll(configRegionPartitionDuration, func(n *configNode) bool { return n.region > 0 })
	}
}

// blockAll records that a partition of duration d blocks the selected processes.
func (s *configSim) blockAll(d time.Duration, blocked func(*configNode) bool) {
	s.partitionUntil = s.events.Now() + d
	for _, n := range s.nodes {
		if blocked(n) {
			n.recordBlocked(s.events.Now(), s.events.Now()+d)
		}
	}
}

// loseZone ends all processes of a zone if on is true, and otherwise starts them
// again, all at once.
func (s *configSim) loseZone(on bool) {
	for _, n := range s.nodes {
		if n.identity.Zone != "z2" || n.removed {
			continue
		}
		if on {
			n.up, n.generation = false, n.generation+1
			n.recordBlocked(s.events.Now(), s.events.Now()+configZoneLostDuration)
		} else if !n.up {
			n.start()
		}
	}
}

// any returns a random process, or nil if the process is paused or not
// running.
func (s *configSim) any() *configNode {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if !n.up || n.paused {
		return nil
	}
	return n
}

func (s *configSim) pauseRandomNode() {
	n := s.any()
	if n == nil {
		return
	}
	d, generation := 3*time.Second+s.randomBelow(20*time.Second), n.generation
	n.paused = true
	n.recordBlocked(s.events.Now(), s.events.Now()+d)
	s.events.After(d, func() {
		if n.generation == generation {
			n.resume()
		}
	})
}

func (n *configNode) resume() {
	pending := n.pausedEvents
	n.paused, n.pausedEvents, n.startedAt = false, nil, n.sim.events.Now()
	for _, f := range pending {
		f()
	}
}

func (s *configSim) restartRandomNode() {
	n := s.any()
	if n == nil {
		return
	}
	d := time.Second + s.randomBelow(3*time.Second)
	n.up, n.generation = false, n.generation+1
	n.recordBlocked(s.events.Now(), s.events.Now()+d)
	generation := n.generation
	s.events.After(d, func() {
		if n.generation == generation {
			n.start()
		}
	})
}

// replaceRandomNode removes a VM. After configListLag a new VM starts and the
// membership list changes.
func (s *configSim) replaceRandomNode() {
	n := s.any()
	if n == nil {
		return
	}
	n.up, n.removed, n.generation = false, true, n.generation+1
	s.events.After(configListLag, func() {
		zone := int(n.identity.Zone[1] - '0')
		replacement := s.addNode(zone)
		s.updateList()
		replacement.start()
		s.distributeList()
	})
}

// distributeList sends the membership list to every process with a random delay.
func (s *configSim) distributeList() {
	list := s.members
	for _, n := range s.nodes {
		if n.state == nil {
			continue
		}
		generation := n.generation
		s.events.After(s.randomBelow(time.Second), func() {
			if n.generation == generation {
				n.dispatch(func() { n.execute(n.state.SetMembers(s.events.Now(), list)) })
			}
		})
	}
}
