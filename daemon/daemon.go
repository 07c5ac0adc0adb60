// Package daemon lists the services of routers and agents and starts their
// processes. A program that embeds mulberryfork uses these lists and replaces a
// service by registering its own under the same name.
package daemon

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/adminhttp"
	"github.com/mulberryfork/mulberryfork/service/admission"
	"github.com/mulberryfork/mulberryfork/service/configsource"
	"github.com/mulberryfork/mulberryfork/service/configstore"
	"github.com/mulberryfork/mulberryfork/service/connections"
	"github.com/mulberryfork/mulberryfork/service/dispatch"
	"github.com/mulberryfork/mulberryfork/service/engine"
	"github.com/mulberryfork/mulberryfork/service/enginefeed"
	"github.com/mulberryfork/mulberryfork/service/frontend"
	"github.com/mulberryfork/mulberryfork/service/links"
	"github.com/mulberryfork/mulberryfork/service/linkserver"
	"github.com/mulberryfork/mulberryfork/service/log"
	"github.com/mulberryfork/mulberryfork/service/membership"
	"github.com/mulberryfork/mulberryfork/service/metrics"
	"github.com/mulberryfork/mulberryfork/service/peers"
	"github.com/mulberryfork/mulberryfork/service/report"
	"github.com/mulberryfork/mulberryfork/service/routing"
	"github.com/mulberryfork/mulberryfork/service/subset"
	"github.com/mulberryfork/mulberryfork/service/trust"
	"github.com/mulberryfork/mulberryfork/service/work"
)

// commonServices are the services of both routers and agents.
var commonServices = []string{
	api.ServiceLog,
	api.ServiceMetrics,
	api.ServiceConnections,
	api.ServiceTrust,
	api.ServiceConfigSource,
	api.ServiceConfigStore,
	api.ServiceMembership,
	api.ServiceTransportServer,
	api.ServiceTransportPeers,
	api.ServiceAdminHTTP,
}

// RouterServices returns the names of a router's services.
func RouterServices() []string {
	return append(append([]string(nil), commonServices...),
		api.ServiceTransportLinks,
		api.ServiceTransportSubset,
		api.ServiceAdmission,
		api.ServiceRouting,
		api.ServiceDispatch,
		api.ServiceReport,
		api.ServiceFrontendHTTP,
	)
}

// AgentServices returns the names of an agent's services.
func AgentServices() []string {
	return append(append([]string(nil), commonServices...),
		api.ServiceEngine,
		api.ServiceEngineFeed,
		api.ServiceWork,
	)
}

// Registry returns a registry with every service of mulberryfork.
func Registry() (*kernel.Registry, error) {
	r := kernel.NewRegistry()
	for _, register := range []func(*kernel.Registry) error{
		adminhttp.Register,
		admission.Register,
		configsource.Register,
		connections.Register,
		configstore.Register,
		dispatch.Register,
		engine.Register,
		enginefeed.Register,
		frontend.Register,
		links.Register,
		linkserver.Register,
		log.Register,
		membership.Register,
		metrics.Register,
		peers.Register,
		report.Register,
		routing.Register,
		subset.Register,
		trust.Register,
		work.Register,
	} {
		if err := register(r); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Process is one running process, such as a router or an agent.
type Process struct {
	Host     *kernel.Host
	settings *api.Settings
}

// Start starts a process with the named services. Each value replaces one that a
// service would otherwise create from the settings, such as the certificates.
func Start(ctx context.Context, names []string, settings *api.Settings, values ...any) (*Process, error) {
	registry, err := Registry()
	if err != nil {
		return nil, err
	}
	return StartWith(ctx, registry, names, settings, values...)
}

// StartWith is like Start, but uses the given registry.
func StartWith(ctx context.Context, r *kernel.Registry, names []string, settings *api.Settings, values ...any) (*Process, error) {
	host := kernel.NewHost(r, names, kernel.Options{Values: append(values, settings)})
	if err := host.Start(ctx); err != nil {
		return nil, err
	}
	return &Process{Host: host, settings: settings}, nil
}

// Stop shuts the process down gracefully within its stop deadline.
func (p *Process) Stop(ctx context.Context) error {
	stopCtx, cancel := context.WithTimeout(ctx, time.Duration(p.settings.StopDeadline))
	defer cancel()
	return p.Host.Stop(stopCtx)
}

type addresser interface{ Address() string }

// Address returns the address on which a service listens.
func (p *Process) Address(service string) (string, error) {
	s, err := kernel.Find[addresser](p.Host, service)
	if err != nil {
		return "", err
	}
	return s.Address(), nil
}

// listeners are the services that listen, with the setting of each address.
var listeners = []struct{ setting, service string }{
	{"http", api.ServiceFrontendHTTP},
	{"link", api.ServiceTransportServer},
	{"link", api.ServiceFleet},
	{"link", api.ServiceExperts},
	{"ready", api.ServicePlatformReady},
	{"admin", api.ServiceAdminHTTP},
}

// LogAddresses logs the addresses on which the process listens. The operating system
// chooses the port where the settings have port 0.
func (p *Process) LogAddresses() error {
	logger, err := kernel.Find[api.Logger](p.Host, api.ServiceLog)
	if err != nil {
		return err
	}
	fields := api.Fields{}
	for _, l := range listeners {
		if address, err := p.Address(l.service); err == nil {
			fields[l.setting] = address
		}
	}
	logger.Change("listening", fields)
	return nil
}

// WaitConfigured waits until the process has an active configuration. It returns a
// *NotReadyError if ctx ends first.
func (p *Process) WaitConfigured(ctx context.Context) error {
	store, err := kernel.Find[api.ConfigStore](p.Host, api.ServiceConfigStore)
	if err != nil {
		return err
	}
	select {
	case <-store.Ready():
		return nil
	case <-ctx.Done():
		return &NotReadyError{Service: api.ServiceConfigStore, Err: context.Cause(ctx)}
	}
}

// NotReadyError reports a service that was not ready before the context ended.
type NotReadyError struct {
	Service string
	Err     error
}

func (e *NotReadyError) Error() string { return e.Service + " is not ready: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Err }

type reloader interface{ Reload() error }

// ReloadKeys reloads keys and certificates. Open links keep the old ones. If a file
// is invalid, ReloadKeys logs the error, keeps the old keys and returns nil.
func (p *Process) ReloadKeys() error {
	trust, err := kernel.Find[reloader](p.Host, api.ServiceTrust)
	if err != nil {
		return err
	}
	logger, err := kernel.Find[api.Logger](p.Host, api.ServiceLog)
	if err != nil {
		return err
	}
	if err := trust.Reload(); err != nil {
		logger.Change("keys not reloaded", api.Fields{"error": err.Error()})
		return nil
	}
	logger.Change("keys reloaded", nil)
	return nil
}

// WaitLoadReported waits until an agent reports its load under a configuration. A
// router that connects earlier receives a load report without capacity.
func (p *Process) WaitLoadReported(ctx context.Context) error {
	work, err := kernel.Find[api.Executor](p.Host, api.ServiceWork)
	if err != nil {
		return err
	}
	for {
		load, changed := work.Load()
		if load.Revision > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &NotReadyError{Service: api.ServiceWork, Err: context.Cause(ctx)}
		}
	}
}

// WaitLinked waits until a router has a link to each configured upstream.
func (p *Process) WaitLinked(ctx context.Context) error {
	store, err := kernel.Find[api.ConfigStore](p.Host, api.ServiceConfigStore)
	if err != nil {
		return err
	}
	links, err := kernel.Find[api.Links](p.Host, api.ServiceTransportLinks)
	if err != nil {
		return err
	}
	for name := range store.Current().Config.Upstreams {
		if _, ok := links.WaitUp(ctx, name); !ok {
			return &NotReadyError{Service: api.ServiceTransportLinks, Err: context.Cause(ctx)}
		}
	}
	return nil
}
