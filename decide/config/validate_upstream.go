package config

import (
	"fmt"
	"slices"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

func (c *checker) upstreams() {
	agents := map[string]string{}
	for _, n := range sortedNames(c.config.Upstreams) {
		u := c.config.Upstreams[n]
		c.name(n, "upstreams", n)
		c.upstreamLocation(n, u, agents)
		c.upstreamLimits(n, u)
		c.upstreamKind(n, u)
	}
}

func (c *checker) upstreamLocation(n string, u api.Upstream, agents map[string]string) {
	if c.Required("upstreams", n, "zone") {
		reference(c, c.config.Zones, u.Zone, UnknownZone, "upstreams", n, "zone")
	}
	if c.Tree.Get("upstreams", n, "vm") != nil {
		c.name(u.VM, "upstreams", n, "vm")
	}
	if !c.Required("upstreams", n, "agent") {
		return
	}
	c.Address(u.Agent, "upstreams", n, "agent")
	if other, ok := agents[u.Agent]; ok {
		c.Fail(DuplicateAddress, fmt.Sprintf("%q is already the agent address of upstream %q", u.Agent, other), "upstreams", n, "agent")
	}
	agents[u.Agent] = n
}

func (c *checker) upstreamLimits(n string, u api.Upstream) {
	c.IntegerBetween(u.MaxRequests, 1, maxRequests, "upstreams", n, "max_requests")
	c.IntegerBetween(u.MaxTokens, 1, maxTokens, "upstreams", n, "max_tokens")
	c.IntegerBetween(u.ColdRequests, 1, maxRequests, "upstreams", n, "cold_requests")
	c.NumberBetween(u.ColdGain, minColdGain, maxColdGain, "upstreams", n, "cold_gain")
	c.IntegerBetween(u.MemoryMB, 0, maxMemoryMB, "upstreams", n, "memory_mb")
	if u.ColdRequests > u.MaxRequests {
		c.Fail(ExceedsLimit, fmt.Sprintf("%d is more than max_requests (%d)", u.ColdRequests, u.MaxRequests),
			"upstreams", n, "cold_requests")
	}
}

func (c *checker) upstreamKind(n string, u api.Upstream) {
	kinds := []string{string(api.UpstreamModel), string(api.UpstreamPlain)}
	if !c.Required("upstreams", n, "kind") || !c.OneOf(string(u.Kind), kinds, "upstreams", n, "kind") {
		return
	}
	if u.Kind == api.UpstreamPlain {
		c.plainUpstream(n, u)
		return
	}
	c.modelUpstream(n, u)
}

func (c *checker) plainUpstream(n string, u api.Upstream) {
	if c.Required("upstreams", n, "service") {
		reference(c, c.config.Services, u.Service, UnknownService, "upstreams", n, "service")
	}
	for _, key := range []string{"models", "adapters", "memory_mb"} {
		if c.Tree.Get("upstreams", n, key) != nil {
			c.Fail(WrongKind, "a plain upstream cannot have "+key, "upstreams", n, key)
		}
	}
}

func (c *checker) modelUpstream(n string, u api.Upstream) {
	if u.Service != "" {
		c.Fail(WrongKind, "a model upstream cannot have a service", "upstreams", n, "service")
	}
	c.Distinct(u.Models, "upstreams", n, "models")
	c.Distinct(u.Adapters, "upstreams", n, "adapters")
	if c.Required("upstreams", n, "models") && len(u.Models) == 0 {
		c.Fail(tomltree.OutOfRange, "a model upstream must list at least one model", "upstreams", n, "models")
	}
	adapters := map[string]bool{}
	for _, m := range u.Models {
		if !reference(c, c.config.Models, m, UnknownModel, "upstreams", n, "models") {
			continue
		}
		model := c.config.Models[m]
		for _, a := range model.Adapters {
			adapters[a] = true
		}
		if model.SizeMB > u.MemoryMB && !c.partialModels[partialModel{n, m}] {
			c.Fail(MemoryExceeded, fmt.Sprintf("model %q needs %d MB, but memory_mb is %d", m, model.SizeMB, u.MemoryMB),
				"upstreams", n, "models")
		}
	}
	for _, a := range u.Adapters {
		reference(c, adapters, a, UnknownAdapter, "upstreams", n, "adapters")
	}
}

func (c *checker) model(n string) {
	m := c.config.Models[n]
	c.modelName(n, "models", n)
	c.modelName(m.Version, "models", n, "version")
	c.Distinct(m.Adapters, "models", n, "adapters")
	for _, a := range m.Adapters {
		c.modelName(a, "models", n, "adapters")
	}
	c.IntegerBetween(m.SizeMB, 0, maxMemoryMB, "models", n, "size_mb")
	c.IntegerBetween(m.ContextTokens, 1, maxContextTokens, "models", n, "context_tokens")
	c.IntegerBetween(m.MaxOutputTokens, 1, maxContextTokens, "models", n, "max_output_tokens")
	c.IntegerBetween(m.MinUpstreams, 0, maxUpstreams, "models", n, "min_upstreams")
	if m.MaxOutputTokens > m.ContextTokens {
		c.Fail(ExceedsLimit, fmt.Sprintf("%d is more than context_tokens (%d)", m.MaxOutputTokens, m.ContextTokens),
			"models", n, "max_output_tokens")
	}
	if listed := c.upstreamsPerModel[n]; listed < m.MinUpstreams {
		c.Fail(TooFewUpstreams, fmt.Sprintf("%d upstreams list the model, but min_upstreams is %d", listed, m.MinUpstreams),
			"models", n, "min_upstreams")
	}
}

func (c *checker) groups() {
	owners := map[string]string{}
	for _, n := range sortedNames(c.config.Groups) {
		g := c.config.Groups[n]
		c.name(n, "groups", n)
		c.groupSizes(n, g)
		c.groupUpstreams(n, g, owners)
	}
}

func (c *checker) groupSizes(n string, g api.Group) {
	bounds := []struct {
		key        string
		value, max int
	}{{"ranks", g.Ranks, maxRanks}, {"experts", g.Experts, maxExperts}, {"layers", g.Layers, maxLayers}}
	for _, b := range bounds {
		if c.Required("groups", n, b.key) {
			c.IntegerBetween(b.value, 1, b.max, "groups", n, b.key)
		}
	}
	c.NumberBetween(g.ExpertMB, 0, maxExpertMB, "groups", n, "expert_mb")
	if g.Ranks < 1 || g.Experts < 1 {
		return
	}
	c.IntegerBetween(g.SlotsPerRank, 1, maxExperts, "groups", n, "slots_per_rank")
	if g.SlotsPerRank >= 1 && g.SlotsPerRank < (g.Experts-1)/g.Ranks+1 {
		c.Fail(TooFewSlots, fmt.Sprintf("%d ranks with %d slots each cannot hold %d experts", g.Ranks, g.SlotsPerRank, g.Experts),
			"groups", n, "slots_per_rank")
	}
}

func (c *checker) groupUpstreams(n string, g api.Group, owners map[string]string) {
	if c.Required("groups", n, "model") {
		reference(c, c.config.Models, g.Model, UnknownModel, "groups", n, "model")
	}
	if !c.Required("groups", n, "upstreams") {
		return
	}
	c.Distinct(g.Upstreams, "groups", n, "upstreams")
	if len(g.Upstreams) == 0 || g.Ranks%len(g.Upstreams) != 0 {
		c.Fail(UnevenRanks, fmt.Sprintf("%d ranks cannot be split evenly over %d upstreams", g.Ranks, len(g.Upstreams)),
			"groups", n, "upstreams")
	}
	for _, u := range g.Upstreams {
		if !reference(c, c.config.Upstreams, u, UnknownUpstream, "groups", n, "upstreams") {
			continue
		}
		c.groupUpstream(n, g, u)
		if other, ok := owners[u]; ok && other != n {
			c.Fail(UpstreamShared, fmt.Sprintf("%q is already used by group %q", u, other), "groups", n, "upstreams")
		}
		owners[u] = n
	}
}

func (c *checker) groupUpstream(n string, g api.Group, upstream string) {
	u := c.config.Upstreams[upstream]
	if u.Kind != api.UpstreamModel {
		c.Fail(WrongKind, fmt.Sprintf("%q is not a model upstream", upstream), "groups", n, "upstreams")
		return
	}
	if !slices.Contains(u.Models, g.Model) {
		c.Fail(NotServed, fmt.Sprintf("%q does not list model %q", upstream, g.Model), "groups", n, "upstreams")
	}
	ranksPerUpstream := float64(g.Ranks) / float64(len(g.Upstreams))
	need := ranksPerUpstream * float64(g.SlotsPerRank) * float64(g.Layers) * g.ExpertMB
	if need > float64(u.MemoryMB) {
		c.Fail(MemoryExceeded, fmt.Sprintf("%q needs %.0f MB for its ranks, but memory_mb is %d", upstream, need, u.MemoryMB),
			"groups", n, "upstreams")
	}
}
