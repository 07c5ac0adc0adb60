package bench

import (
	"context"
	"fmt"
	"time"
)

func init() {
	register(Experiment{
		Name:     "zone",
		Question: "Does service quality hold while an availability zone leaves and returns with empty caches, and what do admission control, the cold start ramp and paced prefix moves add?",
		Run:      runZone,
	})
}

// Times of the modelled move of a zone. Its engines are replaced while it is out,
// so they return with empty caches.
const (
	zoneSteadyFrom   = 150 * time.Second
	zoneNoticeAt     = 210 * time.Second
	zoneOutAt        = 510 * time.Second
	zoneMoveWindow   = 30 * time.Second
	zoneReplaceAt    = 550 * time.Second
	zoneInAt         = 570 * time.Second
	zoneReturnWindow = 60 * time.Second
	zoneEnd          = 680 * time.Second
	// zoneDrain is the time after zoneEnd for requests in flight to complete.
	zoneDrain = 30 * time.Second
	// zoneLateAfter is the time after zoneOutAt from which a start in the zone counts
	// as late.
	zoneLateAfter   = 3 * time.Second
	zoneRatioTarget = 1.25
)

// zonePolicy selects the mechanisms for the move of a zone.
type zonePolicy struct {
	// plain disables admission control, the ramp and prefix moves.
	plain bool
	// notice announces the move, so that prefixes move in advance.
	notice bool
}

var (
	zoneManaged  = zonePolicy{notice: true}
	zoneNoNotice = zonePolicy{}
	zoneBaseline = zonePolicy{plain: true}
)

// zoneUser is the deployment of one user.
type zoneUser struct {
	name string
	// interZoneDelay is the one-way network delay between zones.
	interZoneDelay time.Duration
	rate           float64
}

var zoneUsers = []zoneUser{
	{name: "vale_do_sousa", interZoneDelay: 1100 * time.Microsecond, rate: 40},
	{name: "slnecne_bodky", interZoneDelay: 500 * time.Microsecond, rate: 46},
}

// zoneFullRate is a request rate above the capacity of two zones.
const zoneFullRate = 105

// zoneOutcome holds the figures of one run. Ratios are relative to the period before
// the move.
type zoneOutcome struct {
	lateStarts, interrupted, refused, heldChoices float64
	moveRatio, returnRatio, twoZoneRatio          float64
	steadyMS, moveMS, returnMS                    float64
	hitSteady, hitMove, hitReturn                 float64
	requests, returnedShare, twoZoneMS            float64
	movedPrefixes                                 float64
}

func (s *zoneSim) outcome() zoneOutcome {
	steady := s.ttftP95(zoneSteadyFrom, zoneNoticeAt)
	move := s.ttftP95(zoneOutAt, zoneOutAt+zoneMoveWindow)
	if s.policy.notice {
		move = max(move, s.ttftP95(zoneNoticeAt, zoneOutAt))
	}
	returned := s.ttftP95(zoneInAt, zoneInAt+zoneReturnWindow)
	o := zoneOutcome{
		lateStarts: float64(s.lateStarts), interrupted: float64(s.interrupted + s.unanswered()), refused: float64(s.refused),
		steadyMS: steady, moveMS: move, returnMS: returned, moveRatio: move / steady, returnRatio: returned / steady,
		twoZoneRatio:  s.ttftP95(zoneReplaceAt, zoneInAt) / steady,
		twoZoneMS:     s.ttftP95(zoneReplaceAt, zoneInAt),
		requests:      float64(len(s.requests)),
		hitSteady:     s.hitRate(zoneSteadyFrom, zoneNoticeAt),
		hitMove:       s.hitRate(zoneOutAt, zoneOutAt+zoneMoveWindow),
		hitReturn:     s.hitRate(zoneInAt, zoneInAt+zoneReturnWindow),
		returnedShare: s.returnedShare(),
	}
	for _, r := range s.routers {
		o.heldChoices += float64(r.zones.Counters().Held)
		o.movedPrefixes += float64(r.zones.Counters().Moved)
	}
	return o
}

func runZone(ctx context.Context, p Params) (Result, error) {
	run := func(u zoneUser, policy zonePolicy) zoneOutcome {
		fmt.Fprintf(p.Progress, "zone: %s %+v\n", u.name, policy)
		s := newZoneSim(p.Seed, u, policy)
		s.run()
		return s.outcome()
	}
	var worst, worstPlain, worstNoNotice zoneOutcome
	var detail []Figure
	for _, u := range zoneUsers {
		if err := ctx.Err(); err != nil {
			return Result{}, err
		}
		managed, plain, noNotice := run(u, zoneManaged), run(u, zoneBaseline), run(u, zoneNoNotice)
		worst, worstPlain, worstNoNotice = worse(worst, managed), worse(worstPlain, plain), worse(worstNoNotice, noNotice)
		detail = append(detail, zoneDetail("_"+u.name, managed)...)
		detail = append(detail, zoneDetail("_no_notice_"+u.name, noNotice)...)
		detail = append(detail, zoneDetail("_plain_"+u.name, plain)...)
	}
	full := zoneUser{name: "full", interZoneDelay: zoneUsers[0].interZoneDelay, rate: zoneFullRate}
	managed, plain := run(full, zoneManaged), run(full, zoneBaseline)
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
		Plain("full_ttft_p95_ms", managed.twoZoneMS, "ms"),
		Plain("full_ttft_p95_ms_plain", plain.twoZoneMS, "ms"),
		Plain("full_refused_part", managed.refused/managed.requests, "ratio"),
		Plain("full_refused_part_plain", plain.refused/plain.requests, "ratio"),
	}
	return Result{Figures: append(figures, detail...)}, nil
}

// worse returns the maximum of each figure that has a target.
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
