package tomltree

import (
	"fmt"
	"maps"
	"slices"
)

// Merge merges src into dst: tables are merged recursively, and values and
// arrays of src replace those of dst. A key that is a table in one tree and a
// value in the other is an error.
func Merge(dst, src *Node) []*Error { return merge(dst, src, nil) }

func merge(dst, src *Node, path []string) []*Error {
	var errs []*Error
	for _, key := range slices.Sorted(maps.Keys(src.Table)) {
		inner := append(path[:len(path):len(path)], key)
		added, existing := src.Table[key], dst.Table[key]
		switch {
		case existing == nil:
			dst.Table[key] = added
		case existing.Table != nil && added.Table != nil:
			errs = append(errs, merge(existing, added, inner)...)
		case existing.Table == nil && added.Table == nil:
			added.Overridden = append(existing.Overridden, existing.Origin)
			dst.Table[key] = added
		default:
			errs = append(errs, &Error{
				File: added.File, Line: added.Line, Key: Join(inner), Kind: TableConflict,
				Message: fmt.Sprintf("the key is defined both as a table and as a value; the other definition is at %s:%d", existing.File, existing.Line),
			})
		}
	}
	return errs
}
