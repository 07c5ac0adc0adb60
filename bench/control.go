package bench

import (
	"context"
	"fmt"
	"time"
)

// Limits of the control overhead per node that the users require (in bytes per
// second, percent of a core and MB), fleet sizes and run times.
const (
	controlMaxBytes        = 2048
	controlMaxCPU          = 2.8
	controlMaxMemory       = 256
	controlTargetNodes     = 400
	controlFullNodes       = 1010
	controlMeasureTime     = 20 * time.Second
	controlMeshMeasureTime = time.Second
	controlWarmUp          = 10 * time.Second
	controlPercent         = 100
)

var controlSizes = []int{50, 100, 200, controlTargetNodes, controlFullNodes}

func init() {
	register(Experiment{
		Name:     "control",
		Question: "What do load reports, digests, heartbeats and the subset of links cost per node as the fleet grows, compared with a full mesh?",
		Run:      runControl,
	})
}

// controlCost holds the measurements of one run, per node: rates in bytes per
// second, CPU time in percent of a core, memory in MB, and links per router.
type controlCost struct {
	// meanBytes is the mean rate of the nodes, maxBytes the rate of the busiest node.
	meanBytes, maxBytes, cpu, memory, links float64
}

func runControl(ctx context.Context, p Params) (Result, error) {
	costs := make(map[int]controlCost)
	for _, n := range controlSizes {
		if err := ctx.Err(); err != nil {
			return Result{}, err
		}
		fmt.Fprintf(p.Progress, "control: %d nodes\n", n)
		costs[n] = newControlSim(p.Seed, n, false).run(controlMeasureTime)
	}
	fmt.Fprintf(p.Progress, "control: full mesh of %d nodes\n", controlTargetNodes)
	mesh := newControlSim(p.Seed, controlTargetNodes, true).run(controlMeshMeasureTime)
	at := costs[controlTargetNodes]
	figures := []Figure{
		Bounded("bytes_per_s_per_node", at.maxBytes, "bytes/s", AtMost, controlMaxBytes),
		Bounded("cpu_percent_per_node", at.cpu, "percent", AtMost, controlMaxCPU),
		Bounded("memory_mb_per_node", at.memory, "MB", AtMost, controlMaxMemory),
		Plain("bytes_per_s_per_node_mesh", mesh.maxBytes, "bytes/s"),
		Plain("cpu_percent_per_node_mesh", mesh.cpu, "percent"),
		Plain("memory_mb_per_node_mesh", mesh.memory, "MB"),
	}
	for _, n := range controlSizes {
		c, suffix := costs[n], fmt.Sprintf("_%d", n)
		figures = append(figures,
			Plain("bytes_per_s_per_node"+suffix, c.maxBytes, "bytes/s"),
			Plain("bytes_per_s_mean"+suffix, c.meanBytes, "bytes/s"),
			Plain("cpu_percent_per_node"+suffix, c.cpu, "percent"),
			Plain("memory_mb_per_node"+suffix, c.memory, "MB"),
			Plain("links_per_router"+suffix, c.links, "links"),
		)
	}
	first, last := costs[controlSizes[0]], costs[controlTargetNodes]
	added := float64(controlTargetNodes - controlSizes[0])
	return Result{Figures: append(figures,
		Plain("bytes_per_s_slope", (last.maxBytes-first.maxBytes)/added, "bytes/s per node"),
		Plain("cpu_percent_slope", (last.cpu-first.cpu)/added, "percent per node"),
		Plain("memory_mb_slope", (last.memory-first.memory)/added, "MB per node"),
	)}, nil
}
