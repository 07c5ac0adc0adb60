package pool

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

const (
	// Columns of /proc/net/tcp.
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// owns reports whether a process that this one started holds the socket from
// an address to a local port. Many processes dial one agent, and their TLS
// connections don't tell a proxy who they are.
func owns(pid int, inode string) bool {
	fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, fd := range fds {
		if target, err := os.Readlink(fd); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// inodeOf finds the socket with a local address, empty if there is none.
func inodeOf(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return ""
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	port := fmt.Sprintf(":%04X", tcp.Port)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > columnInode && strings.HasSuffix(fields[columnLocal], port) && fields[columnRemote] != "00000000:0000" {
			return fields[columnInode]
		}
	}
	return ""
}
