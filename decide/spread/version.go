package spread

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Version names one content of the configuration. The digest orders two
// contents that were published under one revision number, by two operators at
// once or by a faulty replica, so that every process settles on the same one.
type Version struct {
	Revision uint64
	Digest   uint64
}

// Compare orders versions by revision, then by digest.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Revision, w.Revision), cmp.Compare(v.Digest, w.Digest))
}

// Above says whether v takes precedence over w.
func (v Version) Above(w Version) bool { return v.Compare(w) > 0 }

// Zero says whether v names no content.
func (v Version) Zero() bool { return v == Version{} }

// Files is the content of a version: small files by name.
type Files map[string][]byte

// Digest returns the hash of the files, equal on all processes.
func (f Files) Digest() uint64 {
	d := xxhash.New()
	var size [8]byte
	part := func(p []byte) {
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		// A digest never fails to write.
		_, _ = d.Write(size[:])
		_, _ = d.Write(p)
	}
	for _, name := range slices.Sorted(maps.Keys(f)) {
		part([]byte(name))
		part(f[name])
	}
	return d.Sum64()
}

// Delta is what turns one content into another. A full configuration is
// hundreds of kilobytes at full size and changes every half minute, so a
// process fetches the changed files only.
type Delta struct {
	Changed Files
	Removed []string
}

// Diff returns the delta from base to next.
func Diff(base, next Files) Delta {
	d := Delta{Changed: Files{}}
	for name, content := range next {
		if old, ok := base[name]; !ok || string(old) != string(content) {
			d.Changed[name] = content
		}
	}
	for _, name := range slices.Sorted(maps.Keys(base)) {
		if _, ok := next[name]; !ok {
			d.Removed = append(d.Removed, name)
		}
	}
	return d
}

// Apply returns base changed by the delta. The caller compares the digest of
// the result with the one it asked for and fetches the whole on a mismatch.
func (d Delta) Apply(base Files) Files {
	next := maps.Clone(base)
	if next == nil {
		next = Files{}
	}
	for _, name := range d.Removed {
		delete(next, name)
	}
	maps.Copy(next, d.Changed)
	return next
}
