package config

import (
	"fmt"
	"math"
	"regexp"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// Kinds of problem that need the meaning of a key.
const (
	BadName            tomltree.Kind = "bad_name"
	UnknownZone        tomltree.Kind = "unknown_zone"
	UnknownModel       tomltree.Kind = "unknown_model"
	UnknownAdapter     tomltree.Kind = "unknown_adapter"
	UnknownUpstream    tomltree.Kind = "unknown_upstream"
	UnknownService     tomltree.Kind = "unknown_service"
	UnknownMember      tomltree.Kind = "unknown_member"
	BadTokenHash       tomltree.Kind = "bad_token_hash"
	DuplicateTokenHash tomltree.Kind = "duplicate_token_hash"
	DuplicateEntry     tomltree.Kind = "duplicate_entry"
	DuplicateAddress   tomltree.Kind = "duplicate_address"
	BadRoute           tomltree.Kind = "bad_route"
	RouteConflict      tomltree.Kind = "route_conflict"
	WrongKind          tomltree.Kind = "wrong_kind"
	NotServed          tomltree.Kind = "not_served"
	TooFewUpstreams    tomltree.Kind = "too_few_upstreams"
	UnevenRanks        tomltree.Kind = "uneven_ranks"
	TooFewSlots        tomltree.Kind = "too_few_slots"
	MemoryExceeded     tomltree.Kind = "memory_exceeded"
	UpstreamShared     tomltree.Kind = "upstream_in_two_groups"
	ExceedsRetention   tomltree.Kind = "exceeds_retention"
	ExceedsLimit       tomltree.Kind = "exceeds_limit"
	NoAllowedUpstream  tomltree.Kind = "no_allowed_upstream"
)

// checker collects problems of a decoded configuration. A key whose value
// could not be decoded holds its default or zero and may be reported twice:
// once for its type and once for the value.
type checker struct {
	config *api.Config
	tree   *tomltree.Node
	errs   []*Error
}

// fail reports a problem at a key, or at the closest table that a file has.
func (c *checker) fail(kind tomltree.Kind, message string, path ...string) {
	at := c.tree
	for i := range path {
		if n := c.tree.Get(path[:i+1]...); n != nil {
			at = n
		}
	}
	c.errs = append(c.errs, &Error{
		File: at.File, Line: at.Line, Key: tomltree.Join(path), Kind: kind, Message: message,
	})
}

func (c *checker) wholeBetween(v, low, high int, path ...string) {
	if v < low || v > high {
		c.fail(tomltree.OutOfRange, fmt.Sprintf("%d is not between %d and %d", v, low, high), path...)
	}
}

func (c *checker) numberBetween(v, low, high float64, path ...string) {
	if math.IsNaN(v) || v < low || v > high {
		c.fail(tomltree.OutOfRange, fmt.Sprintf("%v is not between %v and %v", v, low, high), path...)
	}
}

func (c *checker) durationBetween(v, low, high api.Duration, path ...string) {
	if v < low || v > high {
		c.fail(tomltree.OutOfRange, fmt.Sprintf("%s is not between %s and %s", text(v), text(low), text(high)), path...)
	}
}

func text(d api.Duration) string {
	b, _ := d.MarshalText()
	return string(b)
}

var name = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// name checks the name of an entry. A model may carry upper case, dots, colons
// and slashes, which OpenAI-compatible callers use.
func (c *checker) name(value string, path ...string) {
	if !name.MatchString(value) {
		c.fail(BadName, "a name has 1 to 63 of a-z, 0-9, _ and -, and starts with a letter or digit", path...)
	}
}

var modelName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,126}$`)

func (c *checker) modelName(value string, path ...string) {
	if !modelName.MatchString(value) {
		c.fail(BadName, "a model, adapter or version has 1 to 127 of A-Z, a-z, 0-9, _ . : / and -", path...)
	}
}

func (c *checker) distinct(list []string, path ...string) {
	seen := map[string]bool{}
	for _, item := range list {
		if seen[item] {
			c.fail(DuplicateEntry, fmt.Sprintf("%q is listed twice", item), path...)
		}
		seen[item] = true
	}
}

// reference checks a name against a table and suggests a similar one.
func reference[T any](c *checker, table map[string]T, value string, kind tomltree.Kind, path ...string) bool {
	if _, ok := table[value]; ok {
		return true
	}
	message := fmt.Sprintf("%q is not defined", value)
	if near := tomltree.Nearest(value, sortedNames(table)); near != "" {
		message += fmt.Sprintf("; did you mean %q?", near)
	}
	c.fail(kind, message, path...)
	return false
}

func (c *checker) oneOf(value string, allowed []string, path ...string) bool {
	for _, a := range allowed {
		if a == value {
			return true
		}
	}
	message := fmt.Sprintf("%q is not one of %q", value, allowed)
	if near := tomltree.Nearest(value, allowed); near != "" {
		message += fmt.Sprintf("; did you mean %q?", near)
	}
	c.fail(tomltree.UnknownValue, message, path...)
	return false
}

// required reports a key that no file sets.
func (c *checker) required(path ...string) bool {
	if c.tree.Get(path...) != nil {
		return true
	}
	c.fail(tomltree.Missing, "the key is required", path...)
	return false
}
