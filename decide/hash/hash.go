// Package hash provides seeded hashes for deterministic choices: tie-breaking,
// sampling and rendezvous hashing.
package hash

import "github.com/cespare/xxhash/v2"

// Mix combines two values into one that is uniformly distributed over 64 bits,
// using the finalizer of SplitMix64.
func Mix(a, b uint64) uint64 {
	z := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// String returns the hash of text under a seed.
func String(seed uint64, text string) uint64 {
	return Mix(seed, xxhash.Sum64String(text))
}
