package tomltree

import (
	"fmt"
	"iter"
	"slices"
)

// MaxSuggestions limits the errors for which a similar name is searched, since
// the total cost is the number of wrong names times that of defined names.
const MaxSuggestions = 100

// suggester suggests similar names, up to MaxSuggestions times.
type suggester struct{ count int }

func (s *suggester) suggest(value string, candidates iter.Seq[string]) string {
	s.count++
	if s.count > MaxSuggestions {
		return ""
	}
	if near := Nearest(value, slices.Sorted(candidates)); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	return ""
}

// maxSuggestionEdits is the largest edit distance of a suggested name.
const maxSuggestionEdits = 2

// maxSuggestionBytes limits the length of compared names, since computing the
// edit distance takes quadratic time.
const maxSuggestionBytes = 64

// Nearest returns the candidate with the smallest edit distance to name, the
// first one of several, or "" if none is similar.
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
