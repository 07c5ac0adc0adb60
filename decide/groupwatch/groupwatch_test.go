package groupwatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/groupwatch"
)

const (
	groups       = 3
	ranksInGroup = 64
)

// fleet answers like the processes beside the ranks of several groups. Rank 0 leads;
// every eighth process publishes the load.
type fleet struct {
	silent map[string]bool
	asked  map[string]int
}

func address(g, rank int) string { return fmt.Sprintf("10.%d.0.%d:80", g, rank) }

func addresses() []string {
	var list []string
	for g := range groups {
		for rank := range ranksInGroup {
			list = append(list, address(g, rank))
		}
	}
	return list
}

func (f *fleet) answer(asked string) groupwatch.Answer {
	f.asked[asked]++
	var g, rank int
	_, _ = fmt.Sscanf(asked, "10.%d.0.%d:80", &g, &rank)
	a := groupwatch.Answer{Referral: address(g, 1+8*(rank%8))}
	if rank != 0 && rank%8 != 1 {
		return a
	}
	a.Load.Group = fmt.Sprint("g", g)
	for r := range ranksInGroup {
		a.Load.Ranks = append(a.Load.Ranks, api.RankLoad{AddressHash: xxhash.Sum64String(address(g, r))})
		if rank == 0 && r%8 == 1 {
			a.Publishers = append(a.Publishers, address(g, r))
		}
	}
	return a
}

// run asks for d from start and returns the time of the last load of each group.
func (f *fleet) run(s *groupwatch.State, start, d time.Duration) map[string]time.Duration {
	loads := make(map[string]time.Duration)
	for now := start; now < start+d; now += 20 * time.Millisecond {
		for _, asked := range s.Due(now) {
			if f.silent[asked] {
				s.Fail(asked)
				continue
			}
			a := f.answer(asked)
			if s.Handle(now, asked, a) {
				loads[a.Load.Group] = now
			}
		}
	}
	return loads
}

// Guards against an edge that does not find a group, that keeps asking a process that
// does not answer, and against leaders that all edges ask.
func TestFindsGroupsAndSurvivesSilentPublishers(t *testing.T) {
	f := &fleet{silent: make(map[string]bool), asked: make(map[string]int)}
	var states []*groupwatch.State
	for i := range 36 {
		s := groupwatch.New(fmt.Sprint("edge-", i), uint64(i))
		s.Configure(addresses())
		states = append(states, s)
		if loads := f.run(s, 0, 2*time.Second); len(loads) != groups {
			t.Errorf("edge %d found %d groups within 2 s, want %d", i, len(loads), groups)
		}
	}
	clear(f.asked)
	for _, s := range states {
		f.run(s, 2*time.Second, 2*time.Second)
	}
	for g := range groups {
		if n := f.asked[address(g, 0)]; n > 0 {
			t.Errorf("the leader of group %d was asked %d times after its publishers were known", g, n)
		}
	}
	for rank := 1; rank < ranksInGroup; rank += 8 {
		f.silent[address(1, rank)] = rank < 32
	}
	for i, s := range states {
		loads := f.run(s, 4*time.Second, 5*time.Second)
		for g, at := range loads {
			if at < 8*time.Second {
				t.Errorf("edge %d: last load of %s at %v, want after 8 s", i, g, at)
			}
		}
		if len(loads) != groups {
			t.Errorf("edge %d has the loads of %d groups while publishers are silent, want %d", i, len(loads), groups)
		}
	}
}

// Guards against edges that together overload the processes of a group whose load is not
// known, for instance because its leader is slow: the group then never recovers.
func TestSearchBacksOff(t *testing.T) {
	const searched = 10 * time.Second
	asked := 0
	s := groupwatch.New("edge", 1)
	s.Configure(addresses())
	for now := time.Duration(0); now < searched; now += 20 * time.Millisecond {
		for _, a := range s.Due(now) {
			asked++
			s.Fail(a)
		}
	}
	if asked > 12 || asked < 5 {
		t.Errorf("%d requests in %v, want about one in 1.6 s after the first few", asked, searched)
	}
}
