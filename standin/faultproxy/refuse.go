package faultproxy

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// RefuseError reports that a proxy could not stop or resume accepting connections.
type RefuseError struct{ Err error }

func (e *RefuseError) Error() string {
	return "fault proxy cannot refuse connections: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *RefuseError) Unwrap() error { return e.Err }

// Refuse resets all connections and makes the kernel refuse new ones, as if nothing listened
// on the address, until Accept is called.
func (p *Proxy) Refuse() error {
	p.mu.Lock()
	if p.listener == nil {
		p.mu.Unlock()
		return nil
	}
	_ = p.listener.Close()
	p.listener = nil
	reserved, err := reservePort(p.address)
	p.reserved = reserved
	p.mu.Unlock()
	p.resetConnections()
	return err
}

// Accept makes the proxy accept connections again.
func (p *Proxy) Accept() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.reserved == nil {
		return nil
	}
	if err := unix.Listen(int(p.reserved.Fd()), unix.SOMAXCONN); err != nil {
		return &RefuseError{Err: err}
	}
	listener, err := net.FileListener(p.reserved)
	if err != nil {
		return &RefuseError{Err: err}
	}
	_ = p.reserved.Close()
	p.listener, p.reserved = listener, nil
	p.serving.Go(func() { p.serve(listener) })
	return nil
}

// refuses reports whether the proxy refuses connections. One that was accepted just before
// is reset.
func (p *Proxy) refuses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener == nil
}

// reservePort binds a socket that doesn't listen, so that connections are refused and no
// other socket gets the port.
func reservePort(address *net.TCPAddr) (*os.File, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, &RefuseError{Err: err}
	}
	file := os.NewFile(uintptr(fd), "reserved port")
	bound := unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, &bound)
	}
	if err != nil {
		_ = file.Close()
		return nil, &RefuseError{Err: err}
	}
	return file, nil
}
