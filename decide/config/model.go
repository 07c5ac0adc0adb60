package config

import (
	"encoding/hex"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/configcheck"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// fieldNames holds the names of the fields that have others in package configcheck.
var fieldNames = map[string]string{configcheck.FieldKeys: "token_hashes"}

// Model returns the configuration in the form that package configcheck checks and compares.
func (r *Result) Model() *configcheck.Model {
	c := r.Config
	m := &configcheck.Model{Fields: fieldNames, Locate: r.locate}
	m.Limits.Entry = r.entry("pool", "", c.Pool)
	if recordsOutcomes(c) {
		m.Limits.MemberEntries, m.Limits.Retention = ledger.MemberEntries(c.Pool.LedgerEntries), time.Duration(c.Pool.OutcomeRetention)
	}
	for _, n := range sortedNames(c.Members) {
		member := c.Members[n]
		e := r.entry("members", n, member)
		delete(e.Attributes, fieldNames[configcheck.FieldKeys])
		m.Members = append(m.Members, configcheck.Member{
			Entry: e, Keys: keyDigests(member.TokenHashes), Zones: member.Zones, Upstreams: member.Upstreams,
			Share: member.Share, QueueRequests: member.QueueRequests, RequestsPerSecond: member.RequestsPerSecond,
		})
	}
	for _, n := range sortedNames(c.Zones) {
		m.Zones = append(m.Zones, configcheck.Zone{Entry: r.entry("zones", n, c.Zones[n]), Out: c.Zones[n].State == api.ZoneOut})
	}
	for _, n := range sortedNames(c.Upstreams) {
		u := c.Upstreams[n]
		m.Upstreams = append(m.Upstreams, configcheck.Upstream{
			Entry: r.entry("upstreams", n, u), Zone: u.Zone, Service: u.Service, Models: u.Models, Leaving: u.Leaving,
			MaxRequests: u.MaxRequests, MaxTokens: u.MaxTokens,
		})
	}
	for _, n := range sortedNames(c.Services) {
		p := c.Services[n]
		e := r.entry("services", n, p)
		m.Services = append(m.Services, configcheck.Service{
			Entry: e, Timeout: time.Duration(p.Timeout), ResendWindow: time.Duration(p.ResendWindow),
		})
		// The list of non-idempotent calls takes precedence.
		m.Patterns = append(m.Patterns, patterns(e, "non_idempotent", p.NonIdempotent, 0)...)
		m.Patterns = append(m.Patterns, patterns(e, "idempotent", p.Idempotent, 1)...)
	}
	m.Other = slices.Concat(others(r, "models", c.Models), others(r, "groups", c.Groups), others(r, "objectives", c.Objectives))
	return m
}

// recordsOutcomes reports whether a pool has requests whose outcome agents keep: those to
// plain services and to models whose requests may not be repeated.
func recordsOutcomes(c *api.Config) bool {
	for _, m := range c.Models {
		if !m.Idempotent {
			return true
		}
	}
	return len(c.Services) > 0
}

func others[T any](r *Result, table string, items map[string]T) []configcheck.Entry {
	var all []configcheck.Entry
	for _, n := range sortedNames(items) {
		all = append(all, r.entry(table, n, items[n]))
	}
	return all
}

// orderedLists holds the lists whose order has a meaning. Ranks are numbered in the order
// of a group's upstreams.
var orderedLists = map[string]bool{"groups.upstreams": true}

func (r *Result) entry(table, name string, value any) configcheck.Entry {
	e := configcheck.Entry{Table: table, Name: name, Path: []string{table}, Attributes: map[string]string{}}
	if name != "" {
		e.Path = append(e.Path, name)
	}
	v := reflect.ValueOf(value)
	for i := range v.NumField() {
		key, field := v.Type().Field(i).Tag.Get("toml"), v.Field(i)
		if texts, ok := field.Interface().([]string); ok && !orderedLists[table+"."+key] {
			field = reflect.ValueOf(slices.Sorted(slices.Values(texts)))
		}
		e.Attributes[key] = valueText(field)
	}
	return e
}

// keyDigests decodes hashes that validate has checked.
func keyDigests(hashes []string) []configcheck.KeyDigest {
	digests := make([]configcheck.KeyDigest, len(hashes))
	for i, h := range hashes {
		_, _ = hex.Decode(digests[i][:], []byte(h))
	}
	return digests
}

func patterns(e configcheck.Entry, field string, texts []string, rank int) []configcheck.Pattern {
	all := make([]configcheck.Pattern, len(texts))
	for i, text := range texts {
		method, path, _ := strings.Cut(text, " ")
		prefix, wildcard := strings.CutSuffix(path, "*")
		all[i] = configcheck.Pattern{Entry: e, Field: field, Method: method, Prefix: prefix, Text: text, Whole: !wildcard, Rank: rank}
	}
	return all
}

// locate returns the position of a path, or of its innermost part that a file sets.
func (r *Result) locate(path ...string) configcheck.Position {
	at := r.tree.Origin
	for i := range path {
		if n := r.tree.Get(path[:i+1]...); n != nil {
			at = n.Origin
		}
	}
	return configcheck.Position{File: at.File, Line: at.Line}
}

// Findings returns errors of a configuration as findings.
func Findings(errs *Errors) []configcheck.Finding {
	var all []configcheck.Finding
	for _, e := range errs.All {
		entry, field := splitKey(e.Key)
		all = append(all, configcheck.Finding{
			Severity: configcheck.Error, Kind: configcheck.Kind(e.Kind),
			Entry: entry, File: e.File, Line: e.Line, Field: field, Message: e.Message,
		})
	}
	return all
}

// splitKey splits a dotted key into an entry and a field. Only the table pool has no
// entries.
func splitKey(key string) (entry, field string) {
	if field, ok := strings.CutPrefix(key, "pool."); ok {
		return "pool", field
	}
	if i := strings.LastIndexByte(key, '.'); strings.Count(key, ".") > 1 {
		return key[:i], key[i+1:]
	}
	return key, ""
}

// toErrors returns findings as errors of a configuration.
func toErrors(findings []configcheck.Finding) *Errors {
	var errs []*Error
	for _, f := range findings {
		key := strings.TrimSuffix(f.Entry+"."+f.Field, ".")
		errs = append(errs, &Error{File: f.File, Line: f.Line, Key: key, Kind: tomltree.Kind(f.Kind), Message: f.Message})
	}
	return tomltree.NewErrors(errs)
}
