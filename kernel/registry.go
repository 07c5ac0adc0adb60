package kernel

import (
	"regexp"
	"slices"
)

// Factory makes a new, unprovisioned service.
type Factory func() any

var serviceName = regexp.MustCompile(`^[a-z][a-z0-9]*(\.[a-z][a-z0-9]*)*$`)

// Registry maps dotted names to service factories. It is filled before a host
// is built from it and is not safe for concurrent registration.
type Registry struct {
	factories map[string]Factory
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{factories: make(map[string]Factory)}
}

// Register adds a factory under a new name.
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

// Replace puts a factory under a name that may be in use, which is how an
// embedder swaps one service for its own.
func (r *Registry) Replace(name string, f Factory) error {
	if !serviceName.MatchString(name) {
		return &InvalidNameError{Name: name}
	}
	r.factories[name] = f
	return nil
}

// Names returns the registered names in order.
func (r *Registry) Names() []string {
	names := make([]string, 0, len(r.factories))
	for name := range r.factories {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
