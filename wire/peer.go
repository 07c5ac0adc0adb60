package wire

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// MaxPeerMessageBytes is the maximum size of one message between peers. The largest
// message is a full configuration of up to 1 MB with file names and framing.
const MaxPeerMessageBytes = 2 << 20

// MaxFleetMessageBytes is the maximum size of a message between edges. The largest is
// the listing of a seed: up to 1,024 names of up to 128 bytes with their addresses, and
// a few reports of crashes.
const MaxFleetMessageBytes = 320 << 10

// MaxDigestObservations is the maximum number of observations decoded from one
// digest.
const MaxDigestObservations = 64

// MaxDigestSuspicions is the maximum number of suspicions decoded from one
// digest.
const MaxDigestSuspicions = 16

// FromDigest encodes a digest.
func FromDigest(d api.PeerDigest) *Digest {
	m := &Digest{
		Node:        d.Node,
		Role:        d.Role,
		Zone:        d.Zone,
		Incarnation: uint64(d.Incarnation),
		Seq:         d.Seq,
		Revision:    d.Version.Revision,
		Content:     d.Version.Digest,
		Suspicions:  FromSuspicions(d.Suspicions),
	}
	for _, s := range d.Observations {
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

// ToDigest decodes a digest. It ignores observations beyond MaxDigestObservations
// and suspicions beyond MaxDigestSuspicions.
func ToDigest(m *Digest) api.PeerDigest {
	d := api.PeerDigest{
		Node:        m.GetNode(),
		Role:        m.GetRole(),
		Zone:        m.GetZone(),
		Incarnation: api.Incarnation(m.GetIncarnation()),
		Seq:         m.GetSeq(),
		Version:     api.ConfigVersion{Revision: m.GetRevision(), Digest: m.GetContent()},
	}
	suspicions := m.GetSuspicions()
	d.Suspicions = ToSuspicions(suspicions[:min(len(suspicions), MaxDigestSuspicions)])
	sightings := m.GetSightings()
	for _, s := range sightings[:min(len(sightings), MaxDigestObservations)] {
		d.Observations = append(d.Observations, api.Observation{
			Upstream:    s.GetUpstream(),
			VM:          s.GetVm(),
			Incarnation: api.Incarnation(s.GetIncarnation()),
			Up:          s.GetUp(),
			// An age above the range of time.Duration becomes its maximum.
			Age:     time.Duration(min(s.GetAgeNs(), uint64(1<<63-1))),
			Leaving: s.GetLeaving(),
		})
	}
	return d
}

// FromFetch encodes a request for the configuration.
func FromFetch(want, base api.ConfigVersion) *FetchRequest {
	return &FetchRequest{
		Revision:     want.Revision,
		Content:      want.Digest,
		BaseRevision: base.Revision,
		BaseContent:  base.Digest,
	}
}

// ToFetch decodes a request for the configuration.
func ToFetch(m *FetchRequest) (want, base api.ConfigVersion) {
	want = api.ConfigVersion{Revision: m.GetRevision(), Digest: m.GetContent()}
	return want, api.ConfigVersion{Revision: m.GetBaseRevision(), Digest: m.GetBaseContent()}
}

// FromContent encodes configuration files or a delta.
func FromContent(c api.ConfigContent) *FetchResponse {
	m := &FetchResponse{
		Revision: c.Version.Revision,
		Content:  c.Version.Digest,
		Base:     c.Delta,
		Removed:  c.Removed,
	}
	for name, content := range c.Files {
		m.Files = append(m.Files, &File{Name: name, Content: content})
	}
	return m
}

// ToContent decodes configuration files or a delta.
func ToContent(m *FetchResponse) api.ConfigContent {
	c := api.ConfigContent{
		Version: api.ConfigVersion{Revision: m.GetRevision(), Digest: m.GetContent()},
		Delta:   m.GetBase(),
		Removed: m.GetRemoved(),
		Files:   make(map[string][]byte, len(m.GetFiles())),
	}
	for _, f := range m.GetFiles() {
		c.Files[f.GetName()] = f.GetContent()
	}
	return c
}
