package kernel

import (
	"regexp"
	"slices"
)

// Factory creates a service that is not provisioned yet.
type Factory func() any

var serviceName = regexp.MustCompile(`^[a-z][a-z0-9]*(\.[a-z][a-z0-9]*)*$`)

// Registry maps dotted names to service factories. All factories must be
// registered before a host is built from it. Registration is not safe for
// concurrent use.
type Registry struct {
	factories map[string]Factory
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{factories: make(map[string]Factory)}
}

// Register adds a factory under a new name. It returns InvalidNameError or
// DuplicateServiceError if the name cannot be used.
func (r *Registry) Register(name string, f Factory) error {
	if !serviceName.MatchString(name) {
		return &InvalidNameError{Name: name}
	}
	if _, ok := r.factories[name]; ok {
		return &DuplicateServiceError{Name: name}
	}
	r.factories[name] = f
	return nil
}

// Replace registers a factory under a name that may already be in use, so that an
// embedding program can replace a service.
func (r *Registry) Replace(name string, f Factory) error {
	if !serviceName.MatchString(name) {
		return &InvalidNameError{Name: name}
	}
	r.factories[name] = f
	return nil
}

// Names returns the registered names in lexical order.
func (r *Registry) Names() []string {
	names := make([]string, 0, len(r.factories))
	for name := range r.factories {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
