// Package config merges and validates the configuration files that operators
// publish. The result depends only on the files, so that all processes accept or
// reject the same revisions.
package config

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/configcheck"
	"github.com/mulberryfork/mulberryfork/decide/tomltree"
)

// MaxBytes limits the total size of a configuration. The platform's
// configuration service rejects larger ones.
const MaxBytes = 1 << 20

// MaxFiles limits the number of files.
const MaxFiles = 4096

// Error is one error in a file.
type Error = tomltree.Error

// Errors holds all errors of a configuration.
type Errors = tomltree.Errors

// Result is a valid configuration.
type Result struct {
	Config *api.Config
	// Digest is the hash of the names and contents of the files.
	Digest uint64
	tree   *tomltree.Node
}

// Merge merges files in the order of their names. Tables are merged recursively;
// values and arrays of later files replace those of earlier ones. It returns
// either a result or every error found.
func Merge(files map[string][]byte) (*Result, *Errors) {
	names := slices.Sorted(maps.Keys(files))
	if err := checkSize(names, files); err != nil {
		return nil, tomltree.NewErrors([]*Error{err})
	}
	tree, errs := mergeFiles(names, files)
	// If a file cannot be merged, references to its entries would be reported as
	// undefined. Values are therefore validated only if all files were merged.
	merged := len(errs) == 0
	c := &api.Config{}
	errs = append(errs, tomltree.Decode(tree, c)...)
	applyDefaults(c, tree)
	if merged {
		errs = tomltree.MergeErrors(errs, validate(c, tree))
	}
	if all := tomltree.NewErrors(errs); all != nil {
		return nil, all
	}
	result := &Result{Config: c, Digest: digest(names, files), tree: tree}
	var refused *configcheck.RefusedError
	if errors.As(configcheck.Errors(result.Model(), math.MaxInt), &refused) {
		return nil, toErrors(refused.Findings)
	}
	return result, nil
}

// Digest returns the hash of file names and contents. It is the same in all
// processes.
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
				Message: fmt.Sprintf("this file and those before it exceed %d bytes in total", MaxBytes),
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

// digest writes the length before each name and content, so that moving bytes
// between files changes the hash.
func digest(names []string, files map[string][]byte) uint64 {
	h := xxhash.New()
	var size [8]byte
	writePart := func(b []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(b)
	}
	for _, name := range names {
		writePart([]byte(name))
		writePart(files[name])
	}
	return h.Sum64()
}
