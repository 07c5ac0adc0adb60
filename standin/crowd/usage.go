package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// OpenDescriptors returns the number of open descriptors of a process, 0 if it has exited.
func OpenDescriptors(pid int) int64 {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return int64(len(names))
}

// PeakMemory returns the largest resident memory of a process in bytes, 0 if it has exited.
func PeakMemory(pid int) int64 {
	const field, kilobyte = "VmHWM:", 1 << 10
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n * kilobyte
		}
	}
	return 0
}
