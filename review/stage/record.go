// Package stage runs the programs of the deploy file as separate processes on loopback
// addresses, with stand-ins around them, for the cases of the second review.
package stage

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the record.txt of a case.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Troubled reports whether the disruption is to be made: not with TROUBLE=0.
func Troubled() bool { return os.Getenv("TROUBLE") != "0" }
