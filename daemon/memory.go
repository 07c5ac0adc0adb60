package daemon

import (
	"runtime/debug"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/connbudget"
)

// LimitMemory sets the memory limit of the Go runtime from the settings of the process, if they
// state its memory.
func LimitMemory(s *api.Settings) {
	if limit := connbudget.Derive(s.MemoryLimitMB(), 0).Runtime; limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}
