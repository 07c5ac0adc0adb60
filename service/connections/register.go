package connections

import (
	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Register adds the service.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceConnections, func() any { return &service{} })
}
