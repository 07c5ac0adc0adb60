package bench

import (
	"strings"
	"testing"
)

// Guards against a table that reports a target as met although one of several
// seeds misses it.
func TestSpreadCoversEverySeed(t *testing.T) {
	var runs []SeedResult
	for i, value := range []float64{0.9, 1.2, 0.8} {
		figures := []Figure{Bounded("ratio", value, "ratio", AtMost, 1)}
		runs = append(runs, SeedResult{Seed: uint64(i + 1), Result: Result{Figures: figures}})
	}
	runs[1].Result.Figures = append(runs[1].Result.Figures, Plain("only_here", 1, "count"))
	var out strings.Builder
	if err := WriteSpread(&out, "name", runs); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	want := "ratio 0.9 0.8 1.2 ratio <= 1 no"
	if got := strings.Join(strings.Fields(lines[2]), " "); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
