package balance

import (
	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Register adds the service under the name of the routing service.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceRouting, func() any { return &service{} })
}
