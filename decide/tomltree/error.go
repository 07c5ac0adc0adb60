package tomltree

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind identifies a kind of error. Its values do not change between releases.
type Kind string

// Kinds of errors that can occur in any file.
const (
	Syntax         Kind = "syntax"
	TooLarge       Kind = "too_large"
	TooDeep        Kind = "too_deep"
	TableConflict  Kind = "table_conflict"
	UnknownKey     Kind = "unknown_key"
	WrongType      Kind = "wrong_type"
	BadDuration    Kind = "bad_duration"
	Missing        Kind = "missing"
	OutOfRange     Kind = "out_of_range"
	UnknownValue   Kind = "unknown_value"
	BadAddress     Kind = "bad_address"
	BadURL         Kind = "bad_url"
	NotApplicable  Kind = "not_applicable"
	DuplicateEntry Kind = "duplicate_entry"
)

// Error is one error in a file.
type Error struct {
	File string
	// Line counts from 1; 0 means the whole file.
	Line    int
	Key     string
	Kind    Kind
	Message string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s: %s", e.File, e.Line, e.Key, e.Kind, e.Message)
}

// Errors holds all errors found, sorted by file, line and key.
type Errors struct{ All []*Error }

// NewErrors sorts the errors. It returns nil if there are none.
func NewErrors(all []*Error) *Errors {
	if len(all) == 0 {
		return nil
	}
	slices.SortStableFunc(all, func(a, b *Error) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return &Errors{All: all}
}

func (e *Errors) Error() string {
	lines := make([]string, len(e.All))
	for i, err := range e.All {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find each *Error.
func (e *Errors) Unwrap() []error {
	all := make([]error, len(e.All))
	for i, err := range e.All {
		all[i] = err
	}
	return all
}
