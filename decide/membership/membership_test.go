package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

func vm(name string, state api.VMState) api.VM { return api.VM{Name: name, State: state} }

func digest(node string, incarnation api.Incarnation, seq uint64, words ...api.Sighting) api.PeerDigest {
	return api.PeerDigest{Node: node, Incarnation: incarnation, Seq: seq, Sightings: words}
}

// Guards against a bad link of one process that takes an upstream from all,
// and against a dead upstream that nobody without a link learns of.
func TestDownNeedsAQuorum(t *testing.T) {
	lost := api.Sighting{Upstream: "u", Incarnation: 5}
	found := api.Sighting{Upstream: "u", Incarnation: 5, Up: true}
	cases := []struct {
		name  string
		own   string
		words []api.PeerDigest
		want  bool
	}{
		{"nobody says anything", "", nil, false},
		{"one lost it", "", []api.PeerDigest{digest("a", 1, 1, lost)}, false},
		{"one lost it and says so often", "", []api.PeerDigest{digest("a", 1, 1, lost, lost), digest("a", 1, 2, lost)}, false},
		{"two lost it", "", []api.PeerDigest{digest("a", 1, 1, lost), digest("b", 1, 1, lost)}, true},
		{"two lost it, one found it again", "", []api.PeerDigest{digest("a", 1, 1, lost), digest("b", 1, 1, lost), digest("b", 1, 2)}, false},
		{"as many reach it", "", []api.PeerDigest{digest("a", 1, 1, lost), digest("b", 1, 1, lost), digest("c", 1, 1, found), digest("d", 1, 1, found)}, false},
		{"the own link is up", "up", []api.PeerDigest{digest("a", 1, 1, lost), digest("b", 1, 1, lost)}, false},
		{"the own link is lost", "lost", []api.PeerDigest{digest("a", 1, 1, found)}, true},
		{"the agent has restarted since", "", []api.PeerDigest{digest("vm-u", 5, 1), digest("vm-u", 6, 1), digest("a", 1, 1, lost), digest("b", 1, 1, lost)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New("self")
			s.Configure(map[string]string{"u": "vm-u"})
			switch c.own {
			case "up":
				s.LinkUp("u", 5)
			case "lost":
				s.LinkUp("u", 5)
				s.LinkDown("u")
			}
			for _, d := range c.words {
				if v := s.Learn(time.Second, d, false); v != api.DigestTaken {
					t.Fatalf("digest %+v: verdict %d", d, v)
				}
			}
			if got := s.Down(time.Second); slices.Contains(got, "u") != c.want {
				t.Errorf("down %v", got)
			}
			if got := s.Down(time.Second + DownTTL); c.own == "" && len(got) > 0 {
				t.Errorf("old words still count: %v", got)
			}
		})
	}
}

// Guards against a leaving VM that a process cut off from the list takes for
// live, against news that never dies out, and against a VM that comes back to
// work because it went off the list.
func TestLeaving(t *testing.T) {
	reader, cut := New("reader"), New("cut")
	reader.List(0, []api.VM{vm("reader", api.VMLive), vm("v", api.VMLive)})
	_, tell := reader.List(time.Second, []api.VM{vm("reader", api.VMLive), vm("v", api.VMLeaving)})
	if !slices.Equal(tell, []string{"v"}) {
		t.Errorf("told %v", tell)
	}
	cut.Learn(2*time.Second, digest("reader", 1, 1, reader.Sightings(2*time.Second)...), false)
	if got := cut.Leaving(2 * time.Second); !slices.Equal(got, []string{"v"}) {
		t.Errorf("cut off from the list: %v", got)
	}
	// Two that are cut off must not keep the news alive between them.
	other := New("other")
	for i := range uint64(20) {
		now := time.Duration(i+2) * 2 * time.Second
		other.Learn(now, digest("cut", 1, i+1, cut.Sightings(now)...), false)
		cut.Learn(now, digest("other", 1, i+1, other.Sightings(now)...), false)
	}
	late := 42 * time.Second
	if got := append(cut.Leaving(late), other.Leaving(late)...); len(got) > 0 {
		t.Errorf("old news still counts: %v", got)
	}
	reader.List(time.Minute, []api.VM{vm("reader", api.VMLive)})
	if got := reader.Leaving(2 * time.Minute); !slices.Equal(got, []string{"v"}) {
		t.Errorf("off the list: %v", got)
	}
	reader.List(3*time.Minute, nil)
	if len(reader.Members()) != 1 {
		t.Error("an empty answer replaced the list")
	}
	reader.List(4*time.Minute, []api.VM{vm("reader", api.VMLive), vm("v", api.VMLive)})
	if got := reader.Leaving(4 * time.Minute); len(got) > 0 {
		t.Errorf("a new VM under the name: %v", got)
	}
}

// Guards against digests that name this process or none.
func TestForeignDigests(t *testing.T) {
	s := New("self")
	for _, d := range []api.PeerDigest{digest("self", 1, 1), digest("", 1, 1), digest("a", 0, 1)} {
		if v := s.Learn(0, d, false); v != api.DigestForeign {
			t.Errorf("%+v: verdict %d", d, v)
		}
	}
}
