package process

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"
)

// Message types, sizes and offsets of the socket diagnosis protocol
// (linux/inet_diag.h).
const (
	diagByFamily    = 20
	diagRequestSize = 56
	diagPorts       = 8
	diagSource      = 12
	diagTarget      = 28
	diagCookie      = 48
	diagReplyInode  = 68
	anyCookie       = 0xffffffff
	anyState        = 0xffffffff
	netlinkReply    = 8 << 10
)

// ownsSocket reports whether a child process has a socket open. A fault proxy needs
// it to identify the process that dialed, since many processes dial one agent and
// their TLS connections are opaque to the proxy.
func ownsSocket(pid int, inode string) bool {
	fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, fd := range fds {
		if target, err := os.Readlink(fd); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// inodeOf returns the inode of the socket that opened a connection, empty if the
// socket is gone. It queries the kernel for this socket only, because a list of all
// sockets takes too long when many processes have many open.
func inodeOf(remote, local net.Addr) string {
	from, fromOK := remote.(*net.TCPAddr)
	to, toOK := local.(*net.TCPAddr)
	if !fromOK || !toOK {
		return ""
	}
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return ""
	}
	defer func() { _ = unix.Close(fd) }()
	if unix.Sendto(fd, diagRequest(from, to), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}) != nil {
		return ""
	}
	reply := make([]byte, netlinkReply)
	n, _, err := unix.Recvfrom(fd, reply, 0)
	body := unix.SizeofNlMsghdr
	if err != nil || n < body+diagReplyInode+4 || binary.NativeEndian.Uint16(reply[4:]) != diagByFamily {
		return ""
	}
	return strconv.FormatUint(uint64(binary.NativeEndian.Uint32(reply[body+diagReplyInode:])), 10)
}

// diagRequest encodes a request for the socket with these addresses.
func diagRequest(from, to *net.TCPAddr) []byte {
	m := make([]byte, unix.SizeofNlMsghdr+diagRequestSize)
	binary.NativeEndian.PutUint32(m, uint32(len(m)))
	binary.NativeEndian.PutUint16(m[4:], diagByFamily)
	binary.NativeEndian.PutUint16(m[6:], unix.NLM_F_REQUEST)
	q := m[unix.SizeofNlMsghdr:]
	q[0], q[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(q[4:], anyState)
	binary.BigEndian.PutUint16(q[diagPorts:], uint16(from.Port))
	binary.BigEndian.PutUint16(q[diagPorts+2:], uint16(to.Port))
	copy(q[diagSource:], from.IP.To4())
	copy(q[diagTarget:], to.IP.To4())
	binary.NativeEndian.PutUint32(q[diagCookie:], anyCookie)
	binary.NativeEndian.PutUint32(q[diagCookie+4:], anyCookie)
	return m
}
