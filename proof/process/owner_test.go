package process

import (
	"net"
	"os"
	"testing"
)

// A proxy that takes one process for another would put faults on the wrong link.
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
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	inode := inodeOf(near.RemoteAddr(), near.LocalAddr())
	if inode == "" || !ownsSocket(os.Getpid(), inode) {
		t.Errorf("socket %q is not found in this process", inode)
	}
	if ownsSocket(os.Getppid(), inode) {
		t.Error("the socket is found in another process")
	}
	if got := inodeOf(near.RemoteAddr(), l.Addr().(*net.TCPAddr)); got != inode {
		t.Errorf("by the listener's address: %q, want %q", got, inode)
	}
}
