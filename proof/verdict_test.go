package proof_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/proof"
)

const s = time.Second

// clean is a run in which every promise is kept under faults.
func clean() proof.Record {
	return proof.Record{
		Sends: []proof.Send{
			{ID: "a.1", Request: "a", Path: "/p/1", Router: "r1", Begin: 1 * s, End: 4 * s, Whole: true, Answer: "x", Expected: "x"},
			{ID: "b.1", Request: "b", Router: "r1", Begin: 2 * s, End: 3 * s, Code: api.CodeZoneOut, Run: api.NotRun},
			{ID: "b.2", Request: "b", Path: "/p/2", Router: "r2", Begin: 4 * s, End: 5 * s, Run: api.RunUnknown, Code: api.CodeLinkLost},
			{ID: "c.1", Request: "c", Path: "/p/3", Router: "r2", Idempotent: true, Begin: 6 * s, End: 7 * s},
		},
		Outcomes: []proof.Outcome{{Request: "b", At: 6 * s, Run: api.Ran, Done: true}},
		Runs: []proof.Run{
			{Send: "a.1", Request: "a", Service: "s1", Upstream: "u1", Zone: "z1", Begin: 2 * s, End: 4 * s, Bound: 1, Whole: true},
			{Send: "b.2", Request: "b", Service: "s1", Upstream: "u1", Zone: "z1", Begin: 4 * s, End: 5 * s, Bound: 1, Whole: true},
			{Send: "c.1", Request: "c", Service: "s2", Upstream: "u2", Zone: "z2", Idempotent: true, Begin: 6 * s, End: 7 * s, Bound: 2},
			{Send: "c.1", Request: "c", Service: "s2", Upstream: "u3", Zone: "z2", Idempotent: true, Begin: 6 * s, End: 7 * s, Bound: 2, Whole: true},
		},
		Steps: []proof.Step{
			{Group: "g", Incarnation: 1, Step: 1, Rank: 0, Map: 1}, {Group: "g", Incarnation: 1, Step: 1, Rank: 1, Map: 1},
			{Group: "g", Incarnation: 1, Step: 2, Rank: 0, Map: 2}, {Group: "g", Incarnation: 1, Step: 2, Rank: 1, Map: 2},
		},
		Zones:     []proof.Taken{{Name: "z1", From: 3 * s, Until: 20 * s}},
		Leaving:   []proof.Taken{{Name: "u2", From: 4 * s, Until: 20 * s}},
		Published: []proof.Published{{Revision: 1}, {Revision: 2, At: 3 * s}, {Revision: 3, At: 10 * s}},
		Observed: []proof.Observation{
			{Node: "r1", At: 1 * s, Revision: 1, Ready: true}, {Node: "r1", At: 5 * s, Revision: 1, Ready: true},
			{Node: "r1", At: 6 * s, Revision: 2, Ready: true}, {Node: "r1", At: 14 * s, Revision: 2, Ready: true},
			{Node: "r1", Life: 1, At: 15 * s}, {Node: "r1", Life: 1, At: 16 * s, Revision: 3, Ready: true},
		},
		Stops:  []proof.Stop{{Node: "r1", Begin: 3 * s, End: 5 * s}, {Node: "vm-u1", Upstream: "u1", Begin: 3 * s, End: 4 * s}},
		Faults: []proof.Fault{{Name: "service down", From: 9 * s, Until: 12 * s, Hides: true}, {Name: "reset", From: 5 * s, Until: 9 * s}},
		Arrivals: []proof.Arrival{
			{Send: "a.1", Upstream: "u1", At: 2 * s}, {Send: "b.2", Upstream: "u1", At: 4 * s},
			{Send: "c.1", Upstream: "u2", At: 6 * s}, {Send: "c.1", Upstream: "u3", At: 6 * s},
		},
		Cold:    []proof.Cold{{Upstream: "u1", Rate: 2, From: s, Until: 9 * s}},
		Placed:  []proof.Placed{{Path: "/p/", Service: "s1"}, {Path: "/p/", Service: "s2", At: 2500 * time.Millisecond}},
		Revoked: []proof.Taken{{Name: "k1", From: s}},
		End:     21 * s,
	}
}

func run(send, upstream, zone string, begin time.Duration) proof.Run {
	return proof.Run{Send: send, Request: send, Upstream: upstream, Zone: zone, Begin: begin, End: begin + s, Bound: 9, Whole: true}
}

// planted breaks one promise each; the verdict must see it.
var planted = []struct {
	verdict, name string
	plant         func(*proof.Record)
}{
	{"one_map", "two maps in one step", func(r *proof.Record) {
		r.Steps = append(r.Steps, proof.Step{Group: "g", Incarnation: 1, Step: 2, Rank: 2, Map: 1})
	}},
	{"upstream_bound", "more runs than it bears", func(r *proof.Record) {
		r.Runs = append(r.Runs, proof.Run{Send: "d.1", Request: "d", Upstream: "u1", Begin: 4500 * time.Millisecond, End: 5 * s, Bound: 1, Whole: true})
	}},
	{"upstream_bound", "beside a run that has not ended", func(r *proof.Record) {
		r.Runs = append(r.Runs, proof.Run{Send: "d.1", Request: "d", Upstream: "u9", Begin: s, Bound: 1}, proof.Run{Send: "e.1", Request: "e", Upstream: "u9", Begin: 9 * s, End: 10 * s, Bound: 1})
	}},
	{"zone_out", "work after the limit", func(r *proof.Record) { r.Runs = append(r.Runs, run("d.1", "u1", "z1", 6500*time.Millisecond)) }},
	{"zone_out", "work long after an outage", func(r *proof.Record) {
		r.Faults[0].From = 4 * s
		r.Runs = append(r.Runs, run("d.1", "u1", "z1", 15500*time.Millisecond))
	}},
	{"whole_answers", "short", func(r *proof.Record) { r.Sends[0].Answer = "" }},
	{"whole_answers", "foreign", func(r *proof.Record) { r.Sends[0].Answer = "y" }},
	{"not_run_true", "the send ran", func(r *proof.Record) { r.Runs = append(r.Runs, run("b.1", "u1", "z2", s)) }},
	{"not_run_true", "the outcome is wrong", func(r *proof.Record) { r.Outcomes[0].Run = api.NotRun }},
	{"at_most_once_and_kept", "ran twice", func(r *proof.Record) {
		r.Runs = append(r.Runs, proof.Run{Send: "a.2", Request: "a", Upstream: "u3", Begin: 9 * s, End: 10 * s, Bound: 9})
	}},
	{"at_most_once_and_kept", "answered without a run", func(r *proof.Record) { r.Runs = r.Runs[1:] }},
	{"at_most_once_and_kept", "outcome without a run", func(r *proof.Record) { r.Outcomes[0].Request = "lost" }},
	{"at_most_once_and_kept", "forgotten", func(r *proof.Record) {
		r.Outcomes = append(r.Outcomes, proof.Outcome{Request: "a", At: 9 * s, Run: api.NotRun})
	}},
	{"leaving", "work after the limit", func(r *proof.Record) { r.Runs = append(r.Runs, run("d.1", "u2", "z2", 7500*time.Millisecond)) }},
	{"graceful_stop", "failed", func(r *proof.Record) { r.Stops[0].Code = 1 }},
	{"graceful_stop", "request cut off", func(r *proof.Record) { r.Sends[0].Whole = false }},
	{"graceful_stop", "run cut off", func(r *proof.Record) { r.Runs[0].Whole = false }},
	{"edge_zone_out", "work after the limit", func(r *proof.Record) { r.Runs = append(r.Runs, run("d.1", "u1", "z1", 8500*time.Millisecond)) }},
	{"edge_leaving", "work after the limit", func(r *proof.Record) { r.Runs = append(r.Runs, run("d.1", "u2", "z2", 6500*time.Millisecond)) }},
	{"edge_whole_answers", "short", func(r *proof.Record) { r.Sends[0].Answer = "" }},
	{"edge_not_run_true", "the send ran", func(r *proof.Record) { r.Runs = append(r.Runs, run("b.1", "u1", "z2", s)) }},
	{"edge_at_most_once", "ran twice", func(r *proof.Record) { r.Runs = append(r.Runs, run("a", "u3", "z2", 9*s)) }},
	{"edge_asked_for", "nobody asked", func(r *proof.Record) { r.Runs = append(r.Runs, run("d.1", "u3", "z2", 9*s)) }},
	{"edge_asked_for", "for another member", func(r *proof.Record) { r.Runs[0].Member = "m2" }},
	{"edge_placed", "at a service that never had it", func(r *proof.Record) { r.Runs[0].Service = "s3" }},
	{"edge_placed", "before it was placed there", func(r *proof.Record) { r.Runs[0].Service = "s2" }},
	{"edge_config_in_force", "under a replaced configuration", func(r *proof.Record) { r.Runs[2].Service = "s1" }},
	{"edge_revoked_keys", "under a revoked key", func(r *proof.Record) { r.Sends[3].Begin, r.Sends[3].Key = 6500*time.Millisecond, "k1" }},
	{"edge_retry_budget", "too many repeats", func(r *proof.Record) {
		for range 200 {
			r.Arrivals = append(r.Arrivals, proof.Arrival{Send: "c.1", Upstream: "u2", At: 7 * s})
		}
	}},
	{"edge_cold_rate", "too many requests in a second", func(r *proof.Record) {
		for range 9 {
			r.Arrivals = append(r.Arrivals, proof.Arrival{Send: "b.2", Upstream: "u1", At: 4 * s})
		}
	}},
	{"edge_caller_left", "works on", func(r *proof.Record) {
		r.Sends[0].Left, r.Sends[0].End = true, 3*s
	}},
	{"edge_graceful_stop", "request cut off", func(r *proof.Record) { r.Sends[0].Whole = false }},
	{"config_in_force", "late", func(r *proof.Record) { r.Observed[1].At = 6500 * time.Millisecond }},
	{"config_in_force", "late after an outage", func(r *proof.Record) { r.Observed[3].At = 15500 * time.Millisecond }},
	{"config_in_force", "reverted", func(r *proof.Record) { r.Observed[3].Revision = 1 }},
	{"config_in_force", "lost by a restart", func(r *proof.Record) {
		r.Observed[4].Revision, r.Observed[4].Ready, r.Published = 1, true, nil
	}},
}

// A verdict that can't fail proves nothing.
func TestVerdictsSeePlantedViolations(t *testing.T) {
	seen := make(map[string]bool)
	for _, p := range planted {
		seen[p.verdict] = true
		t.Run(p.verdict+"/"+p.name, func(t *testing.T) {
			r := clean()
			p.plant(&r)
			if len(judge(t, p.verdict)(r)) == 0 {
				t.Error("the violation was not seen")
			}
		})
	}
	for _, v := range all() {
		if !seen[v.Name] {
			t.Errorf("no violation is planted for %s", v.Name)
		}
	}
}

func all() []proof.Verdict { return append(proof.Verdicts(), proof.EdgeVerdicts()...) }

func judge(t *testing.T, name string) func(proof.Record) []proof.Violation {
	t.Helper()
	for _, v := range all() {
		if v.Name == name {
			return v.Judge
		}
	}
	t.Fatalf("no verdict %s", name)
	return nil
}

// A verdict that fails without cause hides the failures that have one.
func TestVerdictsPassACleanRun(t *testing.T) {
	for _, v := range all() {
		if found := v.Judge(clean()); len(found) > 0 {
			t.Errorf("%s: %v", v.Name, found)
		}
	}
}
