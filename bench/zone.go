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
	zoneSteadyFrom = 150 * time.Second
	zoneNoticeAt   = 210 * time.Second
	zoneOutAt      = 510 * time.Second
	zoneMoveFor    = 30 * time.Second
	zoneReplaceAt  = 550 * time.Second
	zoneInAt       = 570 * time.Second
	zoneReturnFor  = 60 * time.Second
	zoneEnd        = 680 * time.Second
	zoneDrain      = 30 * time.Second
	// zoneNoticeLimit is the time after which no new work may start.
	zoneNoticeLimit = 3 * time.Second
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
	// between is the time one way between zones.
	between time.Duration
	rate    float64
}

var zoneUsers = []zoneUser{
	{name: "vale_do_sousa", between: 1100 * time.Microsecond, rate: 40},
	{name: "slnecne_bodky", between: 500 * time.Microsecond, rate: 46},
}

// zoneFullRate is more than two zones bear.
const zoneFullRate = 105

type zoneOutcome struct {
	late, cut, refused, held      float64
	move, back, two               float64
	steadyMS, moveMS, backMS      float64
	hitSteady, hitMove, hitReturn float64
	requests, backShare, lastMS   float64
	moved                         float64
}

func (w *zoneWorld) outcome() zoneOutcome {
	steady := w.p95(zoneSteadyFrom, zoneNoticeAt)
	move := w.p95(zoneOutAt, zoneOutAt+zoneMoveFor)
	if w.policy.notice {
		move = max(move, w.p95(zoneNoticeAt, zoneOutAt))
	}
	back := w.p95(zoneInAt, zoneInAt+zoneReturnFor)
	o := zoneOutcome{
		late: float64(w.late), cut: float64(w.cut + w.unanswered()), refused: float64(w.refused),
		steadyMS: steady, moveMS: move, backMS: back, move: move / steady, back: back / steady,
		two:       w.p95(zoneReplaceAt, zoneInAt) / steady,
		lastMS:    w.p95(zoneReplaceAt, zoneInAt),
		requests:  float64(len(w.requests)),
		hitSteady: w.hitRate(zoneSteadyFrom, zoneNoticeAt),
		hitMove:   w.hitRate(zoneOutAt, zoneOutAt+zoneMoveFor),
		hitReturn: w.hitRate(zoneInAt, zoneInAt+zoneReturnFor),
		backShare: w.returnedShare(),
	}
	for _, r := range w.routers {
		o.held += float64(r.zones.Counters().Held)
		o.moved += float64(r.zones.Counters().Moved)
	}
	return o
}

func runZone(ctx context.Context, p Params) (Result, error) {
	run := func(u zoneUser, policy zonePolicy) zoneOutcome {
		fmt.Fprintf(p.Progress, "zone: %s %+v\n", u.name, policy)
		w := newZoneWorld(p.Seed, u, policy)
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
	full := zoneUser{name: "full", between: zoneUsers[0].between, rate: zoneFullRate}
	with, plain := run(full, zoneManaged), run(full, zonePlain)
	figures := []Figure{
		Bounded("late_starts", worst.late, "count", Exactly, 0),
		Bounded("cut_requests", worst.cut, "count", Exactly, 0),
		Bounded("ttft_p95_ratio_during_move", worst.move, "ratio", AtMost, zoneRatioTarget),
		Bounded("return_ttft_p95_ratio", worst.back, "ratio", AtMost, zoneRatioTarget),
		Plain("late_starts_plain", worstPlain.late, "count"),
		Plain("cut_requests_plain", worstPlain.cut, "count"),
		Plain("ttft_p95_ratio_during_move_plain", worstPlain.move, "ratio"),
		Plain("return_ttft_p95_ratio_plain", worstPlain.back, "ratio"),
		Plain("ttft_p95_ratio_during_move_no_notice", worstNoNotice.move, "ratio"),
		Plain("return_ttft_p95_ratio_no_notice", worstNoNotice.back, "ratio"),
		Plain("full_ttft_p95_ms", with.lastMS, "ms"),
		Plain("full_ttft_p95_ms_plain", plain.lastMS, "ms"),
		Plain("full_refused_part", with.refused/with.requests, "ratio"),
		Plain("full_refused_part_plain", plain.refused/plain.requests, "ratio"),
	}
	return Result{Figures: append(figures, detail...)}, nil
}

func worse(a, b zoneOutcome) zoneOutcome {
	return zoneOutcome{
		late: max(a.late, b.late), cut: max(a.cut, b.cut),
		move: max(a.move, b.move), back: max(a.back, b.back),
	}
}

func zoneDetail(suffix string, o zoneOutcome) []Figure {
	return []Figure{
		Plain("ttft_p95_ratio_during_move"+suffix, o.move, "ratio"),
		Plain("return_ttft_p95_ratio"+suffix, o.back, "ratio"),
		Plain("two_zones_ttft_p95_ratio"+suffix, o.two, "ratio"),
		Plain("steady_ttft_p95_ms"+suffix, o.steadyMS, "ms"),
		Plain("hit_rate_steady"+suffix, o.hitSteady, "ratio"),
		Plain("hit_rate_move"+suffix, o.hitMove, "ratio"),
		Plain("hit_rate_return"+suffix, o.hitReturn, "ratio"),
		Plain("returned_part"+suffix, o.backShare, "ratio"),
		Plain("refused"+suffix, o.refused, "count"),
		Plain("moved_prefixes"+suffix, o.moved, "count"),
		Plain("held_choices"+suffix, o.held, "count"),
	}
}
