package bench

import (
	"context"
	"fmt"
	"time"
)

func init() {
	register(Experiment{
		Name: "zone",
		Asks: "Does service quality hold while an availability zone leaves, comes back empty, and what do admission, the ramp and the paced prefix moves add?",
		Run:  runZone,
	})
}

// Moments of the modelled move. The engines of the zone are replaced while it
// is out, so that they return with empty caches.
const (
	zoneSteadyFrom   = 150 * time.Second
	zoneNoticeAt     = 210 * time.Second
	zoneOutAt        = 510 * time.Second
	zoneMoveWindow   = 30 * time.Second
	zoneReplaceAt    = 550 * time.Second
	zoneInAt         = 570 * time.Second
	zoneReturnWindow = 60 * time.Second
	zoneEnd          = 680 * time.Second
	zoneDrain        = 30 * time.Second
	// zoneLateAfter is the time after which no new work may start.
	zoneLateAfter   = 3 * time.Second
	zoneRatioTarget = 1.25
)

// zonePolicy is one way to handle a move.
type zonePolicy struct {
	// plain has no admission, no ramp and no moves of prefixes.
	plain bool
	// notice announces the move, so that prefixes move before it.
	notice bool
}

var (
	zoneManaged  = zonePolicy{notice: true}
	zoneNoNotice = zonePolicy{}
	zonePlain    = zonePolicy{plain: true}
)

// zoneUser is the deployment of one user.
type zoneUser struct {
	name string
	// interZoneDelay is the time one way between zones.
	interZoneDelay time.Duration
	rate           float64
}

var zoneUsers = []zoneUser{
	{name: "vale_do_sousa", interZoneDelay: 1100 * time.Microsecond, rate: 40},
	{name: "slnecne_bodky", interZoneDelay: 500 * time.Microsecond, rate: 46},
}

// zoneFullRate is more than two zones bear.
const zoneFullRate = 105

type zoneOutcome struct {
	lateStarts, interrupted, refused, heldChoices float64
	moveRatio, returnRatio, twoZoneRatio          float64
	steadyMS, moveMS, returnMS                    float64
	hitSteady, hitMove, hitReturn                 float64
	requests, returnedShare, twoZoneMS            float64
	movedPrefixes                                 float64
}

func (w *zoneSim) outcome() zoneOutcome {
	steady := w.p95(zoneSteadyFrom, zoneNoticeAt)
	move := w.p95(zoneOutAt, zoneOutAt+zoneMoveWindow)
	if w.policy.notice {
		move = max(move, w.p95(zoneNoticeAt, zoneOutAt))
	}
	back := w.p95(zoneInAt, zoneInAt+zoneReturnWindow)
	o := zoneOutcome{
		lateStarts: float64(w.lateStarts), interrupted: float64(w.interrupted + w.unanswered()), refused: float64(w.refused),
		steadyMS: steady, moveMS: move, returnMS: back, moveRatio: move / steady, returnRatio: back / steady,
		twoZoneRatio:  w.p95(zoneReplaceAt, zoneInAt) / steady,
		twoZoneMS:     w.p95(zoneReplaceAt, zoneInAt),
		requests:      float64(len(w.requests)),
		hitSteady:     w.hitRate(zoneSteadyFrom, zoneNoticeAt),
		hitMove:       w.hitRate(zoneOutAt, zoneOutAt+zoneMoveWindow),
		hitReturn:     w.hitRate(zoneInAt, zoneInAt+zoneReturnWindow),
		returnedShare: w.returnedShare(),
	}
	for _, r := range w.routers {
		o.heldChoices += float64(r.zones.Counters().Held)
		o.movedPrefixes += float64(r.zones.Counters().Moved)
	}
	return o
}

func runZone(ctx context.Context, p Params) (Result, error) {
	run := func(u zoneUser, policy zonePolicy) zoneOutcome {
		fmt.Fprintf(p.Progress, "zone: %s %+v\n", u.name, policy)
		w := newZoneSim(p.Seed, u, policy)
		w.run()
		return w.outcome()
	}
	var worst, worstPlain, worstNoNotice zoneOutcome
	var detail []Figure
	for _, u := range zoneUsers {
		if err := ctx.Err(); err != nil {
			return Result{}, err
		}
		with, plain, without := run(u, zoneManaged), run(u, zonePlain), run(u, zoneNoNotice)
		worst, worstPlain, worstNoNotice = worse(worst, with), worse(worstPlain, plain), worse(worstNoNotice, without)
		detail = append(detail, zoneDetail("_"+u.name, with)...)
		detail = append(detail, zoneDetail("_no_notice_"+u.name, without)...)
		detail = append(detail, zoneDetail("_plain_"+u.name, plain)...)
	}
	full := zoneUser{name: "full", interZoneDelay: zoneUsers[0].interZoneDelay, rate: zoneFullRate}
	with, plain := run(full, zoneManaged), run(full, zonePlain)
	figures := []Figure{
		Bounded("late_starts", worst.lateStarts, "count", Exactly, 0),
		Bounded("cut_requests", worst.interrupted, "count", Exactly, 0),
		Bounded("ttft_p95_ratio_during_move", worst.moveRatio, "ratio", AtMost, zoneRatioTarget),
		Bounded("return_ttft_p95_ratio", worst.returnRatio, "ratio", AtMost, zoneRatioTarget),
		Plain("late_starts_plain", worstPlain.lateStarts, "count"),
		Plain("cut_requests_plain", worstPlain.interrupted, "count"),
		Plain("ttft_p95_ratio_during_move_plain", worstPlain.moveRatio, "ratio"),
		Plain("return_ttft_p95_ratio_plain", worstPlain.returnRatio, "ratio"),
		Plain("ttft_p95_ratio_during_move_no_notice", worstNoNotice.moveRatio, "ratio"),
		Plain("return_ttft_p95_ratio_no_notice", worstNoNotice.returnRatio, "ratio"),
		Plain("full_ttft_p95_ms", with.twoZoneMS, "ms"),
		Plain("full_ttft_p95_ms_plain", plain.twoZoneMS, "ms"),
		Plain("full_refused_part", with.refused/with.requests, "ratio"),
		Plain("full_refused_part_plain", plain.refused/plain.requests, "ratio"),
	}
	return Result{Figures: append(figures, detail...)}, nil
}

func worse(a, b zoneOutcome) zoneOutcome {
	return zoneOutcome{
		lateStarts: max(a.lateStarts, b.lateStarts), interrupted: max(a.interrupted, b.interrupted),
		moveRatio: max(a.moveRatio, b.moveRatio), returnRatio: max(a.returnRatio, b.returnRatio),
	}
}

func zoneDetail(suffix string, o zoneOutcome) []Figure {
	return []Figure{
		Plain("ttft_p95_ratio_during_move"+suffix, o.moveRatio, "ratio"),
		Plain("return_ttft_p95_ratio"+suffix, o.returnRatio, "ratio"),
		Plain("two_zones_ttft_p95_ratio"+suffix, o.twoZoneRatio, "ratio"),
		Plain("steady_ttft_p95_ms"+suffix, o.steadyMS, "ms"),
		Plain("hit_rate_steady"+suffix, o.hitSteady, "ratio"),
		Plain("hit_rate_move"+suffix, o.hitMove, "ratio"),
		Plain("hit_rate_return"+suffix, o.hitReturn, "ratio"),
		Plain("returned_part"+suffix, o.returnedShare, "ratio"),
		Plain("refused"+suffix, o.refused, "count"),
		Plain("moved_prefixes"+suffix, o.movedPrefixes, "count"),
		Plain("held_choices"+suffix, o.heldChoices, "count"),
	}
}
