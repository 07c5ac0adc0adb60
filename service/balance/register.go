package balance

import (
	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Register puts the service under the name of routing.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceRouting, func() any { return &service{} })
}
