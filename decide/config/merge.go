// Package config merges and validates the configuration that operators
// publish. The result is a pure function of the files, so that every process
// accepts or refuses the same revision.
package config

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// MaxBytes bounds all files of a configuration together. The platform's
// configuration service refuses larger values.
const MaxBytes = 1 << 20

// MaxFiles bounds the number of files.
const MaxFiles = 4096

// Error is one problem at one place, see tomltree.Error.
type Error = tomltree.Error

// Errors are all problems of a configuration.
type Errors = tomltree.Errors

// Result is an accepted configuration.
type Result struct {
	Config *api.Config
	// Digest is the hash of the names and contents of the files.
	Digest uint64
	tree   *tomltree.Node
}

// Merge reads files by name in the order of their names. Tables are merged
// deeply; in values and arrays the later file wins. It returns either a result
// or every problem found.
func Merge(files map[string][]byte) (*Result, *Errors) {
	names := slices.Sorted(maps.Keys(files))
	if err := checkSize(names, files); err != nil {
		return nil, tomltree.NewErrors([]*Error{err})
	}
	tree, errs := mergeFiles(names, files)
	// An entry in an unreadable file would show as a dangling reference, so
	// values are not checked against each other then.
	readable := len(errs) == 0
	c := &api.Config{}
	errs = append(errs, tomltree.Decode(tree, c)...)
	applyDefaults(c, tree)
	if readable {
		errs = tomltree.WithoutRepeats(errs, validate(c, tree))
	}
	if all := tomltree.NewErrors(errs); all != nil {
		return nil, all
	}
	return &Result{Config: c, Digest: digest(names, files), tree: tree}, nil
}

// Digest returns the hash of names and contents, equal on all processes.
func Digest(files map[string][]byte) uint64 {
	return digest(slices.Sorted(maps.Keys(files)), files)
}

func checkSize(names []string, files map[string][]byte) *Error {
	if len(names) > MaxFiles {
		return &Error{
			File: names[MaxFiles], Kind: tomltree.TooLarge,
			Message: fmt.Sprintf("%d files; at most %d are allowed", len(names), MaxFiles),
		}
	}
	total := 0
	for _, name := range names {
		total += len(name) + len(files[name])
		if total > MaxBytes {
			return &Error{
				File: name, Kind: tomltree.TooLarge,
				Message: fmt.Sprintf("the files up to this one exceed %d bytes", MaxBytes),
			}
		}
	}
	return nil
}

func mergeFiles(names []string, files map[string][]byte) (*tomltree.Node, []*Error) {
	var errs []*Error
	tree := tomltree.NewTable()
	for _, name := range names {
		file, err := tomltree.Parse(name, files[name])
		if err != nil {
			errs = append(errs, err)
			continue
		}
		errs = append(errs, tomltree.Merge(tree, file)...)
	}
	return tree, errs
}

// digest frames each name and content with its length, so that moving bytes
// between files changes the hash.
func digest(names []string, files map[string][]byte) uint64 {
	h := xxhash.New()
	var size [8]byte
	frame := func(b []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(b)
	}
	for _, name := range names {
		frame([]byte(name))
		frame(files[name])
	}
	return h.Sum64()
}
