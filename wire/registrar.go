package wire

import "context"

// Registrar is the part of the transport server with which other services serve
// calls on the link address of the process.
type Registrar interface {
	// RegisterPeer registers the server for calls of peers. It must be called while
	// services are provisioned.
	RegisterPeer(DRPCPeerServer) error
	// CheckRole returns an error if the caller's certificate does not have the role.
	// An empty role accepts any process of mulberryfork.
	CheckRole(ctx context.Context, role string) error
}
