package poison

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const fp = uint64(42)

// start is late enough that crashes of any age have a positive time.
const start = 100 * time.Hour

// stateWith returns a state that has received a report on fp.
func stateWith(crashes ...api.Crash) *State {
	s := New(0)
	s.Merge(start, []api.Suspicion{{Fingerprint: fp, Crashes: crashes}})
	return s
}

// crashAt returns a crash of the given age.
func crashAt(id uint64, upstream string, age time.Duration, alone bool) api.Crash {
	return api.Crash{ID: id, Upstream: upstream, Age: age, Alone: alone}
}

// TestStatus guards against a harmless request that stays blocked, and against a
// request that crashes upstreams but is blocked too late or too briefly.
func TestStatus(t *testing.T) {
	cleared := crashAt(1, "a", 0, true)
	cleared.Cleared = true
	cases := []struct {
		name    string
		crashes []api.Crash
		after   time.Duration
		want    Status
	}{
		{"unknown", nil, 0, Clean},
		{"in one batch", []api.Crash{crashAt(1, "a", 0, false)}, 0, Suspect},
		{"in many batches", []api.Crash{crashAt(1, "a", 0, false), crashAt(2, "b", 0, false), crashAt(3, "c", 0, false)}, 0, Suspect},
		{"once alone", []api.Crash{crashAt(1, "a", 0, false), crashAt(2, "a", 0, true)}, 0, Suspect},
		{"twice alone", []api.Crash{crashAt(2, "a", 0, true), crashAt(3, "a", 0, true)}, 0, Blocked},
		{"one crash reported twice", []api.Crash{crashAt(2, "a", 0, true), crashAt(2, "a", time.Second, true)}, 0, Suspect},
		{"cleared since", []api.Crash{cleared}, 0, Clean},
		{"cleared, then suspect again", []api.Crash{cleared, crashAt(2, "a", 0, false)}, 0, Suspect},
		{"another run after the block", []api.Crash{crashAt(2, "a", 0, true), crashAt(3, "a", 0, true)}, minBlockTime, Suspect},
		{"blocked longer after a third crash", []api.Crash{crashAt(2, "a", 0, true), crashAt(3, "a", 0, true), crashAt(4, "a", 0, true)}, minBlockTime, Blocked},
		{"expired", []api.Crash{crashAt(2, "a", 0, true), crashAt(3, "a", 0, true)}, crashTTL, Clean},
		{"too old to be reported", []api.Crash{crashAt(1, "a", reportTTL, false)}, 0, Clean},
	}
	for _, c := range cases {
		if got := stateWith(c.crashes...).Status(start+c.after, fp); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestPlace guards against a suspect that runs at a third upstream or without
// isolation, or that never runs because its upstream was removed.
func TestPlace(t *testing.T) {
	all := func(usable ...bool) (c []Candidate) {
		for i, u := range usable {
			c = append(c, Candidate{Name: string(rune('a' + i)), Usable: u})
		}
		return c
	}
	twoCrashes := []api.Crash{crashAt(1, "a", 0, false), crashAt(2, "b", 0, false)}
	cases := []struct {
		name       string
		crashes    []api.Crash
		candidates []Candidate
		after      time.Duration
		wantOneOf  string
		refused    bool
	}{
		{"clean", nil, all(true, true), 0, "", false},
		{"where it crashed", []api.Crash{crashAt(1, "b", 0, false)}, all(true, true, true), 0, "b", false},
		{"waits for the upstream", []api.Crash{crashAt(1, "b", 0, false)}, all(true, false, true), 0, "", true},
		{"upstream stays unusable", []api.Crash{crashAt(1, "b", 0, false)}, all(true, false, true), otherUpstreamDelay, "ac", false},
		{"upstream removed", []api.Crash{crashAt(1, "z", 0, false)}, all(true, true), 0, "ab", false},
		{"either of two", twoCrashes, all(true, true, true), 0, "ab", false},
		{"the usable one of two", twoCrashes, all(false, true, true), 0, "b", false},
		{"never at a third", twoCrashes, all(false, false, true), otherUpstreamDelay, "", true},
		{"condemned", []api.Crash{crashAt(1, "a", 0, true), crashAt(2, "a", 0, true)}, all(true), 0, "", true},
	}
	for _, c := range cases {
		p := stateWith(c.crashes...).Place(start+c.after, fp, c.candidates)
		found := p.Upstream == "" && c.wantOneOf == ""
		for _, name := range c.wantOneOf {
			found = found || p.Upstream == string(name)
		}
		if !found || (p.Failure != nil) != c.refused || p.Isolate != (c.wantOneOf != "") {
			t.Errorf("%s: %+v", c.name, p)
		}
	}
}

// TestCheck guards against a suspect that runs together with other requests because
// the router has no record of its crash.
func TestCheck(t *testing.T) {
	crash := crashAt(1, "a", 0, false)
	cases := []struct {
		name     string
		s        *State
		upstream string
		isolate  bool
		alone    bool
		refused  bool
	}{
		{"clean", stateWith(), "a", false, false, false},
		{"marked by the router", stateWith(), "a", true, true, false},
		{"where it crashed", stateWith(crash), "a", false, true, false},
		{"elsewhere, unmarked", stateWith(crash), "b", false, false, true},
		{"elsewhere, marked", stateWith(crash), "b", true, true, false},
		{"blocked, marked", stateWith(crashAt(1, "a", 0, true), crashAt(2, "a", 0, true)), "a", true, false, true},
	}
	for _, c := range cases {
		alone, f := c.s.Check(start, fp, c.upstream, c.isolate)
		if alone != c.alone || (f != nil) != c.refused {
			t.Errorf("%s: alone %v, failure %v", c.name, alone, f)
		}
	}
}

// TestMemoryIsBounded guards against unbounded growth under a flood of
// fingerprints, and against a flood that evicts blocked requests.
func TestMemoryIsBounded(t *testing.T) {
	s := New(100)
	s.RecordCrash(0, "a", 1, []uint64{fp})
	s.RecordCrash(0, "a", 2, []uint64{fp})
	for i := range uint64(1000) {
		s.RecordCrash(time.Second, "b", 10+i, []uint64{1000 + i, 5000 + i})
	}
	if s.Len() > 100 || s.Status(time.Second, fp) != Blocked {
		t.Errorf("%d records, status %d", s.Len(), s.Status(time.Second, fp))
	}
	for i := range uint64(100) {
		s.RecordCrash(time.Second, "b", 9000+i, []uint64{fp})
	}
	if n := len(s.records[fp].crashes); n > maxCrashesPerRequest {
		t.Errorf("%d crashes in one record", n)
	}
	if upstreams, _ := s.crashedUpstreams(time.Second, fp); len(upstreams) != 2 {
		t.Errorf("upstreams %v, want both kept", upstreams)
	}
	if s.Expire(time.Second + crashTTL); s.Len() != 0 {
		t.Errorf("%d records after they expired", s.Len())
	}
}
