package balance_test

import (
	"math"
	"testing"
	"time"
)

// Guards against requests that are sent to wait at upstreams because those that wait there
// already are not counted, and against a slow rank whose running requests hide the places of
// the others.
func TestPlacesOfGroup(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests int
		pace     float64
		want     float64
	}{
		{"one rank with two waiting requests", rankSlots + 2, 1, 2*(groupRanks-1) - 2},
		{"one rank that runs more than its batch", rankSlots, 6, 2 * (groupRanks - 1)},
	} {
		s := newGroupState()
		l := newGroupLoad(time.Second, rankSlots-2)
		l.PassTime = 27 * time.Millisecond
		l.Ranks[0].Requests, l.Ranks[0].Pace = c.requests, c.pace
		s.ObserveGroupLoad(l)
		room := s.Survey(time.Second, "s", nil)
		if !room.Known || math.Abs(room.Places-c.want) > 0.01 {
			t.Errorf("%s: %+v places, want %v", c.name, room.Places, c.want)
		}
		s.RecordArrival(time.Second, "s")
		if choice, placed := s.PlaceUrgent(time.Second, &room); !placed || choice.Upstream == "r0" {
			t.Errorf("%s: placed on %q", c.name, choice.Upstream)
		}
	}
}
