package faultproxy_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

// echo is a target that echoes the bytes of each connection.
type echo struct {
	address  string
	accepted atomic.Int64
}

func newEcho(t *testing.T) *echo {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &echo{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.accepted.Add(1)
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return e
}

// connect opens a connection from endpoint a to endpoint b, the target, through a
// new proxy.
func connect(t *testing.T, n *faultproxy.Network, target string) *net.TCPConn {
	t.Helper()
	p, err := n.Listen(faultproxy.Link{From: "a", To: "b", Target: target})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// exchange sends text, half-closes the connection and returns the bytes received.
func exchange(c *net.TCPConn, text string) (string, error) {
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	if err := c.CloseWrite(); err != nil {
		return "", err
	}
	got, err := io.ReadAll(c)
	return string(got), err
}

// Guards against a proxy that truncates or changes streams without a fault, which
// would be mistaken for a bug in the system under test.
func TestProxyWithoutFaultIsTransparent(t *testing.T) {
	n := faultproxy.NewNetwork(1)
	text := strings.Repeat("0123456789", 100_000)
	got, err := exchange(connect(t, n, newEcho(t).address), text)
	if err != nil || got != text {
		t.Fatalf("%d of %d bytes, %v", len(got), len(text), err)
	}
}

// Guards against delays and rate limits that have no effect or lose bytes.
func TestDelayAndThrottleSlowDownStream(t *testing.T) {
	cases := []struct {
		name    string
		fault   faultproxy.Fault
		atLeast time.Duration
	}{
		{"delay", faultproxy.Fault{Delay: 30 * time.Millisecond}, 30 * time.Millisecond},
		{"trickle", faultproxy.Fault{BytesPerSecond: 1000}, 100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := faultproxy.NewNetwork(1)
			n.Set("b", "a", c.fault)
			start := time.Now()
			text := strings.Repeat("x", 100)
			got, err := exchange(connect(t, n, newEcho(t).address), text)
			if err != nil || got != text || time.Since(start) < c.atLeast {
				t.Errorf("%q, %v after %s, want at least %s", got, err, time.Since(start), c.atLeast)
			}
		})
	}
}

// Guards against a cut that drops bytes, lets some through or affects the opposite
// direction.
func TestCutHoldsOneDirectionUntilCleared(t *testing.T) {
	n := faultproxy.NewNetwork(1)
	target := newEcho(t)
	n.Set("b", "a", faultproxy.Fault{Cut: true})
	c := connect(t, n, target.address)
	if _, err := io.WriteString(c, "held"); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := io.ReadFull(c, make([]byte, 1)); err == nil {
		t.Fatalf("%d bytes passed through a cut direction", got)
	}
	if target.accepted.Load() != 1 {
		t.Error("the direction that was not cut did not reach the target")
	}
	_ = c.SetReadDeadline(time.Time{})
	n.Clear("b", "a")
	if got, err := exchange(c, "!"); err != nil || got != "held!" {
		t.Errorf("after clearing the cut: %q, %v", got, err)
	}
}

// Guards against a partition that lets new connections reach the target, and against
// one that outlasts Heal.
func TestPartitionBlocksNewConnections(t *testing.T) {
	n := faultproxy.NewNetwork(1)
	target := newEcho(t)
	n.Partition([]string{"a"}, []string{"b", "c"})
	c := connect(t, n, target.address)
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := exchange(c, "x"); err == nil || target.accepted.Load() != 0 {
		t.Fatalf("the target accepted %d connections, error %v", target.accepted.Load(), err)
	}
	_ = c.SetReadDeadline(time.Time{})
	n.Heal([]string{"a"}, []string{"b", "c"})
	if got, err := io.ReadAll(c); err != nil || string(got) != "x" {
		t.Errorf("after healing the partition: %q, %v", got, err)
	}
}

// Guards against a reset or loss that the reader takes for the end of the stream.
func TestResetAndLossBreakStream(t *testing.T) {
	cases := []struct {
		name  string
		fault faultproxy.Fault
	}{
		{"reset after some bytes", faultproxy.Fault{ResetAfterBytes: 10}},
		{"loss", faultproxy.Fault{LossRate: 1, StallBeforeReset: time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := faultproxy.NewNetwork(1)
			n.Set("b", "a", c.fault)
			if got, err := exchange(connect(t, n, newEcho(t).address), strings.Repeat("x", 100)); err == nil {
				t.Errorf("the stream ended without error after %q", got)
			}
		})
	}
}

// Guards against Reset calls that affect other endpoints or leave the connection open.
func TestResetBreaksOnlyMatchingConnections(t *testing.T) {
	n := faultproxy.NewNetwork(1)
	c := connect(t, n, newEcho(t).address)
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if got := n.Reset("other", faultproxy.Any); got != 0 {
		t.Errorf("reset %d connections of another endpoint", got)
	}
	if got := n.Reset("a", faultproxy.Any); got != 1 {
		t.Errorf("reset %d connections, want 1", got)
	}
	if _, err := io.ReadAll(c); err == nil {
		t.Error("the connection ended without error")
	}
}

// Guards against duplicate dials that are not made or disturb the original connection.
func TestDuplicateDialsReachTarget(t *testing.T) {
	n := faultproxy.NewNetwork(1)
	n.Set("a", faultproxy.Any, faultproxy.Fault{DuplicateDials: 2})
	target := newEcho(t)
	if got, err := exchange(connect(t, n, target.address), "x"); err != nil || got != "x" {
		t.Fatalf("%q, %v", got, err)
	}
	if got := n.Counts().DuplicateDials; got != 2 {
		t.Errorf("%d duplicates, want 2", got)
	}
}

// Guards against losses that differ between runs with the same seed, which would make
// failed runs impossible to reproduce.
func TestLossIsSeeded(t *testing.T) {
	outcomes := func(seed uint64) string {
		n := faultproxy.NewNetwork(seed)
		n.Set("b", "a", faultproxy.Fault{LossRate: 0.5})
		target := newEcho(t)
		var b strings.Builder
		for range 16 {
			if _, err := exchange(connect(t, n, target.address), "x"); err != nil {
				b.WriteByte('-')
			} else {
				b.WriteByte('+')
			}
		}
		return b.String()
	}
	first := outcomes(7)
	if second := outcomes(7); first != second {
		t.Errorf("one seed gave %s, then %s", first, second)
	}
	if other := outcomes(8); first == other {
		t.Errorf("two seeds gave the same outcomes %s", first)
	}
}
