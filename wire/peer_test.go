package wire_test

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

// Guards against a field of a message between peers that is missing in its codec,
// and against a digest with more observations or suspicions than the maximum.
func TestPeerCodecKeepsEveryField(t *testing.T) {
	digest, content := filled[api.PeerDigest](), filled[api.ConfigContent]()
	if got := wire.ToDigest(roundTrip(t, wire.FromDigest(digest), &wire.Digest{})); !reflect.DeepEqual(got, digest) {
		t.Errorf("digest: got %+v, want %+v", got, digest)
	}
	if got := wire.ToContent(roundTrip(t, wire.FromContent(content), &wire.FetchResponse{})); !reflect.DeepEqual(got, content) {
		t.Errorf("content: got %+v, want %+v", got, content)
	}
	wantIn, baseIn := api.ConfigVersion{Revision: 4, Digest: 5}, api.ConfigVersion{Revision: 2, Digest: 3}
	want, base := wire.ToFetch(roundTrip(t, wire.FromFetch(wantIn, baseIn), &wire.FetchRequest{}))
	if want != wantIn || base != baseIn {
		t.Errorf("fetch: got version %v and base %v", want, base)
	}
	digest.Observations = make([]api.Observation, 3*wire.MaxDigestObservations)
	if n := len(wire.ToDigest(wire.FromDigest(digest)).Observations); n != wire.MaxDigestObservations {
		t.Errorf("decoded %d observations, want the maximum", n)
	}
	digest.Suspicions = make([]api.Suspicion, 3*wire.MaxDigestSuspicions)
	if n := len(wire.ToDigest(wire.FromDigest(digest)).Suspicions); n != wire.MaxDigestSuspicions {
		t.Errorf("decoded %d suspicions, want the maximum", n)
	}
}

// FuzzPeerMessages guards against messages that make a decoder panic or give an
// observation a negative age.
func FuzzPeerMessages(f *testing.F) {
	for _, m := range []proto.Message{
		wire.FromDigest(filled[api.PeerDigest]()),
		wire.FromContent(filled[api.ConfigContent]()),
		wire.FromFetch(api.ConfigVersion{Revision: 1, Digest: 2}, api.ConfigVersion{Revision: 3, Digest: 4}),
	} {
		seed, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var digest wire.Digest
		if proto.Unmarshal(data, &digest) == nil {
			for _, s := range wire.ToDigest(&digest).Observations {
				if s.Age < 0 {
					t.Errorf("negative age %v", s.Age)
				}
			}
		}
		var content wire.FetchResponse
		if proto.Unmarshal(data, &content) == nil {
			wire.ToContent(&content)
		}
		var fetch wire.FetchRequest
		if proto.Unmarshal(data, &fetch) == nil {
			wire.ToFetch(&fetch)
		}
	})
}
