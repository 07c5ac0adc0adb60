package stage

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the rule on requests that crash workers.
const (
	contactWindow  = 3 * time.Second
	crashesAllowed = 3
	retriesAllowed = 3
)

// harmfulID begins the IDs of the harmful request, which has the same path, caller and body each
// time.
const harmfulID = "harmful-"

// HarmfulID returns the ID of a repeat of the harmful request.
func HarmfulID(n int) string { return fmt.Sprintf("%s%d", harmfulID, n) }

// IsHarmful reports whether an ID is that of the harmful request.
func IsHarmful(id string) bool { return strings.HasPrefix(id, harmfulID) }

// Harm is what workers saw of the harmful request.
type Harm struct {
	mu                      sync.Mutex
	arrivals, crashes, late int
	thirdCrash              time.Time
}

// Arrived records an arrival at a worker, if the ID is that of the harmful request.
func (h *Harm) Arrived(id string) {
	if !IsHarmful(id) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals++
	if h.crashes >= crashesAllowed && time.Since(h.thirdCrash) > contactWindow {
		h.late++
	}
}

// Crashed records a crash.
func (h *Harm) Crashed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.crashes++; h.crashes == crashesAllowed {
		h.thirdCrash = time.Now()
	}
}

// Text returns the counts for the record.
func (h *Harm) Text() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("arrivals %d, crashes %d, arrivals later than %v after the third crash %d", h.arrivals, h.crashes, contactWindow, h.late)
}

// JudgeHarm records the end of a case on the harmful request and returns its exit code.
func (d *Deployment) JudgeHarm(h *Harm, served bool) int {
	h.mu.Lock()
	arrivals, late := h.arrivals, h.late
	h.mu.Unlock()
	switch {
	case !served || arrivals == 0:
		d.Line("the case couldn't run")
		return NotRun
	case late > retriesAllowed:
		d.Line("broken: the request reached workers %d times later than %v after its third crash, more than %d", late, contactWindow, retriesAllowed)
		return Broken
	}
	return Held
}
