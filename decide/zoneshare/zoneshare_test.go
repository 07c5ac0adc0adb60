package zoneshare_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/zoneshare"
)

const (
	home, other = "za", "zb"
	slots       = 6
	duration    = 180 * time.Millisecond
)

// usualWork is that of a plain service.
var usualWork = zoneshare.Work{Duration: duration, Bytes: 20_000, LoadCost: duration / slots}

// feed updates a state for a time with loads that are always just reported.
type feed struct {
	state *zoneshare.State
	now   time.Duration
	work  zoneshare.Work
}

func newFeed(o zoneshare.Options) *feed {
	o.Zone = home
	return &feed{state: zoneshare.New(o), now: time.Minute, work: usualWork}
}

func reported(load float64, at time.Duration) zoneshare.Zone {
	return zoneshare.Zone{Load: load, Slots: slots, Upstreams: 1, Reported: true, ReportedAt: at}
}

// run returns the share of the other zone after a time.
func (f *feed) run(d time.Duration, zones func(now time.Duration) map[string]zoneshare.Zone) zoneshare.Share {
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		f.state.Update(f.now, "s", f.work, zones(f.now))
	}
	return f.state.Share("s", other)
}

func loads(atHome, there float64) func(time.Duration) map[string]zoneshare.Zone {
	return func(now time.Duration) map[string]zoneshare.Zone {
		return map[string]zoneshare.Zone{home: reported(atHome, now), other: reported(there, now)}
	}
}

// Guards against the wrong rule for the state of a zone. The cases are the rows of the table
// in docs/design/zone-traffic.md.
func TestStatesOfZones(t *testing.T) {
	full := func(now time.Duration) zoneshare.Zone { return reported(9, now) }
	idle := func(now time.Duration) zoneshare.Zone { return reported(1, now) }
	for name, c := range map[string]struct {
		home, other func(time.Duration) zoneshare.Zone
		change      func(*feed)
		reason      zoneshare.Reason
		min, max    float64
	}{
		"room at home":       {home: idle, other: idle, reason: zoneshare.ReasonRoom},
		"home full":          {home: full, other: idle, reason: zoneshare.ReasonWait, min: 0.1, max: 0.9},
		"both full":          {home: full, other: full, reason: zoneshare.ReasonCost},
		"own zone evacuated": {other: idle, reason: zoneshare.ReasonNoHome, min: 1, max: 1},
		"own servers cold or down": {
			home: func(time.Duration) zoneshare.Zone { return zoneshare.Zone{} }, other: idle, reason: zoneshare.ReasonNoHome, min: 1, max: 1,
		},
		"other servers cold or down": {
			home: full, other: func(time.Duration) zoneshare.Zone { return zoneshare.Zone{} }, reason: zoneshare.ReasonUnusable,
		},
		"nothing measured": {
			home: full, other: idle, change: func(f *feed) { f.work.Duration = 0 }, reason: zoneshare.ReasonUnmeasured, min: 1, max: 1,
		},
		"group across zones": {
			home: full, other: idle, change: func(f *feed) { f.work.Lockstep = true }, reason: zoneshare.ReasonGroup, min: 1, max: 1,
		},
		"bytes dear": {
			home: full, other: idle, change: func(f *feed) { f.work.Bytes = 1e9 }, reason: zoneshare.ReasonRoom,
		},
		"link slow in one direction": {
			home: full, other: idle, reason: zoneshare.ReasonRoom,
			change: func(f *feed) {
				f.state.SetDelays(func(from, _ string) (time.Duration, bool) {
					if from == home {
						return 300 * time.Millisecond, true
					}
					return time.Millisecond, true
				})
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFeed(zoneshare.Options{BytePrice: 1})
			if c.change != nil {
				c.change(f)
			}
			share := f.run(5*time.Second, func(now time.Duration) map[string]zoneshare.Zone {
				zones := map[string]zoneshare.Zone{other: c.other(now)}
				if c.home != nil {
					zones[home] = c.home(now)
				}
				return zones
			})
			if share.Reason != c.reason || share.Fraction < c.min || share.Fraction > c.max {
				t.Errorf("got %+v, want %s and a share between %v and %v", share, c.reason, c.min, c.max)
			}
		})
	}
}

// Guards against work that still goes to a zone after it left, and against the old share for
// one that comes back: it starts from 0.
func TestZoneThatLeavesLosesItsShare(t *testing.T) {
	f := newFeed(zoneshare.Options{})
	before := f.run(5*time.Second, loads(9, 1))
	f.run(100*time.Millisecond, func(now time.Duration) map[string]zoneshare.Zone {
		return map[string]zoneshare.Zone{home: reported(9, now)}
	})
	after := f.run(50*time.Millisecond, loads(9, 1))
	if before.Fraction < 0.1 || after.Fraction > before.Fraction/2 {
		t.Errorf("share %.2f before the zone left, %.2f right after it came back", before.Fraction, after.Fraction)
	}
}

// Guards against a share that ends with a single late report, and against one that lasts
// while a zone does not answer: it is kept for the age of a report, and then requests go by
// load and preference as without shares.
func TestMissingReports(t *testing.T) {
	f := newFeed(zoneshare.Options{})
	before := f.run(5*time.Second, loads(9, 1))
	lost := f.now
	silent := func(now time.Duration) map[string]zoneshare.Zone {
		z := reported(1, lost)
		z.Asked, z.AskedAt = true, lost
		return map[string]zoneshare.Zone{home: reported(9, now), other: z}
	}
	kept := f.run(zoneshare.MaxReportAge, silent)
	if kept.Reason != zoneshare.ReasonKept || kept.Fraction < 0.9*before.Fraction || kept.Fraction > 1.1*before.Fraction {
		t.Errorf("share %+v within the age of a report, %+v before", kept, before)
	}
	late := f.run(200*time.Millisecond, silent)
	if late.Reason != zoneshare.ReasonNoReport || late.Penalty(1, slots, 2*slots, 0.5) != zoneshare.Preference {
		t.Errorf("share %+v after it, want the preference alone", late)
	}
}

// Guards against a share that begins and ends as the load crosses one value.
func TestShareHasHysteresis(t *testing.T) {
	starts, ends := 0.0, 0.0
	f := newFeed(zoneshare.Options{})
	for load := 1.0; starts == 0; load += 0.02 {
		if f.run(time.Second, loads(load, 0)).Fraction > 0 {
			starts = load
		}
	}
	for load := starts; ends == 0; load -= 0.02 {
		if f.run(5*time.Second, loads(load, 0)).Fraction == 0 {
			ends = load
		}
	}
	if starts-ends < 0.05 {
		t.Errorf("starts at load %.2f, ends at %.2f", starts, ends)
	}
}

// Guards against requests that are turned away at home although another zone has room, and
// against an exchange between zones that are both full.
func TestPenaltyOfRequestsBeyondTheShare(t *testing.T) {
	const limit = 2 * slots
	busy := newFeed(zoneshare.Options{}).run(5*time.Second, loads(limit, 1))
	if p := busy.Penalty(1, slots, limit, 0.99); 1+p >= limit {
		t.Errorf("penalty %.1f keeps a request at a full home", p)
	}
	full := newFeed(zoneshare.Options{}).run(5*time.Second, loads(limit, limit))
	if p := full.Penalty(8, slots, limit, 0.99); 8+p < limit {
		t.Errorf("penalty %.1f lets a request leave for a full zone", p)
	}
}

// Guards against a price that has no effect on groups across zones.
func TestPriceRaisesPreferenceInGroups(t *testing.T) {
	preference := func(price float64) float64 {
		f := newFeed(zoneshare.Options{BytePrice: price})
		f.work = zoneshare.Work{Duration: 1700 * time.Millisecond, Bytes: 50_000, LoadCost: 70 * time.Millisecond, Lockstep: true}
		return f.run(time.Second, loads(9, 1)).Preference
	}
	if preference(0) != zoneshare.Preference || preference(1400) < 0.99 || preference(1400) > 1.1 {
		t.Errorf("preference %.2f without a price, %.2f at 1400 ms/MB; want %.2f and about 1", preference(0), preference(1400), zoneshare.Preference)
	}
}
