package holdoff_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/holdoff"
	"pgregory.net/rapid"
)

func wants(d time.Duration) api.UpstreamStatement { return api.UpstreamStatement{HoldOff: &d} }

// Guards against a hold-off that is too long or short, that an earlier statement
// outlives, and against statements held against another start of the upstream.
func TestStatements(t *testing.T) {
	of, next := holdoff.Incarnation{Upstream: "u", StartedAtMs: 1}, holdoff.Incarnation{Upstream: "u", StartedAtMs: 2}
	for _, c := range []struct {
		name       string
		statements []api.UpstreamStatement
		leaving    bool
		heldUntil  time.Duration
	}{
		{name: "nothing said", statements: []api.UpstreamStatement{{}}},
		{name: "leaves", statements: []api.UpstreamStatement{{Leaving: true}, {}}, leaving: true},
		{name: "wants nothing", statements: []api.UpstreamStatement{wants(2 * time.Second), {}}, heldUntil: 3 * time.Second},
		{name: "a later one is shorter", statements: []api.UpstreamStatement{wants(time.Minute), wants(time.Second)}, heldUntil: 2 * time.Second},
		{name: "a later one is longer", statements: []api.UpstreamStatement{wants(time.Second), wants(time.Minute)}, heldUntil: 61 * time.Second},
		{name: "taken back", statements: []api.UpstreamStatement{wants(time.Minute), wants(0)}},
		{name: "negative", statements: []api.UpstreamStatement{wants(-time.Hour)}},
		{name: "huge", statements: []api.UpstreamStatement{wants(1 << 62)}, heldUntil: 10*time.Minute + time.Second},
		{name: "both", statements: []api.UpstreamStatement{wants(time.Second), {Leaving: true}}, leaving: true, heldUntil: 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := holdoff.New()
			for _, said := range c.statements {
				s.Observe(time.Second, of, said)
			}
			if s.IsLeaving(of) != c.leaving || s.HeldUntil(time.Second, of) != c.heldUntil {
				t.Errorf("leaving %t, held until %v", s.IsLeaving(of), s.HeldUntil(time.Second, of))
			}
			if s.IsLeaving(next) || s.HeldUntil(time.Second, next) != 0 {
				t.Error("the next start is held by the statement of the last one")
			}
			if s.HeldUntil(time.Second+c.heldUntil, of) != 0 {
				t.Error("the hold-off does not end")
			}
		})
	}
}

// Guards against statements that are forgotten or outlive their time in any order of
// responses and lists.
func TestStatementsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := holdoff.New(), time.Duration(0)
		leaving, until := map[holdoff.Incarnation]bool{}, map[holdoff.Incarnation]time.Duration{}
		draw := func(t *rapid.T) holdoff.Incarnation {
			return holdoff.Incarnation{Upstream: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream"), StartedAtMs: rapid.Int64Range(1, 2).Draw(t, "start")}
		}
		t.Repeat(map[string]func(*rapid.T){
			"leave": func(t *rapid.T) {
				of := draw(t)
				s.Observe(now, of, api.UpstreamStatement{Leaving: true})
				leaving[of] = true
			},
			"hold off": func(t *rapid.T) {
				of, d := draw(t), time.Duration(rapid.IntRange(0, 20).Draw(t, "s"))*time.Second
				s.Observe(now, of, wants(d))
				until[of] = now + d
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 10).Draw(t, "s")) * time.Second },
			"list": func(t *rapid.T) {
				listed := draw(t)
				s.SetListed(now, func(of holdoff.Incarnation) bool { return of == listed })
			},
			"": func(t *rapid.T) {
				for of := range until {
					if want := max(until[of], now); max(s.HeldUntil(now, of), now) != want {
						t.Fatalf("held until %v, want %v", s.HeldUntil(now, of), want)
					}
				}
				for of := range leaving {
					// Statements of upstreams that are not listed expire after ten minutes.
					if now < 10*time.Minute && !s.IsLeaving(of) {
						t.Fatal("a leaving upstream is forgotten")
					}
				}
			},
		})
	})
}
