package wire

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// PeerMessageBytes bounds one message between peers: a whole configuration of
// up to 1 MB with its names and framing.
const PeerMessageBytes = 2 << 20

// FleetMessageBytes bounds the listing of a seed: 1,024 names of up to 128 bytes.
const FleetMessageBytes = 160 << 10

// PeerSightings bounds the sightings of one digest that are read.
const PeerSightings = 64

// PeerSuspicions bounds the suspicions of one digest that are read.
const PeerSuspicions = 16

// FromDigest encodes a digest.
func FromDigest(d api.PeerDigest) *Digest {
	m := &Digest{
		Node:        d.Node,
		Role:        d.Role,
		Zone:        d.Zone,
		Incarnation: uint64(d.Incarnation),
		Seq:         d.Seq,
		Revision:    d.Version.Revision,
		Content:     d.Version.Content,
		Suspicions:  FromSuspicions(d.Suspicions),
	}
	for _, s := range d.Sightings {
		m.Sightings = append(m.Sightings, &Sighting{
			Upstream:    s.Upstream,
			Vm:          s.VM,
			Incarnation: uint64(s.Incarnation),
			Up:          s.Up,
			AgeNs:       nanos(s.Age),
			Leaving:     s.Leaving,
		})
	}
	return m
}

// ToDigest decodes a digest. Sightings and suspicions beyond their bounds are
// ignored.
func ToDigest(m *Digest) api.PeerDigest {
	d := api.PeerDigest{
		Node:        m.GetNode(),
		Role:        m.GetRole(),
		Zone:        m.GetZone(),
		Incarnation: api.Incarnation(m.GetIncarnation()),
		Seq:         m.GetSeq(),
		Version:     api.ConfigVersion{Revision: m.GetRevision(), Content: m.GetContent()},
	}
	suspicions := m.GetSuspicions()
	d.Suspicions = ToSuspicions(suspicions[:min(len(suspicions), PeerSuspicions)])
	sightings := m.GetSightings()
	for _, s := range sightings[:min(len(sightings), PeerSightings)] {
		d.Sightings = append(d.Sightings, api.Sighting{
			Upstream:    s.GetUpstream(),
			VM:          s.GetVm(),
			Incarnation: api.Incarnation(s.GetIncarnation()),
			Up:          s.GetUp(),
			// An age beyond the range of a duration is as old as can be.
			Age:     time.Duration(min(s.GetAgeNs(), uint64(1<<63-1))),
			Leaving: s.GetLeaving(),
		})
	}
	return d
}

// FromFetch encodes a request for content.
func FromFetch(want, base api.ConfigVersion) *FetchRequest {
	return &FetchRequest{
		Revision:     want.Revision,
		Content:      want.Content,
		BaseRevision: base.Revision,
		BaseContent:  base.Content,
	}
}

// ToFetch decodes a request for content.
func ToFetch(m *FetchRequest) (want, base api.ConfigVersion) {
	want = api.ConfigVersion{Revision: m.GetRevision(), Content: m.GetContent()}
	return want, api.ConfigVersion{Revision: m.GetBaseRevision(), Content: m.GetBaseContent()}
}

// FromContent encodes content.
func FromContent(c api.ConfigContent) *FetchResponse {
	m := &FetchResponse{
		Revision: c.Version.Revision,
		Content:  c.Version.Content,
		Base:     c.Delta,
		Removed:  c.Removed,
	}
	for name, content := range c.Files {
		m.Files = append(m.Files, &File{Name: name, Content: content})
	}
	return m
}

// ToContent decodes content.
func ToContent(m *FetchResponse) api.ConfigContent {
	c := api.ConfigContent{
		Version: api.ConfigVersion{Revision: m.GetRevision(), Content: m.GetContent()},
		Delta:   m.GetBase(),
		Removed: m.GetRemoved(),
		Files:   make(map[string][]byte, len(m.GetFiles())),
	}
	for _, f := range m.GetFiles() {
		c.Files[f.GetName()] = f.GetContent()
	}
	return c
}
