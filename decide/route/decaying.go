package route

import (
	"math"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// recentDecayTime is the time in which the weight of a send falls to 1/e. It
// is about the time that an engine takes for the prompts of one or two full
// steps.
const recentDecayTime = 250 * time.Millisecond

// decayingSum is a sum whose terms decay exponentially with age.
type decayingSum struct {
	value float64
	since time.Duration
}

func (d *decayingSum) at(now time.Duration) float64 {
	return d.value * math.Exp(-float64(now-d.since)/float64(recentDecayTime))
}

func (d *decayingSum) add(now time.Duration, v float64) {
	d.value, d.since = d.at(now)+v, now
}

// uncached estimates the prompt tokens of a request that are not in the
// upstream's cache.
func (u *upstream) uncached(q *api.RouteQuery, s *State) float64 {
	v := float64(q.CostTokens)
	if u.match.serial == s.serial {
		v -= float64(u.match.blocks * s.options.BlockTokens)
	}
	return max(v, 0)
}
