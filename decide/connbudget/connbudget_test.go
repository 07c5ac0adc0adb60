package connbudget_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/connbudget"
)

const (
	stall = 2 * time.Second
	kb    = 1 << 10
	room  = 32
)

// newState returns an account of a process with a main and another listener.
func newState() *connbudget.State {
	s := connbudget.New(connbudget.Limits{
		Connections: room, Requests: room, Bytes: 1 << 20,
		MinRate: kb, StallTime: stall, WriteTimeout: 30 * time.Second,
	})
	s.AddListener("http", true)
	s.AddListener("admin", false)
	return s
}

// Guards against limits that an ordinary process reaches, that exceed its memory or its
// descriptors, and against a bound where nothing is known.
func TestLimitsFitTheVM(t *testing.T) {
	for _, vm := range []struct {
		memoryMB    float64
		descriptors int
	}{{64, 800}, {136, 2870}, {152, 3000}, {424, 9000}, {536, 12300}} {
		l := connbudget.Derive(vm.memoryMB, vm.descriptors)
		memory := int64(vm.memoryMB * (1 << 20))
		held := int64(l.Connections)*connbudget.ConnectionBytes + int64(l.Requests)*connbudget.RequestBytes + l.Bytes
		if held > l.Runtime || l.Runtime > memory*3/4 {
			t.Errorf("%v: connections hold up to %d MB, the runtime %d MB", vm, held>>20, l.Runtime>>20)
		}
		if 2*l.Connections > vm.descriptors-200 {
			t.Errorf("%v: %d connections leave too few descriptors", vm, l.Connections)
		}
		// 775 requests run at once on the 22 edges of the largest deployment, 35 on each.
		if l.Connections < 200 || l.Requests < 2*35 || l.Bytes < 8<<20 {
			t.Errorf("%v: %+v is too little for ordinary callers", vm, l)
		}
	}
	if l := connbudget.Derive(0, 0); l.Bytes != 0 || l.Runtime != 0 || l.Connections < 1<<20 {
		t.Errorf("unknown limits bound %+v", l)
	}
}

// Guards against the end of a connection that makes progress at the least rate, was opened
// just now or whose request is being handled, and against an order other than by progress.
func TestLeastProgressIsEndedFirst(t *testing.T) {
	s := newState()
	const (
		silent, trickling, slow, handled, idle, unread, fresh = 1, 2, 3, 4, 5, 6, 7
	)
	for id := uint64(silent); id < fresh; id++ {
		s.Open(0, id, "http", fmt.Sprintf("10.0.0.%d", id))
	}
	now := time.Duration(0)
	for tick := int64(1); tick <= 12; tick++ {
		now += 500 * time.Millisecond
		s.Observe(now, silent, connbudget.Reading{Phase: connbudget.Receiving, Moved: 100 * kb})
		// A client far below the least rate never pauses for the stall time.
		s.Observe(now, trickling, connbudget.Reading{Phase: connbudget.Receiving, Moved: tick})
		s.Observe(now, slow, connbudget.Reading{Phase: connbudget.Receiving, Moved: tick * kb})
		s.Observe(now, handled, connbudget.Reading{Phase: connbudget.Serving, Moved: kb})
		s.Observe(now, idle, connbudget.Reading{Phase: connbudget.Idle, Moved: kb, Served: true})
		s.Observe(now, unread, connbudget.Reading{Phase: connbudget.Sending, Moved: kb})
	}
	s.Open(now, fresh, "http", "10.0.0.7")
	var order []uint64
	for {
		next := s.ForConnection(now, "http")
		if len(next) == 0 {
			break
		}
		for _, id := range next {
			s.End(id)
		}
		order = append(order, next...)
	}
	if slices.Contains(order, slow) || slices.Contains(order, handled) || slices.Contains(order, fresh) {
		t.Errorf("%v were ended, want none that makes progress, waits for the process or is new", order)
	}
	if len(order) != 4 || order[3] != idle {
		t.Errorf("%v were ended, want the three without progress and then the idle one", order)
	}
	if got := s.ForRequests(now); len(got) != 0 {
		t.Errorf("%v are ended twice", got)
	}
}

// Guards against a crowd at one listener that leaves no room at another, and against room that
// stays unused while a listener needs it.
func TestListenersKeepTheirPart(t *testing.T) {
	for _, crowded := range []string{"http", "admin"} {
		s := newState()
		id := uint64(1)
		for ; !s.Full(crowded); id++ {
			s.Open(0, id, crowded, "10.0.0.1")
		}
		if n := s.Connections(); n < room/2 || n >= room {
			t.Errorf("%s took %d of %d connections", crowded, n, room)
		}
		for _, other := range []string{"http", "admin"} {
			if other != crowded && s.Full(other) {
				t.Errorf("no room at %s because of %s", other, crowded)
			}
		}
	}
}

// Guards against bytes that are released twice or never, when a connection is ended, returns
// them later and is closed.
func TestBytesAreReleasedOnce(t *testing.T) {
	s := newState()
	for id := uint64(1); id <= 3; id++ {
		s.Open(0, id, "http", "10.0.0.1")
		if !s.Take(id, "m", 100*kb) || !s.Take(id, "head", 10*kb) {
			t.Fatal("no room for the first bytes")
		}
	}
	s.End(1)
	s.Return(1, "m", 100*kb)
	if s.Used() != 220*kb || s.Take(1, "m", kb) {
		t.Errorf("%d bytes after the end of a connection", s.Used())
	}
	s.Close(1)
	s.Return(2, "m", 100*kb)
	s.Return(2, "m", 100*kb)
	s.Close(2)
	s.Close(2)
	if s.Used() != 110*kb || s.Connections() != 1 {
		t.Errorf("%d bytes of %d connections", s.Used(), s.Connections())
	}
	s.Close(3)
	if s.Used() != 0 || s.Connections() != 0 {
		t.Errorf("%d bytes of %d connections are left", s.Used(), s.Connections())
	}
}

// Guards against a member whose stalled bodies keep its own callers out, and against the end
// of another member's.
func TestStalledBodiesOfTheMemberGoFirst(t *testing.T) {
	s := newState()
	id := uint64(1)
	s.Open(0, id, "http", "10.0.0.1")
	s.Take(id, "other", 100*kb)
	s.Observe(0, id, connbudget.Reading{Phase: connbudget.Receiving, Moved: kb})
	for {
		id++
		s.Open(0, id, "http", "10.0.0.1")
		if !s.Take(id, "m", 100*kb) {
			break
		}
		s.Observe(0, id, connbudget.Reading{Phase: connbudget.Receiving, Moved: kb})
	}
	if got := s.ForBytes(stall-1, "m"); len(got) != 0 {
		t.Errorf("%v are ended before the stall time", got)
	}
	got := s.ForBytes(stall, "m")
	if len(got) == 0 || got[len(got)-1] != 1 {
		t.Fatalf("%v are ended, want those of the member first", got)
	}
	s.End(got[0])
	if !s.Take(id, "m", 100*kb) {
		t.Error("no room after the end of a stalled body")
	}
}

// Guards against a response that no one reads and that is never ended.
func TestUnreadResponseIsOverdue(t *testing.T) {
	s := newState()
	s.Open(0, 1, "http", "10.0.0.1")
	s.Observe(0, 1, connbudget.Reading{Phase: connbudget.Sending, Moved: kb})
	if got := s.Overdue(29 * time.Second); len(got) != 0 {
		t.Errorf("%v ended too early", got)
	}
	if got := s.Overdue(30 * time.Second); len(got) != 1 {
		t.Errorf("%v are overdue, want one", got)
	}
}

// Guards against a wait that is ended too early or never, against limits that spare connections
// which are open already, and against limits at listeners that have none.
func TestWaitsBeyondTheirLimitExpire(t *testing.T) {
	s := newState()
	const (
		head, idle, body, admin = 1, 2, 3, 4
		since                   = 5 * time.Second
	)
	for id, r := range map[uint64]connbudget.Reading{
		head:  {Phase: connbudget.Receiving, Waiting: true, Since: since},
		idle:  {Phase: connbudget.Idle, Waiting: true, Since: since, Served: true},
		body:  {Phase: connbudget.Receiving, Since: since},
		admin: {Phase: connbudget.Idle, Waiting: true, Since: since},
	} {
		name := "http"
		if id == admin {
			name = "admin"
		}
		s.Open(0, id, name, "10.0.0.1")
		s.Observe(since, id, r)
	}
	if found := s.Expired(time.Hour); len(found) > 0 {
		t.Errorf("%v expired without a limit", found)
	}
	set := func(head, idle time.Duration) bool {
		return s.SetTimeLimits("http", api.TimeLimits{Head: head, Idle: idle})
	}
	for range 2 {
		if set(3*time.Second, 15*time.Second) {
			t.Error("the first limits, or equal ones, count as a change")
		}
	}
	for _, c := range []struct {
		after time.Duration
		want  []connbudget.Expired
	}{
		{3*time.Second - 1, nil},
		{3 * time.Second, []connbudget.Expired{{ID: head, Since: since, Head: true}}},
		{15*time.Second - 1, []connbudget.Expired{{ID: head, Since: since, Head: true}}},
		{15 * time.Second, []connbudget.Expired{{ID: head, Since: since, Head: true}, {ID: idle, Since: since}}},
	} {
		if found := s.Expired(since + c.after); !slices.Equal(found, c.want) {
			t.Errorf("%v: %v, want %v", c.after, found, c.want)
		}
	}
	if !set(time.Minute, time.Second) {
		t.Error("other limits do not count as a change")
	}
	s.End(head)
	if found := s.Expired(since + time.Second); !slices.Equal(found, []connbudget.Expired{{ID: idle, Since: since}}) {
		t.Errorf("%v with new limits", found)
	}
}
