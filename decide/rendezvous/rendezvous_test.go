package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("node-%d", i)
	}
	return all
}

// Guards against choices that depend on the order of the list, which differs
// between processes, and against a removal that changes unrelated choices and
// so moves every link on each failure.
func TestTopIsStable(t *testing.T) {
	all := names(50)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	for i := range 200 {
		k := rendezvous.KeyOf("key", fmt.Sprint(i))
		top := k.Top(3, all)
		if !slices.Equal(top, k.Top(3, reversed)) {
			t.Fatalf("key %d: order of the list changes the choice", i)
		}
		remaining := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == "node-7" })
		want := slices.DeleteFunc(k.Top(4, all), func(n string) bool { return n == "node-7" })[:3]
		if !slices.Equal(want, k.Top(3, remaining)) {
			t.Fatalf("key %d: removal of one node moved another", i)
		}
	}
}

// Guards against skewed scores, with which a few nodes would run the watches for
// all.
func TestTopIsEven(t *testing.T) {
	all := names(20)
	count := map[string]int{}
	for i := range 10_000 {
		count[rendezvous.KeyOf(fmt.Sprint(i)).Top(1, all)[0]]++
	}
	for n, c := range count {
		if c < 400 || c > 600 {
			t.Errorf("%s chosen %d times, want about 500", n, c)
		}
	}
}

// Guards against lists of strings that have the same key because they are equal
// when joined.
func TestKeyOfSeparatesParts(t *testing.T) {
	if rendezvous.KeyOf("ab", "c") == rendezvous.KeyOf("a", "bc") {
		t.Error("different lists of strings have the same key")
	}
}
