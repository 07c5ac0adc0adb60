package pool

import (
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/config"
	"github.com/mulberryfork/mulberryfork/examples"
)

const (
	// scaledRequests and scaledColdRequests replace the request limits of upstreams,
	// so that a few callers reach them.
	scaledRequests     = 8
	scaledColdRequests = 2
	// operatorsFile is the name of the configuration file that holds the changes made
	// during a run.
	operatorsFile = "90-operators.toml"
)

type table = map[string]any

// layout is an example deployment that is scaled down: it has fewer model upstreams in
// each zone and smaller groups, but the same members, models, services and objectives.
type layout struct {
	files map[string]table
	// config is the result of merging the files.
	config *api.Config
}

// LayoutError reports an example that can't be loaded or scaled down.
type LayoutError struct {
	Deployment string
	Err        error
}

func (e *LayoutError) Error() string { return "example " + e.Deployment + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *LayoutError) Unwrap() error { return e.Err }

func loadScaled(o Options) (*layout, error) {
	deployment := o.Deployment
	l := &layout{files: make(map[string]table)}
	entries, err := fs.ReadDir(examples.Files, deployment)
	if err != nil {
		return nil, &LayoutError{deployment, err}
	}
	for _, e := range entries {
		data, err := fs.ReadFile(examples.Files, deployment+"/"+e.Name())
		if err != nil {
			return nil, &LayoutError{deployment, err}
		}
		var t table
		if err := toml.Unmarshal(data, &t); err != nil {
			return nil, &LayoutError{deployment, err}
		}
		l.files[e.Name()] = t
	}
	kept := l.limitModelUpstreams(o.ModelsPerZone)
	l.adjustSections(kept)
	if o.Overload {
		l.forEach("members", func(_ string, m, _ table) { m["queue_requests"] = overloadQueueRequests })
	}
	result, failure := config.Merge(l.render(nil))
	if failure != nil {
		return nil, &LayoutError{deployment, failure}
	}
	l.config = result.Config
	return l, nil
}

// forEach calls f for the entries of one section in all files, sorted by file and
// name.
func (l *layout) forEach(section string, f func(name string, entry, entries table)) {
	for _, file := range slices.Sorted(maps.Keys(l.files)) {
		entries, ok := l.files[file][section].(table)
		if !ok {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(entries)) {
			f(name, entries[name].(table), entries)
		}
	}
}

// limitModelUpstreams removes the model upstreams beyond the limit for each zone and
// returns the names of the remaining upstreams.
func (l *layout) limitModelUpstreams(modelsPerZone int) map[string]bool {
	kept, perZone := make(map[string]bool), make(map[string]int)
	l.forEach("upstreams", func(name string, u, all table) {
		if u["kind"] == string(api.UpstreamModel) {
			zone := u["zone"].(string)
			if perZone[zone]++; perZone[zone] > modelsPerZone {
				delete(all, name)
				return
			}
		}
		u["max_requests"], u["cold_requests"] = scaledRequests, scaledColdRequests
		kept[name] = true
	})
	return kept
}

// adjustSections adapts the other sections to the remaining upstreams and removes the
// rate limits of members.
func (l *layout) adjustSections(kept map[string]bool) {
	l.forEach("members", func(_ string, m, _ table) {
		delete(m, "requests_per_second")
		if list, ok := m["upstreams"].([]any); ok {
			m["upstreams"] = filterNames(list, kept)
		}
	})
	l.forEach("models", func(_ string, m, _ table) { m["min_upstreams"] = 1 })
	l.forEach("groups", func(_ string, g, _ table) {
		list := g["upstreams"].([]any)
		remaining := filterNames(list, kept)
		for _, key := range []string{"ranks", "experts"} {
			g[key] = g[key].(int64) * int64(len(remaining)) / int64(len(list))
		}
		g["upstreams"] = remaining
	})
}

func filterNames(list []any, kept map[string]bool) []any {
	return slices.DeleteFunc(slices.Clone(list), func(name any) bool { return !kept[name.(string)] })
}

// render encodes the files. It sets the agent addresses of the upstreams in agents.
func (l *layout) render(agents map[string]string) map[string][]byte {
	l.forEach("upstreams", func(name string, u, _ table) {
		if address, ok := agents[name]; ok {
			u["agent"] = address
		}
	})
	out := make(map[string][]byte, len(l.files))
	for name, t := range l.files {
		// A table decoded from TOML can always be encoded as TOML.
		out[name], _ = toml.Marshal(t)
	}
	return out
}

// operators holds the configuration changes that operators make during a run.
type operators struct {
	zonesOut map[string]bool
	leaving  map[string]bool
	// publishes counts the calls of Publish. The file contains it, so that each call
	// produces a new revision.
	publishes int
}

func (o *operators) render() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# change %d\n", o.publishes)
	for _, zone := range slices.Sorted(maps.Keys(o.zonesOut)) {
		fmt.Fprintf(&b, "[zones.%s]\nstate = \"out\"\n", zone)
	}
	for _, name := range slices.Sorted(maps.Keys(o.leaving)) {
		fmt.Fprintf(&b, "[upstreams.%s]\nleaving = true\n", name)
	}
	return b.String()
}
