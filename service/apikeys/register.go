package apikeys

import (
	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Register puts the service under the name of admission.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceAdmission, func() any { return &service{} })
}
