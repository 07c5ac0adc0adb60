package tomltree

import (
	"fmt"
	"iter"
	"slices"
)

// MaxSuggestions bounds the problems for which similar names are looked for,
// since the cost grows with the product of wrong and defined names.
const MaxSuggestions = 100

// hints counts the suggestions made so far.
type hints struct{ made int }

func (h *hints) suggest(value string, candidates iter.Seq[string]) string {
	h.made++
	if h.made > MaxSuggestions {
		return ""
	}
	if near := Nearest(value, slices.Sorted(candidates)); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	return ""
}

// maxSuggestionEdits is the edit distance up to which a name is suggested.
const maxSuggestionEdits = 2

// maxSuggestionBytes bounds the names compared, since the cost is quadratic.
const maxSuggestionBytes = 64

// Nearest returns the candidate that looks most like name, the first of equals,
// or "" if none is close.
func Nearest(name string, candidates []string) string {
	best, bestEdits := "", maxSuggestionEdits+1
	if len(name) > maxSuggestionBytes {
		return best
	}
	for _, c := range candidates {
		if len(c) > maxSuggestionBytes {
			continue
		}
		if n := editDistance(name, c); n < bestEdits && n < len(c) {
			best, bestEdits = c, n
		}
	}
	return best
}

// editDistance counts single-byte insertions, removals and replacements.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
