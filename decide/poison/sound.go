package poison

import (
	"maps"
	"time"
)

const (
	// soundWindow is the number of served requests after which a part counts as unknown
	// unless one of them held it.
	soundWindow = 2048
	// maxSoundParts bounds the parts that are kept.
	maxSoundParts = 8192
	// warmRequests is the number of served requests from which on a part that none of
	// them held is taken for a new one.
	warmRequests = 32
	// maxPresumptions is the number of episodes of crashes for which a sound part is not
	// suspected. A part can turn bad, for example when the engine is replaced.
	maxPresumptions = 2
	// presumptionTTL is the time after which an episode no longer counts.
	presumptionTTL = time.Minute
)

// soundParts are the prompt parts of requests that upstreams served lately. Parts that
// sound requests share with one that crashes upstreams are told from the cause by this.
type soundParts struct {
	served uint64
	parts  map[uint64]*soundPart
}

type soundPart struct {
	// lastServed is the number of requests served when the last one held the part.
	lastServed uint64
	// episodes counts the crashes held against the part since then, and episodeAt is the
	// time of the last one.
	episodes  int
	episodeAt time.Duration
}

func newSoundParts() *soundParts { return &soundParts{parts: make(map[uint64]*soundPart)} }

// add records a served request with its parts.
func (s *soundParts) add(parts []uint64) {
	s.served++
	for _, part := range parts {
		p := s.parts[part]
		if p == nil {
			if len(s.parts) >= maxSoundParts {
				s.dropOld()
			}
			p = &soundPart{}
			s.parts[part] = p
		}
		*p = soundPart{lastServed: s.served}
	}
}

// dropOld drops parts that are no longer in the window, and halves the window until there
// is room for further parts.
func (s *soundParts) dropOld() {
	for window := uint64(soundWindow); len(s.parts) >= maxSoundParts; window /= 2 {
		maps.DeleteFunc(s.parts, func(_ uint64, p *soundPart) bool { return s.served-p.lastServed >= window })
	}
}

// contains reports whether a request with the part was served lately.
func (s *soundParts) contains(part uint64) bool {
	p := s.parts[part]
	return p != nil && s.served-p.lastServed < soundWindow
}

// presume reports whether a part is presumed sound although an upstream crashed under a
// request with it. A part that is held against too often is forgotten.
func (s *soundParts) presume(now time.Duration, part uint64) bool {
	if !s.contains(part) {
		return false
	}
	p := s.parts[part]
	if now-p.episodeAt >= presumptionTTL {
		p.episodes = 0
	}
	if p.episodes == 0 || now-p.episodeAt >= episodeGap {
		p.episodes++
		p.episodeAt = now
	}
	if p.episodes <= maxPresumptions {
		return true
	}
	delete(s.parts, part)
	return false
}

// isWarm reports whether enough requests were served to know the common parts.
func (s *soundParts) isWarm() bool { return s.served >= warmRequests }
