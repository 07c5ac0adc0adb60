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

// Message types, values, sizes and offsets of the sock_diag protocol
// (linux/inet_diag.h).
const (
	sockDiagByFamily      = 20
	diagRequestSize       = 56
	diagPortsOffset       = 8
	diagSourceOffset      = 12
	diagDestinationOffset = 28
	diagCookieOffset      = 48
	diagReplyInodeOffset  = 68
	anyCookie             = 0xffffffff
	anyState              = 0xffffffff
	maxDiagReplySize      = 8 << 10
)

// ownsSocket reports whether a child process has the socket with this inode open. A
// fault proxy uses it to identify the process that dialed: many processes dial one
// agent, and the proxy can't read their TLS connections.
func ownsSocket(pid int, inode string) bool {
	fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, fd := range fds {
		if target, err := os.Readlink(fd); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the socket that opened a connection, given the
// addresses at the accepting end. It returns an empty string if the socket is closed
// or the query fails. It queries the kernel for this socket only, because listing all
// sockets takes too long when many processes have many open.
func socketInode(remote, local net.Addr) string {
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
	reply := make([]byte, maxDiagReplySize)
	n, _, err := unix.Recvfrom(fd, reply, 0)
	body := unix.SizeofNlMsghdr
	if err != nil || n < body+diagReplyInodeOffset+4 || binary.NativeEndian.Uint16(reply[4:]) != sockDiagByFamily {
		return ""
	}
	return strconv.FormatUint(uint64(binary.NativeEndian.Uint32(reply[body+diagReplyInodeOffset:])), 10)
}

// diagRequest encodes a sock_diag request for the socket with these addresses.
func diagRequest(from, to *net.TCPAddr) []byte {
	m := make([]byte, unix.SizeofNlMsghdr+diagRequestSize)
	binary.NativeEndian.PutUint32(m, uint32(len(m)))
	binary.NativeEndian.PutUint16(m[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(m[6:], unix.NLM_F_REQUEST)
	q := m[unix.SizeofNlMsghdr:]
	q[0], q[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(q[4:], anyState)
	binary.BigEndian.PutUint16(q[diagPortsOffset:], uint16(from.Port))
	binary.BigEndian.PutUint16(q[diagPortsOffset+2:], uint16(to.Port))
	copy(q[diagSourceOffset:], from.IP.To4())
	copy(q[diagDestinationOffset:], to.IP.To4())
	binary.NativeEndian.PutUint32(q[diagCookieOffset:], anyCookie)
	binary.NativeEndian.PutUint32(q[diagCookieOffset+4:], anyCookie)
	return m
}
