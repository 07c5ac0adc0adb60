// Command 8 sends a request that crashes the workers that run it, again and again, from a client
// that leaves before the crash, and counts how often it reaches workers.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/review/stage"
)

const (
	// The edge and the model workers of the sheets.
	memoryMB, descriptors = 206, 2870
	workers, slots, queue = 12, 12, 24
	// work is the time of a whole answer, beginAfter that from the arrival of a request to its
	// first token, with which it begins to run and crashes the worker.
	work       = 1200 * time.Millisecond
	beginAfter = 350 * time.Millisecond
	restart    = 3 * time.Second
	deadline   = 8 * time.Second
	// ordinaryClients send a request a second each and wait for the answer.
	ordinaryClients = 28
	// The client with the harmful request leaves within leaveAfter, half the objective, and
	// sends it again each returnInterval.
	leaveAfter     = 250 * time.Millisecond
	returnInterval = 1500 * time.Millisecond
	returns        = 16
	calm           = 3 * time.Second
)

func main() { os.Exit(stage.Run("review/8", run)) }

func run(d *stage.Deployment) (int, error) {
	harm := &stage.Harm{}
	for i := range workers {
		host := &stage.Host{RestartDelay: restart}
		host.New = func(incarnation int) *stage.Worker {
			return &stage.Worker{
				ID: fmt.Sprintf("i-%d-%d", i, incarnation), Service: "pool", Zone: "z", Slots: slots, Queue: queue, Work: work,
				OnArrival: harm.Arrived,
				Respond: func(_ http.ResponseWriter, r *http.Request) bool {
					if !stage.IsHarmful(r.Header.Get("X-Mulberryfork-Attempt-Id")) {
						return false
					}
					time.Sleep(beginAfter)
					d.Line("the harmful request begins to run at worker %d and crashes it", i)
					harm.Crashed()
					host.Crash()
					return true
				},
			}
		}
		if err := d.AddHost(host); err != nil {
			return 0, err
		}
	}
	err := d.Configure(stage.Route{Name: "letter", Kind: "non_idempotent", Service: "pool", Timeout: deadline, MaxAttempts: 1})
	if err != nil {
		return 0, err
	}
	fleet, err := d.StartEdges(1, memoryMB, descriptors, false)
	if err != nil {
		return 0, err
	}
	var ordinary, harmful stage.Counts
	group := stage.NewGroup()
	for c := range ordinaryClients {
		group.Repeat(time.Second, func(n int) {
			r := stage.Request{Path: "/letter/x", ID: fmt.Sprintf("o%d-%d", c, n), Key: "key1", Body: strings.Repeat("x", 800), Deadline: deadline}
			r.Send(fleet[0].Front(), &ordinary)
		})
	}
	time.Sleep(calm)
	patience := deadline
	if stage.Troubled() {
		patience = leaveAfter
	}
	tick := time.NewTicker(returnInterval)
	defer tick.Stop()
	for n := range returns {
		r := stage.Request{Path: "/letter/x", ID: stage.HarmfulID(n), Key: "key2", Body: "harmful", Deadline: deadline, Patience: patience}
		r.Send(fleet[0].Front(), &harmful)
		d.Line("harmful %s | at workers: %s | ordinary %s", harmful.Text(), harm.Text(), ordinary.Text())
		<-tick.C
	}
	group.Stop()
	d.Line("harmful %s | at workers: %s | ordinary %s", harmful.Text(), harm.Text(), ordinary.Text())
	return d.JudgeHarm(harm, ordinary.Answered.Load() > 0), nil
}
