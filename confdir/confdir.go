// Package confdir reads a folder of configuration files, checks and explains it, and
// formats the results for a terminal.
package confdir

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/mulberryfork/mulberryfork/decide/config"
)

// Suffix is the file name suffix of configuration files.
const Suffix = ".toml"

// ReadError reports a folder or file that cannot be read.
type ReadError struct {
	Path string
	Err  error
}

func (e *ReadError) Error() string { return fmt.Sprintf("cannot read %s: %v", e.Path, e.Err) }

// Unwrap returns the file system error.
func (e *ReadError) Unwrap() error { return e.Err }

// TooLargeError reports a folder whose files exceed the size limit of a
// configuration.
type TooLargeError struct {
	Path     string
	MaxBytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the files in %s exceed %d bytes", e.Path, e.MaxBytes)
}

// EmptyError reports a folder without configuration files.
type EmptyError struct{ Path string }

func (e *EmptyError) Error() string {
	return "no " + Suffix + " files in " + e.Path
}

// Read returns the configuration files of a folder by name. It skips subfolders,
// hidden files and files with another suffix. It returns a *ReadError or a
// *TooLargeError.
func Read(dir string) (map[string][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &ReadError{Path: dir, Err: err}
	}
	files, remaining := map[string][]byte{}, config.MaxBytes
	for _, entry := range entries {
		name := entry.Name()
		if entry.IsDir() || strings.HasPrefix(name, ".") || !strings.HasSuffix(name, Suffix) {
			continue
		}
		data, err := readFile(filepath.Join(dir, name), remaining)
		if err != nil {
			return nil, err
		}
		remaining -= len(data)
		if remaining < 0 {
			return nil, &TooLargeError{Path: dir, MaxBytes: config.MaxBytes}
		}
		files[name] = data
	}
	return files, nil
}

// readFile reads at most limit+1 bytes of a file, so that the caller can detect a
// larger file without reading all of it.
func readFile(path string, limit int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &ReadError{Path: path, Err: err}
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, int64(limit)+1))
	if err != nil {
		return nil, &ReadError{Path: path, Err: err}
	}
	return data, nil
}

// Load reads and merges the files of a folder, or a single file. It returns a *ReadError, a
// *TooLargeError or a *config.Errors.
func Load(path string) (*config.Result, error) {
	files, err := read(path)
	if err != nil {
		return nil, err
	}
	result, errs := config.Merge(files)
	if errs != nil {
		return nil, errs
	}
	return result, nil
}

func read(path string) (map[string][]byte, error) {
	if info, err := os.Stat(path); err != nil || info.IsDir() {
		return Read(path)
	}
	data, err := readFile(path, config.MaxBytes)
	if err != nil {
		return nil, err
	}
	return map[string][]byte{filepath.Base(path): data}, nil
}
