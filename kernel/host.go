package kernel

import (
	"context"
	"errors"
	"fmt"
	"reflect"
)

// Provisioner is implemented by services that look up other services and read
// their settings.
type Provisioner interface {
	Provision(*Context) error
}

// Validator is implemented by services that check their settings. All services
// are validated before the first one starts.
type Validator interface {
	Validate() error
}

// Starter is implemented by services that run in the background. Start must
// return once the service is ready.
type Starter interface {
	Start(context.Context) error
}

// Stopper is implemented by services that need a graceful shutdown. Stop returns
// when their work has ended or the context is done.
type Stopper interface {
	Stop(context.Context) error
}

// Drainer is implemented by services that can stop accepting new work. Drain is
// called on all started services before the first one is stopped, so that work in
// flight can still complete.
type Drainer interface {
	Drain()
}

// Cleaner is implemented by services that hold resources. Cleanup is called on
// every provisioned service, even if it never started.
type Cleaner interface {
	Cleanup()
}

// Host runs the services of one process.
type Host struct {
	registry  *Registry
	names     []string
	clock     Clock
	loop      *Loop
	values    map[reflect.Type]any
	instances map[string]*instance
	order     []*instance
}

type instance struct {
	name        string
	service     any
	provisioned bool
	started     bool
}

// Options configures a host.
type Options struct {
	// Clock defaults to BootClock.
	Clock Clock
	// Values are available to services through Value, one per type.
	Values []any
}

// NewHost returns a host for the named services of a registry.
func NewHost(r *Registry, names []string, o Options) *Host {
	if o.Clock == nil {
		o.Clock = BootClock{}
	}
	h := &Host{
		registry:  r,
		names:     names,
		clock:     o.Clock,
		loop:      NewLoop(o.Clock),
		values:    make(map[reflect.Type]any),
		instances: make(map[string]*instance),
	}
	for _, v := range o.Values {
		h.values[reflect.TypeOf(v)] = v
	}
	return h
}

// Loop returns the control loop of the process.
func (h *Host) Loop() *Loop { return h.loop }

// Start provisions and validates all services, then starts them in dependency
// order. If it fails, it stops the started services and cleans up all provisioned
// ones.
func (h *Host) Start(ctx context.Context) error {
	if err := h.provisionAndValidate(); err != nil {
		h.cleanup()
		return err
	}
	h.loop.Start()
	for _, in := range h.order {
		s, ok := in.service.(Starter)
		if ok {
			if err := s.Start(ctx); err != nil {
				failure := &PhaseError{Service: in.name, Phase: "start", Err: err}
				return errors.Join(failure, h.Stop(ctx))
			}
		}
		in.started = true
	}
	return nil
}

// Stop drains all services, stops them in reverse start order, then stops the
// control loop and cleans up. All services share the deadline of ctx. Stop
// continues after an error and returns all errors joined.
func (h *Host) Stop(ctx context.Context) error {
	h.drain()
	var failures []error
	for i := len(h.order) - 1; i >= 0; i-- {
		in := h.order[i]
		s, ok := in.service.(Stopper)
		if !ok || !in.started {
			continue
		}
		in.started = false
		if err := s.Stop(ctx); err != nil {
			failures = append(failures, &PhaseError{Service: in.name, Phase: "stop", Err: err})
		}
	}
	h.loop.Stop()
	h.cleanup()
	return errors.Join(failures...)
}

func (h *Host) drain() {
	for i := len(h.order) - 1; i >= 0; i-- {
		d, ok := h.order[i].service.(Drainer)
		if ok && h.order[i].started {
			d.Drain()
		}
	}
}

func (h *Host) provisionAndValidate() error {
	for _, name := range h.names {
		if _, err := h.provision(name, nil); err != nil {
			return err
		}
	}
	for _, in := range h.order {
		v, ok := in.service.(Validator)
		if !ok {
			continue
		}
		if err := v.Validate(); err != nil {
			return &PhaseError{Service: in.name, Phase: "validate", Err: err}
		}
	}
	return nil
}

// provision creates a service and, through its lookups, its dependencies. A
// service is appended to h.order once it is provisioned, which is after its
// dependencies.
func (h *Host) provision(name string, path []string) (*instance, error) {
	path = append(path, name)
	if in, ok := h.instances[name]; ok {
		if !in.provisioned {
			return nil, &DependencyCycleError{Path: path}
		}
		return in, nil
	}
	if !h.hasService(name) {
		requiredBy := ""
		if len(path) > 1 {
			requiredBy = path[len(path)-2]
		}
		return nil, &UnknownServiceError{Name: name, RequiredBy: requiredBy}
	}
	in := &instance{name: name, service: h.registry.factories[name]()}
	h.instances[name] = in
	if p, ok := in.service.(Provisioner); ok {
		if err := p.Provision(&Context{host: h, path: path}); err != nil {
			return nil, &PhaseError{Service: name, Phase: "provision", Err: err}
		}
	}
	in.provisioned = true
	h.order = append(h.order, in)
	return in, nil
}

func (h *Host) hasService(name string) bool {
	if _, ok := h.registry.factories[name]; !ok {
		return false
	}
	for _, n := range h.names {
		if n == name {
			return true
		}
	}
	return false
}

func (h *Host) cleanup() {
	for i := len(h.order) - 1; i >= 0; i-- {
		if c, ok := h.order[i].service.(Cleaner); ok {
			c.Cleanup()
		}
	}
	h.order = nil
}

// Context gives a service access to its host during Provision.
type Context struct {
	host *Host
	path []string
}

// Clock returns the clock of the process.
func (c *Context) Clock() Clock { return c.host.clock }

// Loop returns the control loop of the process.
func (c *Context) Loop() *Loop { return c.host.loop }

// Lookup returns the service with the name as a T. The calling service becomes a
// dependent of that service: it starts later and stops earlier. Lookup fails with
// UnknownServiceError, ServiceTypeError, DependencyCycleError or the error of
// provisioning the service.
func Lookup[T any](c *Context, name string) (T, error) {
	var zero T
	in, err := c.host.provision(name, c.path)
	if err != nil {
		return zero, err
	}
	return serviceAs[T](in)
}

// LookupOptional is like Lookup, but returns false without an error if the process
// does not run the service.
func LookupOptional[T any](c *Context, name string) (T, bool, error) {
	var zero T
	if !c.host.hasService(name) {
		return zero, false, nil
	}
	s, err := Lookup[T](c, name)
	return s, err == nil, err
}

// Find returns a service of a started host, UnknownServiceError or
// ServiceTypeError. It is for callers that are not services, such as tests.
func Find[T any](h *Host, name string) (T, error) {
	var zero T
	in, ok := h.instances[name]
	if !ok {
		return zero, &UnknownServiceError{Name: name}
	}
	return serviceAs[T](in)
}

// Value returns the value of type T from the options of the host, or
// MissingValueError.
func Value[T any](c *Context) (T, error) {
	var zero T
	v, ok := c.host.values[reflect.TypeFor[T]()]
	if !ok {
		return zero, &MissingValueError{Type: reflect.TypeFor[T]().String()}
	}
	return v.(T), nil
}

func serviceAs[T any](in *instance) (T, error) {
	s, ok := in.service.(T)
	if !ok {
		var zero T
		return zero, &ServiceTypeError{
			Name: in.name,
			Want: reflect.TypeFor[T]().String(),
			Got:  fmt.Sprintf("%T", in.service),
		}
	}
	return s, nil
}
