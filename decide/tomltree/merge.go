package tomltree

import (
	"fmt"
	"maps"
	"slices"
)

// Merge lays src over dst: tables are merged, values and arrays replace. A
// table and a value under one key are a conflict.
func Merge(dst, src *Node) []*Error { return merge(dst, src, nil) }

func merge(dst, src *Node, path []string) []*Error {
	var errs []*Error
	for _, key := range slices.Sorted(maps.Keys(src.Table)) {
		inner := append(path[:len(path):len(path)], key)
		over, old := src.Table[key], dst.Table[key]
		switch {
		case old == nil:
			dst.Table[key] = over
		case old.Table != nil && over.Table != nil:
			errs = append(errs, merge(old, over, inner)...)
		case old.Table == nil && over.Table == nil:
			over.Overrides = append(old.Overrides, old.Origin)
			dst.Table[key] = over
		default:
			errs = append(errs, &Error{
				File: over.File, Line: over.Line, Key: Join(inner), Kind: TableConflict,
				Message: fmt.Sprintf("a table and a value under one key; the other is at %s:%d", old.File, old.Line),
			})
		}
	}
	return errs
}
