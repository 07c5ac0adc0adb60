package process

import (
	"net"
	"os"
	"testing"
)

// Guards against a fault proxy that confuses two processes and injects faults into
// the wrong link.
func TestConnectionOwnerIsFound(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	inode := inodeOf(accepted.RemoteAddr(), accepted.LocalAddr())
	if inode == "" || !ownsSocket(os.Getpid(), inode) {
		t.Errorf("socket %q was not found in this process", inode)
	}
	if ownsSocket(os.Getppid(), inode) {
		t.Error("the socket was found in another process")
	}
	if got := inodeOf(accepted.RemoteAddr(), l.Addr().(*net.TCPAddr)); got != inode {
		t.Errorf("inode by the listener's address: %q, want %q", got, inode)
	}
}
