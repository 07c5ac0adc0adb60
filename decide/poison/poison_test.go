package poison

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const fp = uint64(42)

// start leaves room for crashes of any age before it.
const start = 100 * time.Hour

func known(crashes ...api.Crash) *State {
	s := New(0)
	s.Merge(start, []api.Suspicion{{Fingerprint: fp, Crashes: crashes}})
	return s
}

func at(id uint64, upstream string, age time.Duration, alone bool) api.Crash {
	return api.Crash{ID: id, Upstream: upstream, Age: age, Alone: alone}
}

// TestStanding guards against an innocent that stays refused, and against a
// poison request that is trusted again too early.
func TestStanding(t *testing.T) {
	cleared := at(1, "a", 0, true)
	cleared.Cleared = true
	cases := []struct {
		name    string
		crashes []api.Crash
		after   time.Duration
		want    Status
	}{
		{"unknown", nil, 0, Clean},
		{"in one batch", []api.Crash{at(1, "a", 0, false)}, 0, Suspect},
		{"in many batches", []api.Crash{at(1, "a", 0, false), at(2, "b", 0, false), at(3, "c", 0, false)}, 0, Suspect},
		{"once alone", []api.Crash{at(1, "a", 0, false), at(2, "a", 0, true)}, 0, Suspect},
		{"twice alone", []api.Crash{at(2, "a", 0, true), at(3, "a", 0, true)}, 0, Condemned},
		{"one crash shared twice", []api.Crash{at(2, "a", 0, true), at(2, "a", time.Second, true)}, 0, Suspect},
		{"cleared since", []api.Crash{cleared}, 0, Clean},
		{"cleared, then again", []api.Crash{cleared, at(2, "a", 0, false)}, 0, Suspect},
		{"second run after the sentence", []api.Crash{at(2, "a", 0, true), at(3, "a", 0, true)}, condemnFor, Suspect},
		{"third time lasts longer", []api.Crash{at(2, "a", 0, true), at(3, "a", 0, true), at(4, "a", 0, true)}, condemnFor, Condemned},
		{"expired", []api.Crash{at(2, "a", 0, true), at(3, "a", 0, true)}, evidenceTTL, Clean},
		{"too old to be shared", []api.Crash{at(1, "a", shareTTL, false)}, 0, Clean},
	}
	for _, c := range cases {
		if got := known(c.crashes...).Status(start+c.after, fp); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestPlace guards against a suspect that is tried at a third upstream, one
// that runs in a batch, and one that is never tried because its upstream is gone.
func TestPlace(t *testing.T) {
	all := func(usable ...bool) (c []Candidate) {
		for i, u := range usable {
			c = append(c, Candidate{Name: string(rune('a' + i)), Usable: u})
		}
		return c
	}
	twoSites := []api.Crash{at(1, "a", 0, false), at(2, "b", 0, false)}
	cases := []struct {
		name       string
		crashes    []api.Crash
		candidates []Candidate
		after      time.Duration
		within     string
		refused    bool
	}{
		{"clean", nil, all(true, true), 0, "", false},
		{"where it crashed", []api.Crash{at(1, "b", 0, false)}, all(true, true, true), 0, "b", false},
		{"waits for the upstream", []api.Crash{at(1, "b", 0, false)}, all(true, false, true), 0, "", true},
		{"upstream stays away", []api.Crash{at(1, "b", 0, false)}, all(true, false, true), siteWait, "ac", false},
		{"upstream left", []api.Crash{at(1, "z", 0, false)}, all(true, true), 0, "ab", false},
		{"either of two", twoSites, all(true, true, true), 0, "ab", false},
		{"the one that is back", twoSites, all(false, true, true), 0, "b", false},
		{"never at a third", twoSites, all(false, false, true), siteWait, "", true},
		{"condemned", []api.Crash{at(1, "a", 0, true), at(2, "a", 0, true)}, all(true), 0, "", true},
	}
	for _, c := range cases {
		p := known(c.crashes...).Place(start+c.after, fp, c.candidates)
		found := p.Upstream == "" && c.within == ""
		for _, name := range c.within {
			found = found || p.Upstream == string(name)
		}
		if !found || (p.Failure != nil) != c.refused || p.Isolate != (c.within != "") {
			t.Errorf("%s: %+v", c.name, p)
		}
	}
}

// TestAgentCheck guards against a suspect that slips into a batch through a
// router that does not know of it.
func TestAgentCheck(t *testing.T) {
	crash := at(1, "a", 0, false)
	cases := []struct {
		name     string
		s        *State
		upstream string
		isolate  bool
		alone    bool
		refused  bool
	}{
		{"clean", known(), "a", false, false, false},
		{"marked by the router", known(), "a", true, true, false},
		{"where it crashed", known(crash), "a", false, true, false},
		{"elsewhere, unmarked", known(crash), "b", false, false, true},
		{"elsewhere, marked", known(crash), "b", true, true, false},
		{"condemned, marked", known(at(1, "a", 0, true), at(2, "a", 0, true)), "a", true, false, true},
	}
	for _, c := range cases {
		alone, f := c.s.Check(start, fp, c.upstream, c.isolate)
		if alone != c.alone || (f != nil) != c.refused {
			t.Errorf("%s: alone %v, failure %v", c.name, alone, f)
		}
	}
}

// TestMemoryIsBounded guards against growth under a flood of fingerprints,
// and against a flood that makes the process forget condemned requests.
func TestMemoryIsBounded(t *testing.T) {
	s := New(100)
	s.Crashed(0, "a", 1, []uint64{fp})
	s.Crashed(0, "a", 2, []uint64{fp})
	for i := range uint64(1000) {
		s.Crashed(time.Second, "b", 10+i, []uint64{1000 + i, 5000 + i})
	}
	if s.Len() > 100 || s.Status(time.Second, fp) != Condemned {
		t.Errorf("%d records, status %d", s.Len(), s.Status(time.Second, fp))
	}
	for i := range uint64(100) {
		s.Crashed(time.Second, "b", 9000+i, []uint64{fp})
	}
	if n := len(s.records[fp].crashes); n > maxCrashes {
		t.Errorf("%d crashes in one record", n)
	}
	if sites, _ := s.sites(time.Second, fp); len(sites) != 2 {
		t.Errorf("upstreams %v, want both kept", sites)
	}
	if s.Expire(time.Second + evidenceTTL); s.Len() != 0 {
		t.Errorf("%d records after the end of their time", s.Len())
	}
}
