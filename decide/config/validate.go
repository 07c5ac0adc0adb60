package config

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// Limits of values. They keep sums and products of values within 64 bits.
const (
	minDuration          = time.Millisecond
	maxRetention         = 24 * time.Hour
	maxTimeout           = time.Hour
	maxLedgerEntries     = 10_000_000
	maxAnswerBytes       = 16 << 20
	maxMBps              = 1_000_000.0
	minShare             = 0.001
	maxShare             = 1_000_000.0
	maxQueueRequests     = 100_000
	maxRequestsPerSecond = 1_000_000.0
	maxRequests          = 100_000
	maxTokens            = 1_000_000_000
	minColdGain          = 0.01
	maxColdGain          = 100.0
	maxMemoryMB          = 16 << 20
	maxContextTokens     = 100_000_000
	maxUpstreams         = 100_000
	maxRanks             = 4096
	maxExperts           = 4096
	maxLayers            = 1024
	maxExpertMB          = 1_000_000.0
	tokenHashDigits      = 64
)

func validate(config *api.Config, tree *tomltree.Node) []*Error {
	c := newChecker(config, tree)
	c.pool()
	for _, n := range sortedNames(config.Zones) {
		c.zone(n)
	}
	c.members()
	c.upstreams()
	for _, n := range sortedNames(config.Services) {
		c.service(n)
	}
	for _, n := range sortedNames(config.Models) {
		c.model(n)
	}
	c.groups()
	for _, n := range sortedNames(config.Objectives) {
		c.objective(n)
	}
	return c.Errs
}

func (c *checker) pool() {
	p := c.config.Pool
	c.NumberBetween(p.RetryRatio, 0, 1, "pool", "retry_ratio")
	c.DurationBetween(time.Duration(p.OutcomeRetention), time.Second, maxRetention, "pool", "outcome_retention")
	c.IntegerBetween(p.LedgerEntries, 1, maxLedgerEntries, "pool", "ledger_entries")
	c.IntegerBetween(p.LedgerAnswerBytes, 0, maxAnswerBytes, "pool", "ledger_answer_bytes")
	c.NumberBetween(p.WeightStoreMBps, 0.001, maxMBps, "pool", "weight_store_mbps")
}

func (c *checker) zone(n string) {
	z := c.config.Zones[n]
	c.name(n, "zones", n)
	c.name(z.Region, "zones", n, "region")
	c.OneOf(string(z.State), []string{string(api.ZoneIn), string(api.ZoneOut), string(api.ZoneLeaving)}, "zones", n, "state")
}

func (c *checker) members() {
	owners := map[string]string{}
	for _, n := range sortedNames(c.config.Members) {
		m := c.config.Members[n]
		c.name(n, "members", n)
		c.NumberBetween(m.Share, minShare, maxShare, "members", n, "share")
		c.IntegerBetween(m.QueueRequests, 1, maxQueueRequests, "members", n, "queue_requests")
		c.NumberBetween(m.RequestsPerSecond, 0, maxRequestsPerSecond, "members", n, "requests_per_second")
		c.tokenHashes(n, m.TokenHashes, owners)
		c.memberRestrictions(n, m)
	}
}

var tokenHashPattern = regexp.MustCompile(fmt.Sprintf(`^[0-9a-f]{%d}$`, tokenHashDigits))

func (c *checker) tokenHashes(member string, hashes []string, owners map[string]string) {
	for i, h := range hashes {
		if !tokenHashPattern.MatchString(h) {
			c.Fail(BadTokenHash, fmt.Sprintf("item %d is not a SHA-256 hash of %d lower-case hex digits", i+1, tokenHashDigits),
				"members", member, "token_hashes")
			continue
		}
		if owner, ok := owners[h]; ok {
			c.Fail(DuplicateTokenHash, fmt.Sprintf("item %d is already used by member %q", i+1, owner),
				"members", member, "token_hashes")
		}
		owners[h] = member
	}
}

// memberRestrictions checks the zones and upstreams that a member is restricted
// to.
func (c *checker) memberRestrictions(n string, m api.Member) {
	c.Distinct(m.Zones, "members", n, "zones")
	c.Distinct(m.Upstreams, "members", n, "upstreams")
	valid := true
	for _, z := range m.Zones {
		valid = reference(c, c.config.Zones, z, UnknownZone, "members", n, "zones") && valid
	}
	for _, u := range m.Upstreams {
		valid = reference(c, c.config.Upstreams, u, UnknownUpstream, "members", n, "upstreams") && valid
	}
	if !valid || len(m.Zones) == 0 || len(m.Upstreams) == 0 {
		return
	}
	inZones := func(u string) bool { return slices.Contains(m.Zones, c.config.Upstreams[u].Zone) }
	if !slices.ContainsFunc(m.Upstreams, inZones) {
		c.Fail(NoAllowedUpstream, "none of the member's upstreams is in one of its zones", "members", n, "upstreams")
	}
}

func (c *checker) service(n string) {
	p := c.config.Services[n]
	c.name(n, "services", n)
	c.routes(n, "idempotent", p.Idempotent)
	c.routes(n, "non_idempotent", p.NonIdempotent)
	idempotent := map[string]bool{}
	for _, r := range p.Idempotent {
		idempotent[r] = true
	}
	for _, r := range p.NonIdempotent {
		if idempotent[r] {
			c.Fail(RouteConflict, fmt.Sprintf("%q is also listed as idempotent", r), "services", n, "non_idempotent")
		}
	}
	c.DurationBetween(time.Duration(p.Timeout), minDuration, maxTimeout, "services", n, "timeout")
	c.DurationBetween(time.Duration(p.ResendWindow), 0, maxRetention, "services", n, "resend_window")
	if p.ResendWindow > c.config.Pool.OutcomeRetention {
		c.Fail(ExceedsRetention, fmt.Sprintf("%s is longer than pool.outcome_retention (%s): an agent would drop the outcome of a request that callers can still resend",
			time.Duration(p.ResendWindow), time.Duration(c.config.Pool.OutcomeRetention)), "services", n, "resend_window")
	}
}

var routePattern = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS|\*) /[^\s?#*]*\*?$`)

func (c *checker) routes(service, key string, list []string) {
	c.Distinct(list, "services", service, key)
	for _, r := range list {
		if !routePattern.MatchString(r) {
			c.Fail(BadRoute, fmt.Sprintf("%q is not \"METHOD /path\" with at most one * at the end", r), "services", service, key)
		}
	}
}

func (c *checker) objective(n string) {
	o := c.config.Objectives[n]
	c.name(n, "objectives", n)
	if c.Required("objectives", n, "target") && !(o.Target > 0 && o.Target < 1) {
		c.Fail(tomltree.OutOfRange, fmt.Sprintf("%v is not between 0 and 1 (exclusive)", o.Target), "objectives", n, "target")
	}
	if o.Member != "" {
		reference(c, c.config.Members, o.Member, UnknownMember, "objectives", n, "member")
	}
	if o.Model != "" {
		reference(c, c.config.Models, o.Model, UnknownModel, "objectives", n, "model")
	}
	if o.Service != "" {
		reference(c, c.config.Services, o.Service, UnknownService, "objectives", n, "service")
	}
	if o.Model != "" && o.Service != "" {
		c.Fail(tomltree.NotApplicable, "an objective cannot have both a model and a service", "objectives", n, "service")
	}
	c.objectiveKind(n, o)
}

func (c *checker) objectiveKind(n string, o api.Objective) {
	kinds := []string{
		string(api.ObjectiveAvailability), string(api.ObjectiveFirstToken),
		string(api.ObjectiveTokenGap), string(api.ObjectiveAnswered),
	}
	if !c.Required("objectives", n, "kind") || !c.OneOf(string(o.Kind), kinds, "objectives", n, "kind") {
		return
	}
	hasThreshold := o.Kind == api.ObjectiveFirstToken || o.Kind == api.ObjectiveTokenGap
	switch {
	case hasThreshold && c.Required("objectives", n, "threshold"):
		c.DurationBetween(time.Duration(o.Threshold), minDuration, maxTimeout, "objectives", n, "threshold")
	case !hasThreshold && o.Threshold != 0:
		c.Fail(tomltree.NotApplicable, "only first_token and token_gap objectives have a threshold", "objectives", n, "threshold")
	}
	if hasThreshold && o.Service != "" {
		c.Fail(tomltree.NotApplicable, fmt.Sprintf("%s objectives apply only to models", o.Kind), "objectives", n, "service")
	}
}
