package wire

import "context"

// Registrar is the part of the transport server that other services need to
// answer calls on the process's link address.
type Registrar interface {
	// RegisterPeer adds the calls of peers while services are provisioned.
	RegisterPeer(DRPCPeerServer) error
	// CheckRole refuses a caller whose certificate lacks the role; an empty
	// role accepts any process of the system.
	CheckRole(ctx context.Context, role string) error
}
