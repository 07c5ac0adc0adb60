// Package rawserver listens for tests that write to a connection themselves, since an HTTP library
// would not send what they need.
package rawserver

import (
	"net"
	"testing"
)

// Listen serves each connection at an address by a function, and closes it then. It returns the
// address, whose port may be chosen by the operating system, and stops at the end of the test.
func Listen(t testing.TB, address string, serve func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// AnyPort is an address on loopback whose port the operating system chooses.
const AnyPort = "127.0.0.1:0"
