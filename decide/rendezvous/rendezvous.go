// Package rendezvous implements rendezvous (highest random weight) hashing.
// Processes with the same list of candidates make the same choice without
// communicating, and adding or removing a candidate changes only the choices
// that involve it.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/decide/hash"
)

// Key is the hash of the purpose for which candidates are chosen.
type Key uint64

// separator makes the keys of ("ab", "c") and ("a", "bc") differ.
const separator = "\x00"

// KeyOf returns the key of a list of strings.
func KeyOf(parts ...string) Key {
	d := xxhash.New()
	for _, p := range parts {
		// Writes to a hash never fail.
		_, _ = d.WriteString(p)
		_, _ = d.WriteString(separator)
	}
	return Key(d.Sum64())
}

// Score returns the weight of a candidate for the key.
func (k Key) Score(candidate string) uint64 {
	return hash.String(uint64(k), candidate)
}

// Fraction maps the score of a candidate to the range [0, 1).
func (k Key) Fraction(candidate string) float64 {
	const bits = 53
	return float64(k.Score(candidate)>>(64-bits)) / (1 << bits)
}

// Top returns the n candidates with the highest scores, best first.
func (k Key) Top(n int, candidates []string) []string {
	if n <= 0 {
		return nil
	}
	type scored struct {
		score uint64
		name  string
	}
	best := make([]scored, 0, n+1)
	for _, c := range candidates {
		s := scored{k.Score(c), c}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			if c := cmp.Compare(b.score, a.score); c != 0 {
				return c
			}
			return cmp.Compare(a.name, b.name)
		})
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	names := make([]string, len(best))
	for i, b := range best {
		names[i] = b.name
	}
	return names
}
