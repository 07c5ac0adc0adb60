package main

import (
	"fmt"
	"time"

	"github.com/mulberryfork/mulberryfork/deployment"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/modelengine"
	"github.com/mulberryfork/mulberryfork/standin/plainservice"
)

const (
	demoRouters      = 3
	demoEngines      = 6
	demoServices     = 3
	demoStepTime     = 5 * time.Millisecond
	demoMaxRequests  = 16
	demoColdRequests = 4
)

// demoObjectives are the service-level objectives that the burn command reports.
const demoObjectives = `
[objectives.first-token]
kind = "first_token"
target = 0.95
threshold = "340ms"
[objectives.token-gap]
kind = "token_gap"
target = 0.95
threshold = "49ms"
[objectives.booking]
kind = "availability"
service = "booking"
target = 0.999
`

// demoOptions returns the deployment of the demonstration.
func demoOptions() deployment.Options {
	o := deployment.Options{
		Zones:       []string{"porto-a", "porto-b", "porto-c"},
		Routers:     demoRouters,
		Members:     map[string]float64{demoMember: 2, "crews": 1},
		Idempotent:  true,
		ExtraConfig: demoObjectives,
	}
	for i := range demoEngines {
		o.Upstreams = append(o.Upstreams, deployment.Upstream{
			Name: fmt.Sprintf("engine-%d", i+1),
			Zone: o.Zones[i%len(o.Zones)],
			Handler: modelengine.New(modelengine.Options{
				Clock:        kernel.BootClock{},
				Models:       []string{deployment.Model},
				StepBaseTime: demoStepTime,
			}),
			MaxRequests:  demoMaxRequests,
			ColdRequests: demoColdRequests,
		})
	}
	for i := range demoServices {
		o.Upstreams = append(o.Upstreams, deployment.Upstream{
			Name:         fmt.Sprintf("booking-%d", i+1),
			Zone:         o.Zones[i%len(o.Zones)],
			Plain:        true,
			Handler:      plainservice.New(plainservice.Options{Clock: kernel.BootClock{}}),
			MaxRequests:  demoMaxRequests,
			ColdRequests: demoColdRequests,
		})
	}
	return o
}
