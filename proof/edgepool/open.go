package edgepool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/crowd"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

// OpenDeployment is the name of a pool whose edges are also used by clients that nobody
// controls.
const OpenDeployment = "open-edges"

const (
	// openMemoryMB and openDescriptors are the limits in the settings of the edges, of which
	// fileDescriptors are for files. They are those of the tests with a crowd.
	openMemoryMB    = 64
	openDescriptors = 800
	fileDescriptors = 200
	openStallTime   = 500 * time.Millisecond
	// usageInterval is the time between two readings of what the edges hold.
	usageInterval = 50 * time.Millisecond
	// crowdFraction is the part of the clients of a pattern that a wave has: several crowds
	// play at a time, all in one process.
	crowdFraction = 4
	// crowdsPerKind is the number of crowds of bodies, and of connections, at a time.
	crowdsPerKind = 2
	// crowdSeedShift is the position of the seed in that of a crowd.
	crowdSeedShift = 8
	// crowdID begins the ID of a request of a crowd, which the record omits.
	crowdID = "crowd"
	// crowdBodyBytes is the largest body in the configuration.
	crowdBodyBytes = 1 << 20
	// One in paddedEvery ordinary requests has a body of more than what an edge reads without
	// a charge.
	paddedEvery = 4
	paddedBytes = 100 << 10
)

// openTimes are the time limits between which operators change.
var openTimes = [][2]time.Duration{{3 * time.Second, 15 * time.Second}, {10 * time.Second, time.Minute}, {0, 0}}

// OpenKinds lists the faults and operations that go on beside crowds. Others keep callers from
// all edges for so long that nothing would show whether a crowd does.
var OpenKinds = append([]Kind{{Name: "time_limits", Make: changeTimes}},
	kindsNamed("kill_edge", "roll_edges", "move_route", "revoke", "zone_out")...)

func kindsNamed(names ...string) []Kind {
	var found []Kind
	for _, k := range Kinds {
		if slices.Contains(names, k.Name) {
			found = append(found, k)
		}
	}
	return found
}

// startCrowds starts crowds that send bodies and others that send heads, or nothing. Each wave is
// at another edge, with the key of a member or one that was revoked.
func (p *Pool) startCrowds() (stop func()) {
	kinds := []func(head string) []crowd.Pattern{
		func(head string) []crowd.Pattern {
			return crowd.Bodies(crowd.Target{Path: pathIdempotent + "x", Head: head, BodyBytes: crowdBodyBytes})
		},
		func(head string) []crowd.Pattern {
			return crowd.Connections(pathIdempotent+"x", head+"X-Mulberryfork-Attempt-Id: "+crowdID+"\r\n")
		},
	}
	var crowds []*crowd.Recurring
	for n := range crowdsPerKind * len(kinds) {
		patterns := kinds[n%len(kinds)]
		seed := p.options.Seed<<crowdSeedShift | uint64(n)
		random := rand.New(rand.NewPCG(seed, 1))
		crowds = append(crowds, crowd.Recur(
			func() string { return schedule.Pick(p.Edges, random).callerAddress() },
			func() []crowd.Pattern {
				valid, revoked := p.operator.credentials()
				return patterns("Host: " + host + "\r\nX-Api-Key: " + schedule.Pick(append(valid, revoked...), random).key + "\r\n")
			}, crowdFraction, seed))
	}
	return func() {
		for _, c := range crowds {
			c.Stop()
		}
	}
}

func changeTimes(p *Pool, r *rand.Rand) schedule.Step {
	limits := schedule.Pick(openTimes, r)
	return schedule.Step{
		Name: fmt.Sprintf("time limits of %v and %v", limits[0], limits[1]), Operation: true,
		Begin: withoutError(func() { p.operator.setTimes(limits[0], limits[1]) }),
	}
}

// isCrowd reports whether a request belongs to a crowd.
func isCrowd(attempt string) bool { return attempt == "" || strings.HasPrefix(attempt, crowdID) }

// padded returns the body of a request, and its expected response, with filler if it is drawn.
func (p *Pool) padded(kind, body, expected string, r *rand.Rand) (paddedBody, paddedExpected string) {
	if !p.options.Open || kind != platformworker.Complete || r.IntN(paddedEvery) > 0 {
		return body, expected
	}
	filler := strings.Repeat("y", paddedBytes)
	return body + filler, expected + filler
}

// openToCrowds plays crowds and watches the edges until the returned function is called.
func (p *Pool) openToCrowds(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { p.watch(ctx) })
	stopCrowds := p.startCrowds()
	return func() {
		stopCrowds()
		cancel()
		watch.Wait()
	}
}

// watch records what the edges hold until the context ends.
func (p *Pool) watch(ctx context.Context) {
	largest := make([]proof.Usage, len(p.Edges))
	for schedule.Sleep(ctx, usageInterval) == nil {
		for i, e := range p.Edges {
			current := e.currentProcess()
			if current == nil {
				continue
			}
			select {
			case <-current.Exited():
				continue
			default:
			}
			u := &largest[i]
			memory, descriptors := crowd.PeakMemory(current.PID()), crowd.OpenDescriptors(current.PID())
			if memory > u.Memory || descriptors > u.Descriptors {
				*u = proof.Usage{
					Node: e.Name, At: p.Now(), Memory: max(memory, u.Memory), MemoryLimit: openMemoryMB << 20,
					Descriptors: max(descriptors, u.Descriptors), DescriptorLimit: openDescriptors - fileDescriptors,
				}
			}
		}
	}
	p.UpdateRecord(func(r *proof.Record) { r.Usages = append(r.Usages, largest...) })
}
