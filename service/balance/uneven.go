package balance

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
)

// differenceLogInterval is the least time between two log lines on the groups of one service.
const differenceLogInterval = 10 * time.Second

// unevenGroups counts and logs what happens while groups differ. The control loop owns it.
type unevenGroups struct {
	log     api.Logger
	metrics api.Metrics
	// paced counts the late requests that waited although there was room.
	paced api.Counter
	// choices counts the requests that were placed, by difference.
	choices map[balance.Difference]api.Counter
	logged  map[string]loggedDifference
}

type loggedDifference struct {
	difference balance.Difference
	at         time.Duration
}

func newUnevenGroups(log api.Logger, metrics api.Metrics) unevenGroups {
	return unevenGroups{
		log: log, metrics: metrics, paced: metrics.Counter("late_paced", ""),
		choices: make(map[balance.Difference]api.Counter), logged: make(map[string]loggedDifference),
	}
}

// recordChoice counts a request that was placed.
func (u *unevenGroups) recordChoice(d balance.Difference) {
	if d == balance.GroupsAlike {
		return
	}
	c := u.choices[d]
	if c == nil {
		c = u.metrics.Counter("uneven_choices", d.String())
		u.choices[d] = c
	}
	c.Add(1)
}

// observe logs how the groups of a service differ when that changes.
func (u *unevenGroups) observe(now time.Duration, service string, d balance.Difference) {
	last, known := u.logged[service]
	if d == last.difference || known && now-last.at < differenceLogInterval {
		return
	}
	u.logged[service] = loggedDifference{d, now}
	u.log.Change("groups of the service", api.Fields{"service": service, "difference": d.String()})
}
