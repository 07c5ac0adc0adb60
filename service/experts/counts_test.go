package experts

import (
	"slices"
	"testing"

	"github.com/mulberryfork/mulberryfork/wire"
)

// Guards against a leader that adds a delta to the wrong snapshot, for instance
// after a restart of the rank or a change of leader. The resulting counts would
// move experts to serve a demand that does not exist.
func TestLeaderReconstructsRankCounts(t *testing.T) {
	var encoder countEncoder
	var leader, otherLeader countDecoder
	const rank = "10.0.0.1:80"
	read := func(decoder *countDecoder, counts []uint64, clock uint64) (got []uint64, largestSent int) {
		var reply wire.RankReadReply
		encoder.encode(&reply, counts, decoder.lastSnapshot(rank), clock)
		largestSent = int(slices.Max(reply.State.Counts))
		decoder.decode(rank, &reply)
		return reply.State.Counts, largestSent
	}
	steps := []struct {
		name    string
		decoder *countDecoder
		counts  []uint64
		// maxSent bounds the numbers in the reply.
		maxSent int
	}{
		{"first", &leader, []uint64{100, 200}, 200},
		{"delta only", &leader, []uint64{101, 205}, 5},
		{"another leader without a snapshot", &otherLeader, []uint64{102, 206}, 206},
		{"the first leader's snapshot is outdated", &leader, []uint64{103, 207}, 207},
		{"delta to the new snapshot", &leader, []uint64{104, 209}, 2},
		{"the rank restarted", &leader, []uint64{3, 1}, 3},
	}
	for i, step := range steps {
		got, largestSent := read(step.decoder, step.counts, uint64(i+1))
		if !slices.Equal(got, step.counts) || largestSent > step.maxSent {
			t.Errorf("%s: %v, want %v; largest number sent %d, want at most %d", step.name, got, step.counts, largestSent, step.maxSent)
		}
	}
	// The process restarts with its clock set back.
	encoder = countEncoder{}
	if got, _ := read(&leader, []uint64{7, 8}, 1); !slices.Equal(got, []uint64{7, 8}) {
		t.Errorf("after a restart of the process: %v", got)
	}
}
