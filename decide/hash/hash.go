// Package hash provides the seeded hashes behind deterministic choices:
// tie-breaking, sampling and rendezvous hashing.
package hash

import "github.com/cespare/xxhash/v2"

// Mix combines two values into one that is evenly spread over 64 bits
// (the finalizer of SplitMix64).
func Mix(a, b uint64) uint64 {
	z := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// String hashes a text under a seed.
func String(seed uint64, text string) uint64 {
	return Mix(seed, xxhash.Sum64String(text))
}

// Rendezvous returns the index of the name with the highest weight for a key,
// or -1 without names. All callers with the same names agree, in any order of
// the names.
func Rendezvous(key uint64, names []string) int {
	best := -1
	var top uint64
	for i, name := range names {
		w := String(key, name)
		if best < 0 || w > top || (w == top && name < names[best]) {
			best, top = i, w
		}
	}
	return best
}
