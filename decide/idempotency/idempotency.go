// Package idempotency decides whether a call may be repeated.
package idempotency

import (
	"strings"

	"github.com/mulberryfork/mulberryfork/api"
)

// Mark is what a caller says of its own request.
type Mark int

// Marks of a caller.
const (
	Unmarked Mark = iota
	MarkedIdempotent
	MarkedNonIdempotent
)

// Of decides for a call to a plain service. A caller may always mark a call as
// not repeatable, but not the reverse where the configuration forbids it.
func Of(service api.Plain, method, path string, mark Mark) bool {
	if mark == MarkedNonIdempotent || matchesAny(service.NonIdempotent, method, path) {
		return false
	}
	if mark == MarkedIdempotent || matchesAny(service.Idempotent, method, path) {
		return true
	}
	return ForMethod(method)
}

// OfModel decides for a completion of a model.
func OfModel(model api.Model, mark Mark) bool {
	switch mark {
	case MarkedIdempotent:
		return true
	case MarkedNonIdempotent:
		return false
	}
	return model.Idempotent
}

// ForMethod follows RFC 9110, section 9.2.2.
func ForMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}

func matchesAny(patterns []string, method, path string) bool {
	for _, p := range patterns {
		if matches(p, method, path) {
			return true
		}
	}
	return false
}

// matches compares a call with "METHOD /path", where the path may end in "*".
func matches(pattern, method, path string) bool {
	want, rest, ok := strings.Cut(pattern, " ")
	if !ok || want != method && want != "*" {
		return false
	}
	if prefix, open := strings.CutSuffix(rest, "*"); open {
		return strings.HasPrefix(path, prefix)
	}
	return path == rest
}
