package proof_test

import (
	"slices"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/proof"
)

const s = time.Second

// cleanRecord returns a record that contains faults but violates no guarantee.
func cleanRecord() proof.Record {
	return proof.Record{
		Attempts: []proof.Attempt{
			{ID: "a.1", Request: "a", Path: "/p/1", Router: "r1", Begin: 1 * s, End: 4 * s, Complete: true, Response: "x", Expected: "x"},
			{ID: "b.1", Request: "b", Router: "r1", Begin: 2 * s, End: 3 * s, Code: api.CodeZoneOut, Run: api.NotRun},
			{ID: "b.2", Request: "b", Path: "/p/2", Router: "r2", Begin: 4 * s, End: 5 * s, Run: api.RunUnknown, Code: api.CodeLinkLost},
			{ID: "c.1", Request: "c", Path: "/p/3", Router: "r2", Idempotent: true, Begin: 6 * s, End: 7 * s},
		},
		Outcomes: []proof.Outcome{{Request: "b", At: 6 * s, Run: api.Ran, Done: true}},
		Runs: []proof.Run{
			{Attempt: "a.1", Request: "a", Service: "s1", Upstream: "u1", Zone: "z1", Begin: 2 * s, End: 4 * s, Limit: 1, Complete: true},
			{Attempt: "b.2", Request: "b", Service: "s1", Upstream: "u1", Zone: "z1", Begin: 4 * s, End: 5 * s, Limit: 1, Complete: true},
			{Attempt: "c.1", Request: "c", Service: "s2", Upstream: "u2", Zone: "z2", Idempotent: true, Begin: 6 * s, End: 7 * s, Limit: 2},
			{Attempt: "c.1", Request: "c", Service: "s2", Upstream: "u3", Zone: "z2", Idempotent: true, Begin: 6 * s, End: 7 * s, Limit: 2, Complete: true},
		},
		Steps: []proof.Step{
			{Group: "g", Incarnation: 1, Step: 1, Rank: 0, Map: 1}, {Group: "g", Incarnation: 1, Step: 1, Rank: 1, Map: 1},
			{Group: "g", Incarnation: 1, Step: 2, Rank: 0, Map: 2}, {Group: "g", Incarnation: 1, Step: 2, Rank: 1, Map: 2},
		},
		Zones:        []proof.Exclusion{{Name: "z1", From: 3 * s, Until: 20 * s}},
		Leaving:      []proof.Exclusion{{Name: "u2", From: 4 * s, Until: 20 * s}},
		Publications: []proof.Publication{{Revision: 1}, {Revision: 2, At: 3 * s}, {Revision: 3, At: 10 * s}},
		Observations: []proof.Observation{
			{Node: "r1", At: 1 * s, Revision: 1, Ready: true}, {Node: "r1", At: 5 * s, Revision: 1, Ready: true},
			{Node: "r1", At: 6 * s, Revision: 2, Ready: true}, {Node: "r1", At: 14 * s, Revision: 2, Ready: true},
			{Node: "r1", Incarnation: 1, At: 15 * s}, {Node: "r1", Incarnation: 1, At: 16 * s, Revision: 3, Ready: true},
		},
		Shutdowns: []proof.Shutdown{{Node: "r1", Begin: 3 * s, End: 5 * s}, {Node: "vm-u1", Upstream: "u1", Begin: 3 * s, End: 4 * s}},
		Faults:    []proof.Fault{{Name: "service down", From: 9 * s, Until: 12 * s, BlocksUpdates: true}, {Name: "reset", From: 5 * s, Until: 9 * s}},
		Arrivals: []proof.Arrival{
			{Attempt: "a.1", Upstream: "u1", At: 2 * s}, {Attempt: "b.2", Upstream: "u1", At: 4 * s},
			{Attempt: "c.1", Upstream: "u2", At: 6 * s}, {Attempt: "c.1", Upstream: "u3", At: 6 * s},
		},
		ColdStarts:   []proof.ColdStart{{Upstream: "u1", Rate: 2, From: s, Until: 9 * s}},
		RouteChanges: []proof.RouteChange{{Path: "/p/", Service: "s1"}, {Path: "/p/", Service: "s2", At: 2500 * time.Millisecond}},
		Revoked:      []proof.Exclusion{{Name: "k1", From: s}},
		Usages:       []proof.Usage{{Node: "r1", Memory: 64, MemoryLimit: 64, Descriptors: 600, DescriptorLimit: 600}},
		End:          21 * s,
	}
}

func run(attempt, upstream, zone string, begin time.Duration) proof.Run {
	return proof.Run{Attempt: attempt, Request: attempt, Upstream: upstream, Zone: zone, Begin: begin, End: begin + s, Limit: 9, Complete: true}
}

// injectedViolations lists changes to a clean record. Each violates one guarantee, which
// the named checker must report.
var injectedViolations = []struct {
	checker, name string
	inject        func(*proof.Record)
}{
	{"one_map", "two maps in one step", func(r *proof.Record) {
		r.Steps = append(r.Steps, proof.Step{Group: "g", Incarnation: 1, Step: 2, Rank: 2, Map: 1})
	}},
	{"upstream_bound", "more runs than the limit", func(r *proof.Record) {
		r.Runs = append(r.Runs, proof.Run{Attempt: "d.1", Request: "d", Upstream: "u1", Begin: 4500 * time.Millisecond, End: 5 * s, Limit: 1, Complete: true})
	}},
	{"upstream_bound", "beside a run that has not ended", func(r *proof.Record) {
		r.Runs = append(r.Runs, proof.Run{Attempt: "d.1", Request: "d", Upstream: "u9", Begin: s, Limit: 1}, proof.Run{Attempt: "e.1", Request: "e", Upstream: "u9", Begin: 9 * s, End: 10 * s, Limit: 1})
	}},
	{"zone_out", "run after the limit", func(r *proof.Record) { r.Runs = append(r.Runs, run("d.1", "u1", "z1", 6500*time.Millisecond)) }},
	{"zone_out", "run after the limit and an outage", func(r *proof.Record) {
		r.Faults[0].From = 4 * s
		r.Runs = append(r.Runs, run("d.1", "u1", "z1", 15500*time.Millisecond))
	}},
	{"whole_answers", "short", func(r *proof.Record) { r.Attempts[0].Response = "" }},
	{"whole_answers", "foreign", func(r *proof.Record) { r.Attempts[0].Response = "y" }},
	{"not_run_true", "the attempt ran", func(r *proof.Record) { r.Runs = append(r.Runs, run("b.1", "u1", "z2", s)) }},
	{"not_run_true", "the outcome is wrong", func(r *proof.Record) { r.Outcomes[0].Run = api.NotRun }},
	{"at_most_once_and_kept", "ran twice", func(r *proof.Record) {
		r.Runs = append(r.Runs, proof.Run{Attempt: "a.2", Request: "a", Upstream: "u3", Begin: 9 * s, End: 10 * s, Limit: 9})
	}},
	{"at_most_once_and_kept", "response without a run", func(r *proof.Record) { r.Runs = r.Runs[1:] }},
	{"at_most_once_and_kept", "outcome without a run", func(r *proof.Record) { r.Outcomes[0].Request = "lost" }},
	{"at_most_once_and_kept", "forgotten", func(r *proof.Record) {
		r.Outcomes = append(r.Outcomes, proof.Outcome{Request: "a", At: 9 * s, Run: api.NotRun})
	}},
	{"leaving", "run after the limit", func(r *proof.Record) { r.Runs = append(r.Runs, run("d.1", "u2", "z2", 7500*time.Millisecond)) }},
	{"graceful_stop", "failed", func(r *proof.Record) { r.Shutdowns[0].Code = 1 }},
	{"graceful_stop", "request interrupted", func(r *proof.Record) { r.Attempts[0].Complete = false }},
	{"graceful_stop", "request interrupted before its deadline", func(r *proof.Record) {
		r.Attempts[0].Complete, r.Attempts[0].Code, r.Attempts[0].Timeout = false, api.CodeDeadlineExceeded, 4*s
	}},
	{"graceful_stop", "run interrupted before the deadline", func(r *proof.Record) {
		r.Runs[0].Complete, r.Attempts[0].Timeout = false, 4*s
	}},
	{"graceful_stop", "run interrupted", func(r *proof.Record) { r.Runs[0].Complete = false }},
	{"edge_zone_out", "run after the limit", func(r *proof.Record) { r.Runs = append(r.Runs, run("d.1", "u1", "z1", 8500*time.Millisecond)) }},
	{"edge_leaving", "run after the limit", func(r *proof.Record) { r.Runs = append(r.Runs, run("d.1", "u2", "z2", 6500*time.Millisecond)) }},
	{"edge_whole_answers", "short", func(r *proof.Record) { r.Attempts[0].Response = "" }},
	{"edge_not_run_true", "the attempt ran", func(r *proof.Record) { r.Runs = append(r.Runs, run("b.1", "u1", "z2", s)) }},
	{"edge_at_most_once", "ran twice", func(r *proof.Record) { r.Runs = append(r.Runs, run("a", "u3", "z2", 9*s)) }},
	{"edge_asked_for", "no caller sent it", func(r *proof.Record) { r.Runs = append(r.Runs, run("d.1", "u3", "z2", 9*s)) }},
	{"edge_asked_for", "for another member", func(r *proof.Record) { r.Runs[0].Member = "m2" }},
	{"edge_placed", "at a service without the route", func(r *proof.Record) { r.Runs[0].Service = "s3" }},
	{"edge_placed", "before the route change", func(r *proof.Record) { r.Runs[0].Service = "s2" }},
	{"edge_config_in_force", "under a replaced configuration", func(r *proof.Record) { r.Runs[2].Service = "s1" }},
	{"edge_revoked_keys", "with a revoked key", func(r *proof.Record) { r.Attempts[3].Begin, r.Attempts[3].Key = 6500*time.Millisecond, "k1" }},
	{"edge_retry_budget", "too many retries", func(r *proof.Record) {
		for range 200 {
			r.Arrivals = append(r.Arrivals, proof.Arrival{Attempt: "c.1", Upstream: "u2", At: 7 * s})
		}
	}},
	{"edge_cold_rate", "too many requests in a second", func(r *proof.Record) {
		for range 9 {
			r.Arrivals = append(r.Arrivals, proof.Arrival{Attempt: "b.2", Upstream: "u1", At: 4 * s})
		}
	}},
	{"edge_caller_left", "run continues", func(r *proof.Record) {
		r.Attempts[0].Canceled, r.Attempts[0].End = true, 3*s
	}},
	{"edge_graceful_stop", "request interrupted", func(r *proof.Record) { r.Attempts[0].Complete = false }},
	{"open_within_limits", "memory", func(r *proof.Record) { r.Usages[0].Memory++ }},
	{"open_within_limits", "descriptors", func(r *proof.Record) { r.Usages[0].Descriptors++ }},
	{"open_answered", "no answer for too long", func(r *proof.Record) {
		for at := 20 * s; at < 32*s; at += s {
			r.Attempts = append(r.Attempts, proof.Attempt{ID: "x", Router: "r9", Fresh: true, Begin: at, End: at + s/2})
		}
	}},
	{"config_in_force", "late", func(r *proof.Record) { r.Observations[1].At = 6500 * time.Millisecond }},
	{"config_in_force", "late after an outage", func(r *proof.Record) { r.Observations[3].At = 15500 * time.Millisecond }},
	{"config_in_force", "reverted", func(r *proof.Record) { r.Observations[3].Revision = 1 }},
	{"urgent_first", "higher priority refused more often", func(r *proof.Record) {
		compete(r, "m1", 1, 50, 50)
		compete(r, "m1", 0, 80, 20)
	}},
	{"member_share", "a fifth of the others", func(r *proof.Record) {
		compete(r, "m1", 0, 12, 50)
		compete(r, "m2", 0, 60, 50)
	}},
	{"edge_processes_alive", "process ended", func(r *proof.Record) {
		r.Exits = append(r.Exits, proof.Exit{Node: "edge-0", At: s, Code: 2})
	}},
	{"processes_alive", "process ended", func(r *proof.Record) {
		r.Exits = append(r.Exits, proof.Exit{Node: "r1", At: s, Code: 2})
	}},
	{"config_in_force", "lost by a restart", func(r *proof.Record) {
		r.Observations[4].Revision, r.Observations[4].Ready, r.Publications = 1, true, nil
	}},
}

// compete adds attempts of competing callers, of which some are complete and some refused.
func compete(r *proof.Record, member string, priority int32, complete, refused int) {
	for range complete {
		r.Attempts = append(r.Attempts, proof.Attempt{Member: member, Priority: priority, Competing: true, Complete: true, Idempotent: true})
	}
	for range refused {
		r.Attempts = append(r.Attempts, proof.Attempt{Member: member, Priority: priority, Competing: true, Code: api.CodeOverloaded, Run: api.NotRun})
	}
}

// Guards against violations reported where chance explains the difference, or where the
// more urgent requests are refused less often.
func TestOverloadCheckersAcceptOrderedRefusals(t *testing.T) {
	r := cleanRecord()
	compete(&r, "m1", 1, 80, 20)
	compete(&r, "m2", 0, 60, 40)
	compete(&r, "m2", 1, 78, 22)
	compete(&r, "m1", 0, 62, 38)
	for _, c := range proof.OverloadCheckers() {
		if found := c.Check(r); len(found) > 0 {
			t.Errorf("%s: %v", c.Name, found)
		}
	}
}

// Guards against a graceful stop that is blamed for a request that ended at the deadline of
// its own caller.
func TestGracefulShutdownIgnoresDeadlines(t *testing.T) {
	r := cleanRecord()
	r.Attempts[0].Complete, r.Attempts[0].Code, r.Attempts[0].Timeout = false, api.CodeDeadlineExceeded, 3*s
	r.Runs[0].Complete = false
	if found := proof.GracefulShutdown(r); len(found) > 0 {
		t.Error(found)
	}
}

// Guards against a checker that can't fail: each must report a violation that is
// injected into a clean record.
func TestCheckersFindInjectedViolations(t *testing.T) {
	tested := make(map[string]bool)
	for _, v := range injectedViolations {
		tested[v.checker] = true
		t.Run(v.checker+"/"+v.name, func(t *testing.T) {
			r := cleanRecord()
			v.inject(&r)
			if len(checkerNamed(t, v.checker)(r)) == 0 {
				t.Error("the violation was not reported")
			}
		})
	}
	for _, c := range allCheckers() {
		if !tested[c.Name] {
			t.Errorf("no violation is injected for %s", c.Name)
		}
	}
}

func allCheckers() []proof.Checker {
	return slices.Concat(proof.Checkers(), proof.EdgeCheckers(), proof.OpenEdgeCheckers(), proof.OverloadCheckers())
}

func checkerNamed(t *testing.T, name string) func(proof.Record) []proof.Violation {
	t.Helper()
	for _, c := range allCheckers() {
		if c.Name == name {
			return c.Check
		}
	}
	t.Fatalf("no checker %s", name)
	return nil
}

// Guards against false positives, which would hide real violations, in a record with
// faults, an outage and a restart.
func TestCheckersAcceptCleanRecord(t *testing.T) {
	for _, c := range allCheckers() {
		if found := c.Check(cleanRecord()); len(found) > 0 {
			t.Errorf("%s: %v", c.Name, found)
		}
	}
}
