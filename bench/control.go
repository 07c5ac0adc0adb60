package bench

import (
	"context"
	"fmt"
	"time"
)

// Bounds of control overhead at a node, as stated by the users.
const (
	controlBytes   = 2048
	controlCPU     = 2.8
	controlMemory  = 256
	controlTarget  = 400
	controlFull    = 1010
	controlSpan    = 20 * time.Second
	controlMesh    = time.Second
	controlWarmUp  = 10 * time.Second
	controlPercent = 100
)

var controlSizes = []int{50, 100, 200, controlTarget, controlFull}

func init() {
	register(Experiment{
		Name: "control",
		Asks: "What do load reports, digests, heartbeats and the subset of links cost a node as the fleet grows, against a full mesh?",
		Run:  runControl,
	})
}

// controlCost is what one run measured.
type controlCost struct {
	// bytes is the mean over the nodes, most that of the busiest one.
	bytes, most, cpu, memory, links float64
}

func runControl(ctx context.Context, p Params) (Result, error) {
	costs := make(map[int]controlCost)
	for _, n := range controlSizes {
		if err := ctx.Err(); err != nil {
			return Result{}, err
		}
		fmt.Fprintf(p.Progress, "control: %d nodes\n", n)
		costs[n] = newControlWorld(p.Seed, n, false).run(controlSpan)
	}
	fmt.Fprintf(p.Progress, "control: full mesh of %d nodes\n", controlTarget)
	mesh := newControlWorld(p.Seed, controlTarget, true).run(controlMesh)
	at := costs[controlTarget]
	figures := []Figure{
		Bounded("bytes_per_s_per_node", at.most, "bytes/s", AtMost, controlBytes),
		Bounded("cpu_percent_per_node", at.cpu, "percent", AtMost, controlCPU),
		Bounded("memory_mb_per_node", at.memory, "MB", AtMost, controlMemory),
		Plain("bytes_per_s_per_node_mesh", mesh.most, "bytes/s"),
		Plain("cpu_percent_per_node_mesh", mesh.cpu, "percent"),
		Plain("memory_mb_per_node_mesh", mesh.memory, "MB"),
	}
	for _, n := range controlSizes {
		c, suffix := costs[n], fmt.Sprintf("_%d", n)
		figures = append(figures,
			Plain("bytes_per_s_per_node"+suffix, c.most, "bytes/s"),
			Plain("bytes_per_s_mean"+suffix, c.bytes, "bytes/s"),
			Plain("cpu_percent_per_node"+suffix, c.cpu, "percent"),
			Plain("memory_mb_per_node"+suffix, c.memory, "MB"),
			Plain("links_per_router"+suffix, c.links, "links"),
		)
	}
	first, last := costs[controlSizes[0]], costs[controlTarget]
	added := float64(controlTarget - controlSizes[0])
	return Result{Figures: append(figures,
		Plain("bytes_per_s_slope", (last.most-first.most)/added, "bytes/s per node"),
		Plain("cpu_percent_slope", (last.cpu-first.cpu)/added, "percent per node"),
		Plain("memory_mb_slope", (last.memory-first.memory)/added, "MB per node"),
	)}, nil
}
