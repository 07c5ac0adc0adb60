package kernel_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel"
)

type store struct{ log *[]string }

func (s *store) Start(context.Context) error { *s.log = append(*s.log, "start store"); return nil }
func (s *store) Stop(context.Context) error  { *s.log = append(*s.log, "stop store"); return nil }
func (s *store) Get() string                 { return "value" }

type getter interface{ Get() string }

type front struct {
	log   *[]string
	store getter
}

func (f *front) Provision(c *kernel.Context) (err error) {
	f.store, err = kernel.Lookup[getter](c, "store")
	return err
}
func (f *front) Start(context.Context) error { *f.log = append(*f.log, "start front"); return nil }
func (f *front) Stop(context.Context) error  { *f.log = append(*f.log, "stop front"); return nil }

type dependent struct{ name string }

func (d *dependent) Provision(c *kernel.Context) error {
	_, err := kernel.Lookup[any](c, d.name)
	return err
}

func newRegistry(t *testing.T, factories map[string]kernel.Factory) *kernel.Registry {
	t.Helper()
	r := kernel.NewRegistry()
	for name, factory := range factories {
		if err := r.Register(name, factory); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// Guards against a service that starts before its dependencies or stops after
// them.
func TestHostStartsAndStopsInDependencyOrder(t *testing.T) {
	var log []string
	r := newRegistry(t, map[string]kernel.Factory{
		"front": func() any { return &front{log: &log} },
		"store": func() any { return &store{log: &log} },
	})
	h := kernel.NewHost(r, []string{"front", "store"}, kernel.Options{})
	if err := h.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := h.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	want := []string{"start store", "start front", "stop front", "stop store"}
	if !slices.Equal(log, want) {
		t.Errorf("got order %v, want %v", log, want)
	}
}

// Guards against a host that starts although a service is missing, has the wrong
// type or is part of a dependency cycle.
func TestHostRejectsInvalidDependencies(t *testing.T) {
	r := newRegistry(t, map[string]kernel.Factory{
		"a":     func() any { return &dependent{name: "b"} },
		"b":     func() any { return &dependent{name: "a"} },
		"front": func() any { return &front{} },
		"store": func() any { return &dependent{name: "other"} },
		"other": func() any { return struct{}{} },
	})
	cases := []struct {
		name   string
		listed []string
		want   any
	}{
		{"cycle", []string{"a", "b"}, new(*kernel.DependencyCycleError)},
		{"not listed", []string{"a"}, new(*kernel.UnknownServiceError)},
		{"not registered", []string{"missing"}, new(*kernel.UnknownServiceError)},
		{"wrong interface", []string{"front", "store", "other"}, new(*kernel.ServiceTypeError)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := kernel.NewHost(r, c.listed, kernel.Options{}).Start(t.Context())
			if !errors.As(err, c.want) {
				t.Errorf("got %v, want %T", err, c.want)
			}
		})
	}
	var duplicate *kernel.DuplicateServiceError
	if err := r.Register("a", nil); !errors.As(err, &duplicate) {
		t.Errorf("second registration: got %v, want DuplicateServiceError", err)
	}
	var invalid *kernel.InvalidNameError
	if err := r.Register("Front End", nil); !errors.As(err, &invalid) {
		t.Errorf("invalid name: got %v, want InvalidNameError", err)
	}
}

// Guards against events that are lost or reordered between mailboxes: control
// state would handle the end of a request before its start.
func TestLoopKeepsOrderAcrossMailboxes(t *testing.T) {
	l := kernel.NewLoop(kernel.BootClock{})
	var seen []int
	done := make(chan struct{})
	a := kernel.NewMailbox(l, "a", 8, kernel.Wait, func(_ time.Duration, e int) { seen = append(seen, e) })
	b := kernel.NewMailbox(l, "b", 8, kernel.Wait, func(_ time.Duration, e int) { seen = append(seen, -e) })
	end := kernel.NewMailbox(l, "end", 1, kernel.Wait, func(time.Duration, struct{}) { close(done) })
	l.Start()
	defer l.Stop()
	for i := 1; i <= 100; i++ {
		_ = a.Post(t.Context(), i)
		_ = b.Post(t.Context(), i)
	}
	_ = end.Post(t.Context(), struct{}{})
	<-done
	for i := range 100 {
		if seen[2*i] != i+1 || seen[2*i+1] != -(i+1) {
			t.Fatalf("out of order at %d: %v", i, seen[2*i:2*i+2])
		}
	}
}

// Guards against a full mailbox that ignores its overflow policy: senders would
// block, or events would be lost without an error.
func TestMailboxOverflowPolicies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := kernel.NewLoop(kernel.NewRuntimeClock())
		release := make(chan struct{})
		var latest []int
		hold := kernel.NewMailbox(l, "hold", 1, kernel.Wait, func(time.Duration, struct{}) { <-release })
		drop := kernel.NewMailbox(l, "drop", 2, kernel.Drop, func(time.Duration, int) {})
		last := kernel.NewMailbox(l, "last", 1, kernel.Latest, func(_ time.Duration, e int) { latest = append(latest, e) })
		wait := kernel.NewMailbox(l, "wait", 1, kernel.Wait, func(time.Duration, int) {})
		l.Start()
		_ = hold.Post(t.Context(), struct{}{})
		synctest.Wait()
		for i := range 3 {
			err := drop.Post(t.Context(), i)
			var full *kernel.MailboxFullError
			if (i == 2) != errors.As(err, &full) {
				t.Errorf("drop: event %d: %v", i, err)
			}
			_ = last.Post(t.Context(), i)
		}
		_ = wait.Post(t.Context(), 0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var canceled *kernel.CanceledError
		if err := wait.Post(ctx, 1); !errors.As(err, &canceled) {
			t.Errorf("full mailbox with a deadline: got %v, want CanceledError", err)
		}
		close(release)
		synctest.Wait()
		if !slices.Equal(latest, []int{2}) {
			t.Errorf("latest: handled %v, want only the newest event", latest)
		}
		l.Stop()
		var stopped *kernel.LoopStoppedError
		if err := drop.Post(t.Context(), 9); !errors.As(err, &stopped) {
			t.Errorf("post after stop: got %v, want LoopStoppedError", err)
		}
	})
}

// Guards against timers that run too often, too seldom or after their cancellation.
func TestTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := kernel.NewLoop(kernel.NewRuntimeClock())
		ticks, once, canceled := 0, 0, 0
		l.Every(time.Second, func(time.Duration) { ticks++ })
		l.After(2500*time.Millisecond, func(time.Duration) { once++ })
		l.After(time.Second, func(time.Duration) { canceled++ })()
		l.Start()
		time.Sleep(5500 * time.Millisecond)
		l.Stop()
		if ticks != 5 || once != 1 || canceled != 0 {
			t.Errorf("got %d ticks, %d one-time runs and %d canceled runs, want 5, 1 and 0", ticks, once, canceled)
		}
	})
}

// Guards against a call that loses a late reply or outlives its context.
func TestAskReturnsLateReplyOrCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := kernel.NewLoop(kernel.NewRuntimeClock())
		asks := kernel.NewMailbox(l, "ask", 4, kernel.Wait, func(_ time.Duration, c kernel.Call[int, int]) {
			if c.Query > 0 {
				l.After(time.Second, func(time.Duration) { c.Reply(2 * c.Query) })
			}
		})
		l.Start()
		defer l.Stop()
		if got, err := kernel.Ask(t.Context(), asks, 21); err != nil || got != 42 {
			t.Errorf("got %d, %v, want 42", got, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var canceled *kernel.CanceledError
		if _, err := kernel.Ask(ctx, asks, 0); !errors.As(err, &canceled) {
			t.Errorf("call without reply: got %v, want CanceledError", err)
		}
	})
}
