package configcheck

import (
	"fmt"
	"maps"
	"math"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// tolerance covers rounding errors of sums of shares.
const tolerance = 1e-9

// capacity checks the limits of members, routes and upstreams against what serves them. All
// its findings are warnings.
func (c *checker) capacity() {
	if c.errorsOnly {
		return
	}
	c.engines()
	for i := range c.model.Upstreams {
		if u := &c.model.Upstreams[i]; u.MaxTokens > 0 && u.MaxTokens < u.MaxRequests {
			c.add(Warning, Unreachable, &u.Entry, FieldMaxRequests,
				"a request takes at least one token, so that max_tokens, %d, is reached before %d requests", u.MaxTokens, u.MaxRequests)
		}
	}
	sets := c.allowedSets()
	for i := range c.model.Members {
		c.ledgerPart(&c.model.Members[i], sets[i])
	}
	c.shares(sets)
}

// engines checks the times that routes state against those that an engine takes for one
// request alone.
func (c *checker) engines() {
	engines := map[string]*Engine{}
	for _, s := range c.model.Services {
		engines[s.Name] = s.Engine
	}
	for i := range c.model.Routes {
		r := &c.model.Routes[i]
		for _, s := range r.Splits {
			e := engines[s.Service]
			if e == nil || e.Pass <= 0 || s.Weight <= 0 {
				continue
			}
			if r.Kind == api.RequestStream {
				c.shorter(r, FieldMaxPause, r.MaxPause, s.Service, "a pass", e.Pass)
				c.shorter(r, FieldTargetLatency, r.TargetLatency, s.Service, "the first event", e.FirstEvent)
			}
			c.shorter(r, FieldTimeout, r.Timeout, s.Service, "the usual answer", e.Answer)
		}
	}
}

func (c *checker) shorter(r *Route, field string, limit time.Duration, service, what string, takes time.Duration) {
	if limit > 0 && limit < takes {
		c.add(Warning, Unreachable, &r.Entry, field, "%s is shorter than %s of service %q, which takes %s with one request on a rank",
			limit, what, service, takes.Round(time.Millisecond))
	}
}

// ledgerPart checks the limits of a member against its part of the ledgers, in which the
// outcomes of its non-idempotent requests are kept.
func (c *checker) ledgerPart(m *Member, allowed upstreamSet) {
	l := &c.model.Limits
	if l.MemberEntries <= 0 {
		return
	}
	if m.QueueRequests > l.MemberEntries {
		c.add(Warning, ExceedsCapacity, &m.Entry, FieldQueueRequests,
			"%d non-idempotent requests cannot wait: the ledger of an agent has %d entries for one member", m.QueueRequests, l.MemberEntries)
	}
	upstreams := allowed.count()
	entries := m.RequestsPerSecond * l.Retention.Seconds()
	if upstreams > 0 && entries > float64(upstreams*l.MemberEntries) {
		c.add(Warning, ExceedsCapacity, &m.Entry, FieldRequestsPerSecond,
			"%v non-idempotent requests/s from one router leave %.0f outcomes in %s, but the ledgers of the %d upstreams have %d entries for one member",
			m.RequestsPerSecond, entries, l.Retention, upstreams, upstreams*l.MemberEntries)
	}
}

// upstreamSet is a bit set of indices of Model.Upstreams.
type upstreamSet []uint64

const wordBits = 64

func (s upstreamSet) has(i int) bool { return s[i/wordBits]>>(i%wordBits)&1 == 1 }
func (s upstreamSet) add(i int)      { s[i/wordBits] |= 1 << (i % wordBits) }

func (s upstreamSet) count() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

func (s upstreamSet) intersect(other upstreamSet) upstreamSet {
	out := make(upstreamSet, len(s))
	for i := range s {
		out[i] = s[i] & other[i]
	}
	return out
}

func (s upstreamSet) within(other upstreamSet) bool {
	for i := range s {
		if s[i]&^other[i] != 0 {
			return false
		}
	}
	return true
}

func (c *checker) newSet() upstreamSet {
	return make(upstreamSet, (len(c.model.Upstreams)+wordBits-1)/wordBits)
}

// allowedSets returns for each member the upstreams in service that it may use. Members with
// the same restrictions have the same set.
func (c *checker) allowedSets() []upstreamSet {
	known := map[string]upstreamSet{}
	all := make([]upstreamSet, len(c.model.Members))
	for i := range c.model.Members {
		m := &c.model.Members[i]
		key := strings.Join(m.Zones, " ") + "\n" + strings.Join(m.Upstreams, " ")
		if known[key] == nil {
			known[key] = c.allowedSet(m)
		}
		all[i] = known[key]
	}
	return all
}

func (c *checker) allowedSet(m *Member) upstreamSet {
	s := c.newSet()
	zones, upstreams := setOf(m.Zones), setOf(m.Upstreams)
	for i, u := range c.model.Upstreams {
		if c.takesRequests(u.Name) && (len(zones) == 0 || zones[u.Zone]) && (len(upstreams) == 0 || upstreams[u.Name]) {
			s.add(i)
		}
	}
	return s
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

// shares checks that the members that may use a part of the upstreams of a service only do
// not have more of the shares than these upstreams have of the places. It compares each set of
// upstreams to which a member is restricted, but not unions of overlapping ones.
func (c *checker) shares(allowed []upstreamSet) {
	services := map[string]upstreamSet{}
	for i, u := range c.model.Upstreams {
		for _, name := range append(u.Models[:len(u.Models):len(u.Models)], u.Service) {
			if name == "" || !c.takesRequests(u.Name) {
				continue
			}
			if services[name] == nil {
				services[name] = c.newSet()
			}
			services[name].add(i)
		}
	}
	// Members with the same restrictions share a slice, whose first word identifies it.
	byRestriction := map[*uint64]*restricted{}
	var all []*restricted
	for i := range c.model.Members {
		if len(allowed[i]) == 0 {
			continue
		}
		id := &allowed[i][0]
		if byRestriction[id] == nil {
			byRestriction[id] = &restricted{first: i, set: allowed[i]}
			all = append(all, byRestriction[id])
		}
		byRestriction[id].share += c.model.Members[i].Share
	}
	// Models on the same upstreams would give the same findings.
	compared := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if key := fmt.Sprint(services[name]); !compared[key] {
			compared[key] = true
			c.serviceShares(name, services[name], all)
		}
	}
}

// restricted is the members that may use the same upstreams, or the same upstreams of a
// service.
type restricted struct {
	// first is the index of the first of them.
	first int
	set   upstreamSet
	share float64
}

func (c *checker) serviceShares(service string, hosts upstreamSet, all []*restricted) {
	bySet := map[string]int{}
	var groups []restricted
	total := 0.0
	for _, r := range all {
		set := r.set.intersect(hosts)
		if set.count() == 0 {
			continue
		}
		total += r.share
		key := fmt.Sprint(set)
		if i, ok := bySet[key]; ok {
			groups[i].share += r.share
			continue
		}
		bySet[key] = len(groups)
		groups = append(groups, restricted{r.first, set, r.share})
	}
	places := float64(c.places(hosts))
	for _, r := range groups {
		share := 0.0
		for _, other := range groups {
			if other.set.within(r.set) {
				share += other.share
			}
		}
		part, available := share/total, float64(c.places(r.set))/places
		if part > available+tolerance {
			c.add(Warning, ExceedsShare, &c.model.Members[r.first].Entry, FieldShare,
				"the members restricted to the same %d of the %d upstreams of %q, or to fewer of them, have %.0f%% of the shares, but these upstreams have %.0f%% of the places",
				r.set.count(), hosts.count(), service, math.Ceil(part*100), math.Floor(available*100))
		}
	}
}

// places returns the number of requests that upstreams run at the same time.
func (c *checker) places(s upstreamSet) int {
	n := 0
	for i, u := range c.model.Upstreams {
		if s.has(i) {
			n += u.MaxRequests
		}
	}
	return n
}
