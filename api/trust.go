package api

import (
	"crypto/tls"
	"net"
)

// Trust provides mutual TLS between processes.
type Trust interface {
	// Client returns the TLS configuration for connections to a process with the
	// role, nil if the settings allow connections without TLS.
	Client(role string) *tls.Config
	// Server returns the TLS configuration for accepting connections, nil likewise.
	Server() *tls.Config
	// Peer returns the role and name in the certificate of a connection.
	Peer(net.Conn) (PeerIdentity, *TrustError)
}

// PeerIdentity is the identity of a process in its certificate.
type PeerIdentity struct {
	// Role is RoleRouter or RoleAgent.
	Role string
	Name string
}

// Roles of processes, in the organizational unit of a certificate.
const (
	RoleRouter = "router"
	RoleAgent  = "agent"
)

// TrustError reports a connection whose certificate does not allow its use.
type TrustError struct{ Reason string }

func (e *TrustError) Error() string { return "connection refused: " + e.Reason }
