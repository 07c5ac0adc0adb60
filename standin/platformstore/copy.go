package platformstore

import (
	"maps"
	"slices"
)

// Copy is what a store held at one time.
type Copy struct {
	entries           map[string]entry
	history           []entry
	revision          uint64
	compactedRevision uint64
}

// SetEra sets the era that the store states in its responses. Without one it states none.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.entries), slices.Clone(s.history), s.revision, s.compactedRevision}
}

// Restore makes the store come back from a copy, in the next era. What was written since is
// lost, and its revisions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.history = maps.Clone(c.entries), slices.Clone(c.history)
	s.revision, s.compactedRevision = c.revision, c.compactedRevision
	s.era++
	s.notifyWatches()
}
