package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

func vm(name string, state api.VMState) api.VM { return api.VM{Name: name, State: state} }

func digest(node string, incarnation api.Incarnation, seq uint64, observations ...api.Observation) api.PeerDigest {
	return api.PeerDigest{Node: node, Incarnation: incarnation, Seq: seq, Observations: observations}
}

// Guards against one process with a bad link marking an upstream as down for
// all, and against a dead upstream that processes without a link never detect.
func TestDownNeedsAQuorum(t *testing.T) {
	down := api.Observation{Upstream: "u", Incarnation: 5}
	up := api.Observation{Upstream: "u", Incarnation: 5, Up: true}
	cases := []struct {
		name string
		// link is the state of this process's link: "up", "lost" or "" for none.
		link    string
		digests []api.PeerDigest
		want    bool
	}{
		{"no reports", "", nil, false},
		{"one report", "", []api.PeerDigest{digest("a", 1, 1, down)}, false},
		{"one process reports it repeatedly", "", []api.PeerDigest{digest("a", 1, 1, down, down), digest("a", 1, 2, down)}, false},
		{"two reports", "", []api.PeerDigest{digest("a", 1, 1, down), digest("b", 1, 1, down)}, true},
		{"two reports, one withdrawn", "", []api.PeerDigest{digest("a", 1, 1, down), digest("b", 1, 1, down), digest("b", 1, 2)}, false},
		{"as many report it up", "", []api.PeerDigest{digest("a", 1, 1, down), digest("b", 1, 1, down), digest("c", 1, 1, up), digest("d", 1, 1, up)}, false},
		{"this process's link is up", "up", []api.PeerDigest{digest("a", 1, 1, down), digest("b", 1, 1, down)}, false},
		{"this process's link is lost", "lost", []api.PeerDigest{digest("a", 1, 1, up)}, true},
		{"the agent restarted after the reports", "", []api.PeerDigest{digest("vm-u", 5, 1), digest("vm-u", 6, 1), digest("a", 1, 1, down), digest("b", 1, 1, down)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New("self")
			s.Configure(map[string]string{"u": "vm-u"})
			switch c.link {
			case "up":
				s.LinkUp("u", 5)
			case "lost":
				s.LinkUp("u", 5)
				s.LinkDown("u")
			}
			for _, d := range c.digests {
				if v := s.ApplyDigest(time.Second, d, false); v != api.DigestAccepted {
					t.Fatalf("digest %+v: decision %d", d, v)
				}
			}
			if got := s.Down(time.Second); slices.Contains(got, "u") != c.want {
				t.Errorf("down: %v", got)
			}
			if got := s.Down(time.Second + DownTTL); c.link == "" && len(got) > 0 {
				t.Errorf("expired reports still count: %v", got)
			}
		})
	}
}

// Guards against a process that can't read the list and considers a leaving VM
// live, against leaving reports that never expire, and against a leaving VM
// that counts as live again because it disappeared from the list.
func TestLeaving(t *testing.T) {
	reader, isolated := New("reader"), New("cut")
	reader.ApplyList(0, []api.VM{vm("reader", api.VMLive), vm("v", api.VMLive)})
	_, notify := reader.ApplyList(time.Second, []api.VM{vm("reader", api.VMLive), vm("v", api.VMLeaving)})
	if !slices.Equal(notify, []string{"v"}) {
		t.Errorf("VMs to notify: %v", notify)
	}
	isolated.ApplyDigest(2*time.Second, digest("reader", 1, 1, reader.Observations(2*time.Second)...), false)
	if got := isolated.Leaving(2 * time.Second); !slices.Equal(got, []string{"v"}) {
		t.Errorf("process without the list: %v", got)
	}
	// Two processes without the list must not keep renewing the report.
	other := New("other")
	for i := range uint64(20) {
		now := time.Duration(i+2) * 2 * time.Second
		other.ApplyDigest(now, digest("cut", 1, i+1, isolated.Observations(now)...), false)
		isolated.ApplyDigest(now, digest("other", 1, i+1, other.Observations(now)...), false)
	}
	end := 42 * time.Second
	if got := append(isolated.Leaving(end), other.Leaving(end)...); len(got) > 0 {
		t.Errorf("expired report still counts: %v", got)
	}
	reader.ApplyList(time.Minute, []api.VM{vm("reader", api.VMLive)})
	if got := reader.Leaving(2 * time.Minute); !slices.Equal(got, []string{"v"}) {
		t.Errorf("leaving VM no longer listed: %v", got)
	}
	reader.ApplyList(3*time.Minute, nil)
	if len(reader.Members()) != 1 {
		t.Error("an empty list replaced the last one")
	}
	reader.ApplyList(4*time.Minute, []api.VM{vm("reader", api.VMLive), vm("v", api.VMLive)})
	if got := reader.Leaving(4 * time.Minute); len(got) > 0 {
		t.Errorf("new VM of the same name: %v", got)
	}
}

// Guards against digests that claim to come from this process or name no
// process.
func TestForeignDigests(t *testing.T) {
	s := New("self")
	for _, d := range []api.PeerDigest{digest("self", 1, 1), digest("", 1, 1), digest("a", 0, 1)} {
		if v := s.ApplyDigest(0, d, false); v != api.DigestForeign {
			t.Errorf("%+v: decision %d", d, v)
		}
	}
}
