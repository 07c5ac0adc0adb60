package config

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// Defaults of absent keys, which docs/operators/configuration-files.md lists.
const (
	DefaultRetryRatio        = 0.1
	DefaultOutcomeRetention  = 15 * time.Minute
	DefaultLedgerEntries     = 100_000
	DefaultLedgerAnswerBytes = 64 << 10
	DefaultWeightStoreMBps   = 1000.0
	DefaultShare             = 1.0
	DefaultQueueRequests     = 64
	DefaultRegion            = "default"
	DefaultMaxRequests       = 64
	DefaultMaxTokens         = 262_144
	DefaultColdRequests      = 2
	DefaultColdGain          = 0.5
	DefaultMemoryMB          = 81_920
	DefaultResendWindow      = 10 * time.Minute
	DefaultTimeout           = 30 * time.Second
	DefaultVersion           = "1"
	DefaultContextTokens     = 32_768
	DefaultMaxOutputTokens   = 1024
	DefaultMinUpstreams      = 1
	DefaultExpertMB          = 1.0
)

func applyDefaults(c *api.Config, tree *tomltree.Node) {
	p := &c.Pool
	tomltree.Default(tree, &p.RetryRatio, DefaultRetryRatio, "pool", "retry_ratio")
	tomltree.Default(tree, &p.OutcomeRetention, api.Duration(DefaultOutcomeRetention), "pool", "outcome_retention")
	tomltree.Default(tree, &p.LedgerEntries, DefaultLedgerEntries, "pool", "ledger_entries")
	tomltree.Default(tree, &p.LedgerAnswerBytes, DefaultLedgerAnswerBytes, "pool", "ledger_answer_bytes")
	tomltree.Default(tree, &p.WeightStoreMBps, DefaultWeightStoreMBps, "pool", "weight_store_mbps")
	applyEach(tree, c.Members, "members", memberDefaults)
	applyEach(tree, c.Zones, "zones", zoneDefaults)
	applyEach(tree, c.Upstreams, "upstreams", upstreamDefaults)
	applyEach(tree, c.Services, "services", serviceDefaults)
	applyEach(tree, c.Models, "models", modelDefaults)
	applyEach(tree, c.Groups, "groups", groupDefaults)
}

// applyEach applies defaults to every entry of a table.
func applyEach[T any](tree *tomltree.Node, items map[string]T, table string, apply func(*tomltree.Node, *T)) {
	for name, item := range items {
		apply(tree.Get(table, name), &item)
		items[name] = item
	}
}

func memberDefaults(n *tomltree.Node, m *api.Member) {
	tomltree.Default(n, &m.Share, DefaultShare, "share")
	tomltree.Default(n, &m.QueueRequests, DefaultQueueRequests, "queue_requests")
}

func zoneDefaults(n *tomltree.Node, z *api.Zone) {
	tomltree.Default(n, &z.Region, DefaultRegion, "region")
	tomltree.Default(n, &z.State, api.ZoneIn, "state")
}

func upstreamDefaults(n *tomltree.Node, u *api.Upstream) {
	tomltree.Default(n, &u.MaxRequests, DefaultMaxRequests, "max_requests")
	tomltree.Default(n, &u.MaxTokens, DefaultMaxTokens, "max_tokens")
	tomltree.Default(n, &u.ColdRequests, min(DefaultColdRequests, max(u.MaxRequests, 1)), "cold_requests")
	tomltree.Default(n, &u.ColdGain, DefaultColdGain, "cold_gain")
	if u.Kind == api.UpstreamModel {
		tomltree.Default(n, &u.MemoryMB, DefaultMemoryMB, "memory_mb")
	}
}

func serviceDefaults(n *tomltree.Node, p *api.PlainService) {
	tomltree.Default(n, &p.ResendWindow, api.Duration(DefaultResendWindow), "resend_window")
	tomltree.Default(n, &p.Timeout, api.Duration(DefaultTimeout), "timeout")
}

func modelDefaults(n *tomltree.Node, m *api.Model) {
	tomltree.Default(n, &m.Version, DefaultVersion, "version")
	tomltree.Default(n, &m.ContextTokens, DefaultContextTokens, "context_tokens")
	tomltree.Default(n, &m.MaxOutputTokens, min(DefaultMaxOutputTokens, max(m.ContextTokens, 1)), "max_output_tokens")
	tomltree.Default(n, &m.MinUpstreams, DefaultMinUpstreams, "min_upstreams")
}

// groupDefaults gives each rank one slot more than its even share of the experts,
// for a replica.
func groupDefaults(n *tomltree.Node, g *api.Group) {
	if g.Ranks > 0 && g.Experts > 0 {
		tomltree.Default(n, &g.SlotsPerRank, (g.Experts-1)/g.Ranks+2, "slots_per_rank")
	}
	tomltree.Default(n, &g.ExpertMB, DefaultExpertMB, "expert_mb")
}
