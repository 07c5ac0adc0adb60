package hash

import (
	"fmt"
	"slices"
	"testing"
)

// TestRendezvous guards against a choice that depends on the order of names,
// and against keys that move when an unrelated name goes away.
func TestRendezvous(t *testing.T) {
	var names []string
	for i := range 10 {
		names = append(names, fmt.Sprint("u", i))
	}
	fewer := slices.Clone(names[:9])
	slices.Reverse(fewer)
	moved := 0
	for key := range uint64(1000) {
		first := names[Rendezvous(key, names)]
		second := fewer[Rendezvous(key, fewer)]
		if first == names[9] {
			moved++
		} else if first != second {
			t.Fatalf("key %d moved from %s to %s", key, first, second)
		}
	}
	if moved < 50 || moved > 150 {
		t.Errorf("%d of 1000 keys at one of ten names", moved)
	}
	if Rendezvous(1, nil) != -1 {
		t.Error("a choice without names")
	}
}
