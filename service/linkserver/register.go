package linkserver

import (
	"storj.io/drpc/drpcmux"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Register adds the service under its name.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceTransportServer, func() any { return &service{mux: drpcmux.New()} })
}
