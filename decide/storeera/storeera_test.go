package storeera_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/decide/storeera"
)

// Guards against answers that count although the store came back from a copy after the read
// had begun, and against those that are dropped although it did not.
func TestAnswersCountWithinOneEra(t *testing.T) {
	type answer struct {
		stated uint64
		want   string
	}
	for _, c := range []struct {
		name string
		// reads lists the answers to each read.
		reads [][]answer
	}{
		{"no era stated", [][]answer{{{0, ""}, {0, ""}}, {{0, ""}}}},
		{"first answer", [][]answer{{{7, ""}, {7, ""}}, {{7, ""}}}},
		{"new era between reads", [][]answer{{{1, ""}}, {{2, "new"}}, {{2, ""}}}},
		{"pages of two eras", [][]answer{{{1, ""}, {2, "new"}, {2, "old"}}, {{2, ""}}}},
		{"late answer", [][]answer{{{2, ""}}, {{1, "old"}}, {{2, ""}}}},
		{"several eras at once", [][]answer{{{1, ""}}, {{4, "new"}}, {{3, "old"}}, {{4, ""}}}},
		{"an answer without an era", [][]answer{{{3, ""}, {0, ""}}, {{0, ""}}, {{3, ""}}}},
		{"an era is stated later", [][]answer{{{0, ""}}, {{1, "new"}}, {{1, ""}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker storeera.Tracker
			for i, answers := range c.reads {
				read := tracker.Begin()
				for j, a := range answers {
					if got := kind(read.Check(a.stated)); got != a.want {
						t.Errorf("read %d, answer %d: %q, want %q", i, j, got, a.want)
					}
				}
			}
		})
	}
}

func kind(err error) string {
	var newEra *storeera.NewEraError
	var oldEra *storeera.OldEraError
	switch {
	case errors.As(err, &newEra):
		return "new"
	case errors.As(err, &oldEra):
		return "old"
	}
	return ""
}

// Guards against an answer that counts after one of a later era was seen, whatever the order
// of answers to reads that overlap, and against a reader that can't go on.
func TestAnswerNeverCountsAfterLaterEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker storeera.Tracker
		var reads []*storeera.Read
		latest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(reads) == 0 || rapid.Bool().Draw(t, "begin") {
				reads = append(reads, tracker.Begin())
				continue
			}
			read := rapid.SampledFrom(reads).Draw(t, "read")
			stated := rapid.Uint64Range(1, 5).Draw(t, "era")
			counts := read.Check(stated) == nil
			if counts && (stated < latest || read.Era() != stated) {
				t.Fatalf("an answer of era %d to a read of era %d counts after one of era %d", stated, read.Era(), latest)
			}
			latest = max(latest, stated)
		}
		if err := tracker.Begin().Check(max(latest, 1)); err != nil && latest > 0 {
			t.Fatalf("a new read in the latest era fails: %v", err)
		}
	})
}

// Guards against a reader that drops all answers for good since the store's counter of eras was
// lost or one answer stated a wrong era, and against one that follows a single answer.
func TestLowerEraIsFollowed(t *testing.T) {
	for _, c := range []struct {
		name string
		// answers are the eras that the store states, one a read.
		answers []uint64
		// want are the eras of the reads whose answers count, 0 for others.
		want []uint64
	}{
		{"for good", []uint64{5, 2, 2, 2, 2, 3, 3}, []uint64{5, 0, 0, 0, 6, 0, 7}},
		{"for two answers", []uint64{5, 2, 2, 5, 2, 2, 5}, []uint64{5, 0, 0, 5, 0, 0, 5}},
		{"after one far higher", []uint64{5, 900, 5, 5, 5, 5, 6, 6}, []uint64{5, 0, 0, 0, 0, 901, 0, 902}},
		{"without a header since", []uint64{5, 2, 2, 2, 0}, []uint64{5, 0, 0, 0, 6}},
		{"lower and lower", []uint64{5, 4, 3, 2, 2}, []uint64{5, 0, 0, 0, 6}},
		{"beyond the eras before", []uint64{5, 2, 2, 2, 9, 9}, []uint64{5, 0, 0, 0, 0, 9}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker storeera.Tracker
			for i, stated := range c.answers {
				read, counted := tracker.Begin(), uint64(0)
				err := read.Check(stated)
				var old *storeera.OldEraError
				if errors.As(err, &old) {
					_ = tracker.FollowLower(old)
				}
				if err == nil {
					counted = read.Era()
				}
				if counted != c.want[i] {
					t.Errorf("answer %d: era %d, want %d", i, counted, c.want[i])
				}
			}
		})
	}
}

// Guards against answers to overlapping reads that are taken for a counter that was lost.
func TestLateAnswersAreNotFollowed(t *testing.T) {
	var tracker storeera.Tracker
	_ = tracker.Begin().Check(1)
	var reads []*storeera.Read
	for range 9 {
		reads = append(reads, tracker.Begin())
	}
	_ = tracker.Begin().Check(2)
	for _, read := range reads {
		var old *storeera.OldEraError
		if !errors.As(read.Check(1), &old) || tracker.FollowLower(old) != nil || tracker.Doubted() {
			t.Fatal("a late answer is followed")
		}
	}
}
