// Package subset passes the list of routers from the membership service to the
// links of a router. The links cannot look it up themselves, because the membership
// service depends on them.
package subset

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// Register adds the service under its name.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceTransportSubset, func() any { return &service{} })
}

type service struct{}

func (s *service) Provision(c *kernel.Context) error {
	links, err := kernel.Lookup[api.LinkSubsetter](c, api.ServiceTransportLinks)
	if err != nil {
		return err
	}
	membership, err := kernel.Lookup[api.Membership](c, api.ServiceMembership)
	if err != nil {
		return err
	}
	membership.Subscribe(func(_ time.Duration, members []api.VM) { links.UpdateRouters(members) })
	return nil
}
