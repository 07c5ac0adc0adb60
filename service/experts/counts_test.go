package experts

import (
	"slices"
	"testing"

	"github.com/mulberryfork/mulberryfork/wire"
)

// Guards against counts that a leader adds to the wrong snapshot: a demand that
// nobody had would move experts.
func TestCountsOfARankAreWholeAtTheLeader(t *testing.T) {
	var side told
	var leader, other heard
	const rank = "10.0.0.1:80"
	read := func(who *heard, counts []uint64, clock uint64) (got []uint64, sent int) {
		var reply wire.RankReadReply
		side.fill(&reply, counts, who.since(rank), clock)
		sent = int(slices.Max(reply.State.Counts))
		who.take(rank, &reply)
		return reply.State.Counts, sent
	}
	steps := []struct {
		name   string
		who    *heard
		counts []uint64
		// most is the largest number that may be sent.
		most int
	}{
		{"first", &leader, []uint64{100, 200}, 200},
		{"only what was added", &leader, []uint64{101, 205}, 5},
		{"another leader has none", &other, []uint64{102, 206}, 206},
		{"the first leader's snapshot is gone", &leader, []uint64{103, 207}, 207},
		{"again only what was added", &leader, []uint64{104, 209}, 2},
		{"the rank started again", &leader, []uint64{3, 1}, 3},
	}
	for i, step := range steps {
		got, sent := read(step.who, step.counts, uint64(i+1))
		if !slices.Equal(got, step.counts) || sent > step.most {
			t.Errorf("%s: %v, want %v; sent numbers up to %d, want %d", step.name, got, step.counts, sent, step.most)
		}
	}
	// The process starts again, and its clock was set back.
	side = told{}
	if got, _ := read(&leader, []uint64{7, 8}, 1); !slices.Equal(got, []uint64{7, 8}) {
		t.Errorf("after a start of the process: %v", got)
	}
}
