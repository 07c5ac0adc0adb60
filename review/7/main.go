// Command 7 sends a request that crashes the workers that run it shortly after its first event,
// again and again, and counts how often it reaches workers.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/review/stage"
)

const (
	// The edge and the model workers of the sheets.
	memoryMB, descriptors = 206, 2870
	workers, slots, queue = 12, 12, 24
	// work is the time of a whole answer without a stream.
	work = 1200 * time.Millisecond
	// The harmful request begins to run with its first event and crashes the worker before the
	// second one.
	firstEventAfter, crashAfter = 150 * time.Millisecond, 80 * time.Millisecond
	events                      = 24
	eventInterval               = 100 * time.Millisecond
	restart                     = 3 * time.Second
	deadline                    = 8 * time.Second
	// Ordinary clients send a request a second each and wait for the answer.
	letterClients, streamClients = 28, 28
	returnInterval               = 1500 * time.Millisecond
	returns                      = 16
	calm                         = 3 * time.Second
)

func main() { os.Exit(stage.Run("review/7", run)) }

func run(d *stage.Deployment) (int, error) {
	harm := &stage.Harm{}
	for i := range workers {
		host := &stage.Host{RestartDelay: restart}
		host.New = func(incarnation int) *stage.Worker {
			w := &stage.Worker{
				ID: fmt.Sprintf("i-%d-%d", i, incarnation), Service: "pool", Zone: "z", Slots: slots, Queue: queue, Work: work,
				OnArrival: harm.Arrived,
			}
			w.Respond = func(out http.ResponseWriter, r *http.Request) bool {
				if !strings.HasPrefix(r.URL.Path, "/stream/") {
					return false
				}
				last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				if stage.Troubled() && stage.IsHarmful(r.Header.Get("X-Mulberryfork-Attempt-Id")) {
					w.BeginStream(out, r)
					time.Sleep(firstEventAfter)
					stage.SendEvent(out, last+1)
					time.Sleep(crashAfter)
					d.Line("the harmful request runs at worker %d and crashes it after event %d", i, last+1)
					harm.Crashed()
					host.Crash()
					return true
				}
				w.SendStream(out, r, last, events, eventInterval)
				return true
			}
			return w
		}
		if err := d.AddHost(host); err != nil {
			return 0, err
		}
	}
	err := d.Configure(
		stage.Route{Name: "letter", Kind: "non_idempotent", Service: "pool", Timeout: deadline, MaxAttempts: 1},
		stage.Route{Name: "stream", Kind: "streaming", Service: "pool", Timeout: deadline, MaxAttempts: 2, Resumable: true})
	if err != nil {
		return 0, err
	}
	fleet, err := d.StartEdges(1, memoryMB, descriptors, false)
	if err != nil {
		return 0, err
	}
	var letters, streams, harmful stage.Counts
	send := func(path, id, key, body string, c *stage.Counts) {
		stage.Request{Path: path, ID: id, Key: key, Body: body, Deadline: deadline}.Send(fleet[0].Front(), c)
	}
	group := stage.NewGroup()
	for c := range letterClients {
		group.Repeat(time.Second, func(n int) { send("/letter/x", fmt.Sprintf("l%d-%d", c, n), "key1", "letter", &letters) })
	}
	for c := range streamClients {
		group.Repeat(time.Second, func(n int) { send("/stream/x", fmt.Sprintf("s%d-%d", c, n), "key1", "stream", &streams) })
	}
	time.Sleep(calm)
	tick := time.NewTicker(returnInterval)
	defer tick.Stop()
	line := func() {
		d.Line("harmful %s | at workers: %s | letters %s | streams %s", harmful.Text(), harm.Text(), letters.Text(), streams.Text())
	}
	for n := range returns {
		send("/stream/x", stage.HarmfulID(n), "key2", "harmful", &harmful)
		line()
		<-tick.C
	}
	group.Stop()
	line()
	return d.JudgeHarm(harm, letters.Answered.Load() > 0), nil
}
