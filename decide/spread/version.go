package spread

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Version identifies the content of a configuration. Two concurrent operators or a
// faulty replica can publish different content under the same revision. The digest
// then decides which one is higher, so that all processes converge on the same one.
type Version struct {
	Revision uint64
	Digest   uint64
}

// Compare orders versions by revision, then by digest.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Revision, w.Revision), cmp.Compare(v.Digest, w.Digest))
}

// Above reports whether v takes precedence over w.
func (v Version) Above(w Version) bool { return v.Compare(w) > 0 }

// IsZero reports whether v identifies no content.
func (v Version) IsZero() bool { return v == Version{} }

// Files is the content of a version: small files by name.
type Files map[string][]byte

// Digest returns the hash of the files. It is the same on all processes.
func (f Files) Digest() uint64 {
	d := xxhash.New()
	var size [8]byte
	writePart := func(p []byte) {
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		// Writes to a hash never fail.
		_, _ = d.Write(size[:])
		_, _ = d.Write(p)
	}
	for _, name := range slices.Sorted(maps.Keys(f)) {
		writePart([]byte(name))
		writePart(f[name])
	}
	return d.Sum64()
}

// Delta is the difference between two contents. A configuration at full size
// is hundreds of kilobytes and changes every half minute, so a process fetches
// only the changed files.
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

// Apply returns base with the delta applied. The caller compares the digest of
// the result with the requested one and fetches the full content on a
// mismatch.
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
