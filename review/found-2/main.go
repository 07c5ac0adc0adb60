// Command found-2 sends a request that crashes the workers that run it to edges whose seeds are down,
// and counts how often it reaches workers.
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
	// The edges and the model workers of the sheets. Of 10 edges, 4 are left.
	edges, memoryMB, descriptors = 4, 206, 2870
	workers, slots, queue        = 12, 12, 24
	// work is the time of a whole answer, beginAfter that from the arrival of a request to its
	// first token, with which it begins to run and crashes the worker.
	work       = 1200 * time.Millisecond
	beginAfter = 150 * time.Millisecond
	restart    = 3 * time.Second
	deadline   = 8 * time.Second
	// letterClients send a request a second each and wait for the answer.
	letterClients  = 28
	returnInterval = 1500 * time.Millisecond
	returns        = 20
	// calm is long enough for edges to find each other.
	calm = 5 * time.Second
)

func main() { os.Exit(stage.Run("review/found-2", run)) }

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
	fleet, err := d.StartEdges(edges, memoryMB, descriptors, stage.Troubled())
	if err != nil {
		return 0, err
	}
	var letters, harmful stage.Counts
	group := stage.NewGroup()
	for c := range letterClients {
		group.Repeat(time.Second, func(n int) {
			r := stage.Request{Path: "/letter/x", ID: fmt.Sprintf("l%d-%d", c, n), Key: "key1", Body: strings.Repeat("x", 800), Deadline: deadline}
			r.Send(fleet[(c+n)%edges].Front(), &letters)
		})
	}
	time.Sleep(calm)
	tick := time.NewTicker(returnInterval)
	defer tick.Stop()
	line := func() {
		d.Line("harmful %s | at workers: %s | letters %s", harmful.Text(), harm.Text(), letters.Text())
	}
	for n := range returns {
		r := stage.Request{Path: "/letter/x", ID: stage.HarmfulID(n), Key: "key2", Body: "harmful", Deadline: deadline}
		r.Send(fleet[n%edges].Front(), &harmful)
		line()
		<-tick.C
	}
	group.Stop()
	line()
	return d.JudgeHarm(harm, letters.Answered.Load() > 0), nil
}
