package faultproxy_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

// Guards against a refusing proxy that accepts connections, keeps open ones, or comes back on
// another port.
func TestRefusedConnections(t *testing.T) {
	e := newEcho(t)
	p, err := faultproxy.NewNetwork(1).Listen(faultproxy.Link{From: "a", To: "b", Target: e.address})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	for range 3 {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		if err := p.Refuse(); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("reading from the open connection returned %v, want a reset", err)
		}
		if refused, err := net.Dial("tcp", p.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dialing returned %v, %v, want a refusal", refused, err)
		}
		if err := p.Accept(); err != nil {
			t.Fatal(err)
		}
	}
}
