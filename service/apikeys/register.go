package apikeys

import (
	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Register adds the service under the name of the admission service.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceAdmission, func() any { return &service{} })
}
