package tomltree

import (
	"fmt"
	"iter"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Default writes a value where the tree leaves the key out. An explicit zero
// stays and is checked like any other value.
func Default[T any](tree *Node, field *T, value T, path ...string) {
	if tree.Get(path...) == nil {
		*field = value
	}
}

// Checker collects problems of a decoded tree.
type Checker struct {
	Tree *Node
	Errs []*Error

	hints hints
}

// Suggest returns the end of a message that names the candidate closest to a
// value, or "" if there is none.
func (c *Checker) Suggest(value string, candidates iter.Seq[string]) string {
	return c.hints.suggest(value, candidates)
}

// Fail reports a problem at a key, or at the closest table that a file has.
func (c *Checker) Fail(kind Kind, message string, path ...string) {
	at := c.Tree
	for i := range path {
		if n := c.Tree.Get(path[:i+1]...); n != nil {
			at = n
		}
	}
	c.Errs = append(c.Errs, &Error{File: at.File, Line: at.Line, Key: Join(path), Kind: kind, Message: message})
}

// WholeBetween checks a whole number against inclusive bounds.
func (c *Checker) WholeBetween(v, low, high int, path ...string) {
	if v < low || v > high {
		c.Fail(OutOfRange, fmt.Sprintf("%d is not between %d and %d", v, low, high), path...)
	}
}

// NumberBetween checks a number against inclusive bounds and refuses NaN.
func (c *Checker) NumberBetween(v, low, high float64, path ...string) {
	if math.IsNaN(v) || v < low || v > high {
		c.Fail(OutOfRange, fmt.Sprintf("%v is not between %v and %v", v, low, high), path...)
	}
}

// DurationBetween checks a duration against inclusive bounds.
func (c *Checker) DurationBetween(v, low, high time.Duration, path ...string) {
	if v < low || v > high {
		c.Fail(OutOfRange, fmt.Sprintf("%s is not between %s and %s", v, low, high), path...)
	}
}

// Distinct reports items that a list holds more than once.
func (c *Checker) Distinct(list []string, path ...string) {
	seen := map[string]bool{}
	for _, item := range list {
		if seen[item] {
			c.Fail(DuplicateEntry, fmt.Sprintf("%q is listed twice", item), path...)
		}
		seen[item] = true
	}
}

// OneOf checks a value against a list and suggests a similar one.
func (c *Checker) OneOf(value string, allowed []string, path ...string) bool {
	if slices.Contains(allowed, value) {
		return true
	}
	message := fmt.Sprintf("%q is not one of %q", value, allowed)
	c.Fail(UnknownValue, message+c.Suggest(value, slices.Values(allowed)), path...)
	return false
}

// Required reports a key that no file sets.
func (c *Checker) Required(path ...string) bool {
	if c.Tree.Get(path...) != nil {
		return true
	}
	c.Fail(Missing, "the key is required", path...)
	return false
}

// Address checks the address of another process: an IP literal with a port.
// Host names are refused, since processes meet by IP address only.
func (c *Checker) Address(value string, path ...string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.Fail(BadAddress, fmt.Sprintf("%q is not an IP address and port, such as \"10.0.0.1:7000\"", value), path...)
	}
}

// ListenAddress checks an address to listen on. The unspecified address and
// port 0, with which the operating system chooses, are allowed.
func (c *Checker) ListenAddress(value string, path ...string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Fail(BadAddress, fmt.Sprintf("%q is not an IP address and port, such as \"0.0.0.0:8080\"", value), path...)
	}
}
