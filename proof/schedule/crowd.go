package schedule

import (
	"context"

	"github.com/mulberryfork/mulberryfork/standin/crowd"
)

// crowdPart selects one in crowdPart clients of each pattern, several hundred in all.
const crowdPart = 40

// Crowd returns a step in which clients that nobody controls open connections to a process
// and send bodies and headers that stop, never end or exceed the limits. target is that of a
// request with a body, which the process reads. Complete requests have only the header lines
// in head, so that none of them runs.
func Crowd(process, address string, target crowd.Target, head string) Step {
	patterns := append(crowd.Bodies(target), crowd.Connections(target.Path, head)...)
	var gathered *crowd.Crowd
	return Step{
		Name: "crowd " + process, Targets: []string{"crowd"},
		Begin: func(context.Context) error {
			gathered = crowd.Gather(address, crowd.Part(patterns, crowdPart)...)
			return nil
		},
		End: func(context.Context) error { gathered.Leave(); return nil },
	}
}
