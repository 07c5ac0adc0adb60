package configcheck

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// anyMethod is the method of a pattern that matches every method.
const anyMethod = "*"

// patterns reports each pattern that is covered by another one of the same service whose
// list is consulted before or which is in the same list.
func (c *checker) patterns() {
	byService := map[string][]*Pattern{}
	for i := range c.model.Patterns {
		p := &c.model.Patterns[i]
		byService[p.ID()] = append(byService[p.ID()], p)
	}
	for _, list := range byService {
		covers := map[coverKey][]*Pattern{}
		for _, p := range list {
			for rank := range p.Rank + 1 {
				if by := coverOf(list, covers, coverKey{p.Method, rank}, p); by != nil {
					c.add(Warning, Shadowed, &p.Entry, p.Field, "%q is covered by %q in %s", p.Text, by.Text, by.Field)
					break
				}
			}
		}
	}
}

// coverKey selects the patterns of one list that match a method.
type coverKey struct {
	method string
	rank   int
}

// coverOf returns the pattern of a list that matches everything that p matches, or nil. The
// covers of each method and list are sorted once, and those that others cover are left out,
// so that at most one can cover p and a binary search finds it.
func coverOf(all []*Pattern, covers map[coverKey][]*Pattern, key coverKey, p *Pattern) *Pattern {
	list, ok := covers[key]
	if !ok {
		list = findCovers(all, key)
		covers[key] = list
	}
	i := sort.Search(len(list), func(i int) bool { return list[i].Prefix > p.Prefix }) - 1
	if i < 0 || list[i].Text == p.Text || !list[i].covers(p) {
		return nil
	}
	return list[i]
}

// covers reports whether p matches every path that q matches.
func (p *Pattern) covers(q *Pattern) bool {
	if p.Whole {
		return q.Whole && p.Prefix == q.Prefix
	}
	return strings.HasPrefix(q.Prefix, p.Prefix)
}

// findCovers returns the patterns of a list that match a method, sorted by prefix, without
// those that another one covers.
func findCovers(all []*Pattern, key coverKey) []*Pattern {
	var sorted, list []*Pattern
	for _, p := range all {
		if p.Rank == key.rank && (p.Method == key.method || p.Method == anyMethod) {
			sorted = append(sorted, p)
		}
	}
	slices.SortStableFunc(sorted, func(a, b *Pattern) int {
		byForm := 0
		if a.Whole != b.Whole {
			byForm = 1
			if b.Whole {
				byForm = -1
			}
		}
		return cmp.Or(strings.Compare(a.Prefix, b.Prefix), byForm, strings.Compare(a.Method, b.Method))
	})
	for _, p := range sorted {
		if len(list) == 0 || !list[len(list)-1].covers(p) {
			list = append(list, p)
		}
	}
	return list
}
