// Package idempotency decides whether a request is idempotent, that is, whether
// it may be repeated.
package idempotency

import (
	"strings"

	"github.com/mulberryfork/mulberryfork/api"
)

// Mark states whether a caller marked its request as idempotent.
type Mark int

// Values of Mark.
const (
	Unmarked Mark = iota
	MarkedIdempotent
	MarkedNonIdempotent
)

// ForCall reports whether a call to a plain service is idempotent. A caller may mark
// any call as non-idempotent, but it cannot mark a call as idempotent that the
// configuration lists as non-idempotent.
func ForCall(service api.PlainService, method, path string, mark Mark) bool {
	if mark == MarkedNonIdempotent || matchesAny(service.NonIdempotent, method, path) {
		return false
	}
	if mark == MarkedIdempotent || matchesAny(service.Idempotent, method, path) {
		return true
	}
	return ForMethod(method)
}

// ForModel reports whether a completion request to a model is idempotent.
func ForModel(model api.Model, mark Mark) bool {
	switch mark {
	case MarkedIdempotent:
		return true
	case MarkedNonIdempotent:
		return false
	}
	return model.Idempotent
}

// ForMethod reports whether a method is idempotent by RFC 9110, section 9.2.2.
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

// matches reports whether a call matches a pattern "METHOD /path". The method may
// be "*", and the path may end in "*".
func matches(pattern, method, path string) bool {
	wantMethod, wantPath, ok := strings.Cut(pattern, " ")
	if !ok || wantMethod != method && wantMethod != "*" {
		return false
	}
	if prefix, wildcard := strings.CutSuffix(wantPath, "*"); wildcard {
		return strings.HasPrefix(path, prefix)
	}
	return path == wantPath
}
