package grouploads

import (
	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Register adds the service under its name.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceGroupLoads, func() any { return &service{} })
}
