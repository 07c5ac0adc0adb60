package wire

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// DialPlaintext opens a connection without TLS, for processes inside the platform's
// network. Messages of more than maxBytes are refused.
func DialPlaintext(ctx context.Context, address string, timeout time.Duration, maxBytes int) (*drpcconn.Conn, error) {
	dial := net.Dialer{Timeout: timeout}
	raw, err := dial.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: plaintextManager(maxBytes)}), nil
}

// ServePlaintext serves calls on a listener without TLS until ctx ends. Messages of
// more than maxBytes are refused.
func ServePlaintext(ctx context.Context, l net.Listener, h drpc.Handler, maxBytes int) error {
	return drpcserver.NewWithOptions(h, drpcserver.Options{Manager: plaintextManager(maxBytes)}).Serve(ctx, l)
}

func plaintextManager(maxBytes int) drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBytes}}
}
