package tomltree

import (
	"fmt"
	"iter"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Default sets a field if its key is absent from the tree. An explicit zero is
// kept and checked like any other value.
func Default[T any](tree *Node, field *T, value T, path ...string) {
	if tree.Get(path...) == nil {
		*field = value
	}
}

// Checker checks the values of a decoded tree and collects the errors.
type Checker struct {
	Tree *Node
	Errs []*Error

	suggester suggester
}

// Suggest returns a message suffix that suggests the candidate most similar to
// a value, or "" if none is similar.
func (c *Checker) Suggest(value string, candidates iter.Seq[string]) string {
	return c.suggester.suggest(value, candidates)
}

// Fail records an error for a key. Its position is that of the key or, if the
// key is absent, of the innermost table on its path that a file defines.
func (c *Checker) Fail(kind Kind, message string, path ...string) {
	node := c.Tree
	for i := range path {
		if n := c.Tree.Get(path[:i+1]...); n != nil {
			node = n
		}
	}
	c.Errs = append(c.Errs, &Error{File: node.File, Line: node.Line, Key: Join(path), Kind: kind, Message: message})
}

// IntegerBetween checks an integer against inclusive bounds.
func (c *Checker) IntegerBetween(v, low, high int, path ...string) {
	if v < low || v > high {
		c.Fail(OutOfRange, fmt.Sprintf("%d is not between %d and %d", v, low, high), path...)
	}
}

// NumberBetween checks a number against inclusive bounds and rejects NaN.
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

// Distinct records an error for each repeated item of a list.
func (c *Checker) Distinct(list []string, path ...string) {
	seen := map[string]bool{}
	for _, item := range list {
		if seen[item] {
			c.Fail(DuplicateEntry, fmt.Sprintf("%q is listed twice", item), path...)
		}
		seen[item] = true
	}
}

// OneOf reports whether a value is in a list. If not, it records an error that
// suggests a similar item.
func (c *Checker) OneOf(value string, allowed []string, path ...string) bool {
	if slices.Contains(allowed, value) {
		return true
	}
	message := fmt.Sprintf("%q is not one of %q", value, allowed)
	c.Fail(UnknownValue, message+c.Suggest(value, slices.Values(allowed)), path...)
	return false
}

// Required reports whether a file sets the key. If not, it records an error.
func (c *Checker) Required(path ...string) bool {
	if c.Tree.Get(path...) != nil {
		return true
	}
	c.Fail(Missing, "the key is required", path...)
	return false
}

// Address checks the address of another process: an IP literal with a port.
// Host names are rejected, since processes connect to IP addresses only.
func (c *Checker) Address(value string, path ...string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.Fail(BadAddress, fmt.Sprintf("%q is not an IP address and port, such as \"10.0.0.1:7000\"", value), path...)
	}
}

// ListenAddress checks an address to listen on. The unspecified address is
// allowed, and so is port 0, which lets the operating system choose.
func (c *Checker) ListenAddress(value string, path ...string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Fail(BadAddress, fmt.Sprintf("%q is not an IP address and port, such as \"0.0.0.0:8080\"", value), path...)
	}
}
