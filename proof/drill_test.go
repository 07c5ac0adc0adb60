package proof_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
)

const ms = time.Millisecond

// drillRecord has three versions of the configuration: the second adds a route and a key and
// moves a route, the third removes the route and withdraws the key.
func drillRecord() proof.Record {
	return proof.Record{
		Versions: []proof.ConfigVersion{
			{Number: 1, Routes: map[string]string{"/a/": "s1", "/m/": "s1"}, Keys: map[string]bool{"k": true}, Acknowledged: ms},
			{
				Number: 4, Routes: map[string]string{"/a/": "s1", "/m/": "s2", "/n/": "s2"}, Keys: map[string]bool{"k": true, "l": true},
				Sent: 10 * s, Acknowledged: 10*s + 5*ms,
			},
			{
				Number: 5, Routes: map[string]string{"/a/": "s1", "/m/": "s2"}, Keys: map[string]bool{"k": true},
				Sent: 20 * s, Acknowledged: 20*s + 5*ms,
			},
		},
		End: 60 * s,
	}
}

// answered adds an attempt at edge e that began at a time, and the service that ran it or the
// status that refused it.
func answered(r *proof.Record, at time.Duration, path, key string, outcome any) {
	id := at.String() + path + key
	a := proof.Attempt{ID: id, Router: "e", Path: path, Key: key, Begin: at, End: at + 10*ms, ProcessStart: s}
	if service, ran := outcome.(string); ran {
		a.Status = http.StatusOK
		r.Runs = append(r.Runs, proof.Run{Attempt: id, Service: service, Begin: at + 5*ms, End: at + 8*ms})
	} else {
		a.Status = outcome.(int)
	}
	r.Attempts = append(r.Attempts, a)
}

func at(times ...time.Duration) []time.Duration { return times }

func checkTimes(t *testing.T, found []proof.Violation, want []time.Duration) {
	t.Helper()
	var times []time.Duration
	for _, v := range found {
		times = append(times, v.At)
		if v.Node != "e" {
			t.Errorf("violation of %q, want edge e: %v", v.Node, v)
		}
	}
	if !slices.Equal(times, want) {
		t.Errorf("violations at %v, want %v: %v", times, want, found)
	}
}

// Guards against a checker that misses an edge with an old configuration, or reports one that
// is out of touch or within the limit.
func TestConfigInTime(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*proof.Record)
		want   []time.Duration
	}{
		"newest route":                        {func(r *proof.Record) { answered(r, 15*s, "/n/", "l", "s2") }, nil},
		"route refused within the limit":      {func(r *proof.Record) { answered(r, 12*s, "/n/", "k", 404) }, nil},
		"route refused late":                  {func(r *proof.Record) { answered(r, 12*s+6*ms, "/n/", "k", 404) }, at(12*s + 6*ms)},
		"key refused late":                    {func(r *proof.Record) { answered(r, 15*s, "/a/", "l", 401) }, at(15 * s)},
		"refused for another reason":          {func(r *proof.Record) { answered(r, 15*s, "/n/", "k", 503) }, nil},
		"refused as a newer version is sent":  {func(r *proof.Record) { answered(r, 20*s-ms, "/n/", "k", 404) }, nil},
		"old service late":                    {func(r *proof.Record) { answered(r, 15*s, "/m/", "k", "s1") }, at(15 * s)},
		"removed route runs within the limit": {func(r *proof.Record) { answered(r, 22*s, "/n/", "k", "s2") }, nil},
		"removed route runs late":             {func(r *proof.Record) { answered(r, 25*s, "/n/", "k", "s2") }, at(25 * s)},
		"withdrawn key runs late":             {func(r *proof.Record) { answered(r, 25*s, "/a/", "l", "s1") }, at(25 * s)},
		"removed route refused":               {func(r *proof.Record) { answered(r, 25*s, "/n/", "k", 404) }, nil},
		"not acknowledged":                    {func(r *proof.Record) { r.Versions[1].Acknowledged = 0; answered(r, 15*s, "/n/", "k", 404) }, nil},
		"store away until 3 s before": {func(r *proof.Record) {
			r.Faults = []proof.Fault{{From: 11 * s, Until: 12 * s}}
			answered(r, 15*s, "/n/", "k", 404)
			answered(r, 15*s+ms, "/n/", "k", 404)
		}, at(15*s + ms)},
		"store away at the end": {func(r *proof.Record) {
			r.Faults = []proof.Fault{{From: 15*s + 5*ms}}
			answered(r, 15*s, "/n/", "k", 404)
		}, nil},
		"edge disturbed": {func(r *proof.Record) {
			r.Faults = []proof.Fault{{Nodes: []string{"e"}, From: 13 * s, Until: 13 * s}}
			answered(r, 15*s, "/n/", "k", 404)
		}, nil},
		"other edge disturbed": {func(r *proof.Record) {
			r.Faults = []proof.Fault{{Nodes: []string{"f"}, From: 13 * s, Until: 13 * s}}
			answered(r, 15*s, "/n/", "k", 404)
		}, at(15 * s)},
	} {
		t.Run(name, func(t *testing.T) {
			r := drillRecord()
			c.change(&r)
			checkTimes(t, proof.ConfigInTime(r), c.want)
		})
	}
}

// Guards against a checker that misses a process that goes back to an older configuration
// while it is out of touch.
func TestConfigRegress(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*proof.Record)
		want   []time.Duration
	}{
		"refused before the effect":     {func(r *proof.Record) { answered(r, 10*s, "/n/", "k", 404); answered(r, 11*s, "/n/", "k", "s2") }, nil},
		"refused within the slack":      {func(r *proof.Record) { answered(r, 11*s, "/n/", "k", "s2"); answered(r, 11*s+255*ms, "/n/", "k", 404) }, nil},
		"refused later":                 {func(r *proof.Record) { answered(r, 11*s, "/n/", "k", "s2"); answered(r, 11*s+256*ms, "/n/", "k", 404) }, at(11*s + 256*ms)},
		"another effect of the version": {func(r *proof.Record) { answered(r, 11*s, "/m/", "k", "s2"); answered(r, 12*s, "/a/", "l", 401) }, at(12 * s)},
		"old service":                   {func(r *proof.Record) { answered(r, 11*s, "/n/", "k", "s2"); answered(r, 12*s, "/m/", "k", "s1") }, at(12 * s)},
		"no effect seen":                {func(r *proof.Record) { answered(r, 11*s, "/a/", "k", "s1"); answered(r, 12*s, "/n/", "k", 404) }, nil},
		"removed since":                 {func(r *proof.Record) { answered(r, 11*s, "/n/", "k", "s2"); answered(r, 20*s, "/n/", "k", 404) }, nil},
		"another process": {func(r *proof.Record) {
			answered(r, 11*s, "/n/", "k", "s2")
			answered(r, 12*s, "/n/", "k", 404)
			r.Attempts[1].ProcessStart = 11500 * ms
		}, nil},
		"store away": {func(r *proof.Record) {
			r.Faults = []proof.Fault{{From: 11500 * ms}}
			answered(r, 11*s, "/n/", "k", "s2")
			answered(r, 12*s, "/n/", "k", 404)
		}, at(12 * s)},
	} {
		t.Run(name, func(t *testing.T) {
			r := drillRecord()
			c.change(&r)
			checkTimes(t, proof.ConfigRegress(r), c.want)
		})
	}
}

// Guards against a checker that misses refusals of proper requests, or takes for proper what
// a version in force doesn't allow.
func TestProperRequestsAdmitted(t *testing.T) {
	away := []proof.Fault{{From: 9 * s}}
	for name, c := range map[string]struct {
		change func(*proof.Record)
		want   []time.Duration
	}{
		"run":                              {func(r *proof.Record) { answered(r, 15*s, "/a/", "k", "s1") }, nil},
		"allowed by all versions":          {func(r *proof.Record) { r.Faults = away; answered(r, 15*s, "/a/", "k", 404) }, at(15 * s)},
		"allowed by those in force":        {func(r *proof.Record) { answered(r, 15*s, "/n/", "k", 404) }, at(15 * s)},
		"out of touch":                     {func(r *proof.Record) { r.Faults = away; answered(r, 15*s, "/n/", "k", 404) }, nil},
		"older version may be in force":    {func(r *proof.Record) { answered(r, 11*s, "/n/", "k", 404) }, nil},
		"newer version may be in force":    {func(r *proof.Record) { answered(r, 21*s, "/n/", "k", 404) }, nil},
		"key of no version":                {func(r *proof.Record) { answered(r, 15*s, "/a/", "x", 401) }, nil},
		"key of some versions out of time": {func(r *proof.Record) { answered(r, 25*s, "/a/", "l", 401) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := drillRecord()
			c.change(&r)
			checkTimes(t, proof.ProperRequestsAdmitted(r), c.want)
		})
	}
}

// Guards against a checker that misses requests at a departed upstream, or binds an edge that
// can't know of the departure.
func TestDeparturesApplied(t *testing.T) {
	// The departure is acknowledged at 10 s and must be known at 12 s.
	const late = 18 * s
	lost := proof.Fault{From: 14 * s, Until: 14500 * ms}
	restore := proof.Restore{CopiedAt: 9 * s, At: 14500 * ms}
	for name, c := range map[string]struct {
		arrival, processStart time.Duration
		faults                []proof.Fault
		restores              []proof.Restore
		again                 time.Duration
		bound, lost           bool
	}{
		"within the limit":      {arrival: 12 * s, processStart: s},
		"late":                  {arrival: 12*s + ms, processStart: s, bound: true},
		"process started since": {arrival: late, processStart: 11 * s, bound: true},
		"edge disturbed":        {arrival: late, processStart: s, faults: []proof.Fault{{Nodes: []string{"e"}, From: 15 * s, Until: 15 * s}}},
		"known, store away":     {arrival: 14200 * ms, processStart: s, faults: []proof.Fault{lost}, bound: true},
		"known, store away, edge disturbed": {
			arrival: 14200 * ms, processStart: s, faults: []proof.Fault{lost, {Nodes: []string{"e"}, From: 13 * s, Until: 14 * s}},
		},
		"not known for sure, store away": {arrival: 12300 * ms, processStart: s, faults: []proof.Fault{{From: 11 * s, Until: 13 * s}}},
		"known, lost by the store":       {arrival: late, processStart: s, faults: []proof.Fault{lost}, restores: []proof.Restore{restore}, bound: true},
		"lost, process started since":    {arrival: late, processStart: 14 * s, faults: []proof.Fault{lost}, restores: []proof.Restore{restore}, lost: true},
		"lost and written again": {
			arrival: late, processStart: 14 * s, faults: []proof.Fault{lost}, restores: []proof.Restore{restore}, again: 15500 * ms, bound: true,
		},
		"in the copy": {
			arrival: late, processStart: 14 * s, faults: []proof.Fault{lost}, restores: []proof.Restore{{CopiedAt: 10100 * ms, At: 14500 * ms}}, bound: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := drillRecord()
			answered(&r, c.arrival-5*ms, "/a/", "k", "s1")
			r.Attempts[0].ProcessStart = c.processStart
			r.Arrivals = []proof.Arrival{{Attempt: r.Attempts[0].ID, Upstream: "u", At: c.arrival}}
			r.Departures = []proof.Departure{{Upstream: "u", At: 10 * s}, {Upstream: "v", At: s}}
			if c.again > 0 {
				r.Departures = append(r.Departures, proof.Departure{Upstream: "u", At: c.again})
			}
			r.Faults, r.Restores = c.faults, c.restores
			var want []time.Duration
			if c.bound {
				want = at(c.arrival)
			}
			checkTimes(t, proof.DeparturesApplied(r), want)
			if found := proof.LostDeparturesApplied(r); c.lost && len(found) != 1 {
				t.Errorf("lost departures: %v, want one", found)
			}
		})
	}
}
