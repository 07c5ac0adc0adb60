package stage

import (
	"sync"
	"time"
)

// restartDelay is the time from the end of a process to its restart by the platform.
const restartDelay = 300 * time.Millisecond

// Machine runs an edge, which the platform starts again whenever it has ended.
type Machine struct {
	folder  string
	options EdgeOptions

	mu      sync.Mutex
	edge    *Edge
	ends    int
	peakMB  int64
	stopped bool
}

// Front returns the address for clients.
func (m *Machine) Front() string { return m.options.Addresses.Front }

func (m *Machine) start() error {
	edge, err := StartEdge(m.folder, m.options)
	if err != nil {
		return err
	}
	m.edge = edge
	go m.supervise(edge)
	return nil
}

// supervise starts the process again after its end.
func (m *Machine) supervise(edge *Edge) {
	<-edge.exited
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peakMB = max(m.peakMB, edge.PeakMB())
	if m.stopped {
		return
	}
	m.ends++
	time.AfterFunc(restartDelay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.stopped {
			_ = m.start()
		}
	})
}

// Ends returns how often the process has ended by itself.
func (m *Machine) Ends() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends
}

// PeakMB returns the largest memory of all its processes so far.
func (m *Machine) PeakMB() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.peakMB, m.edge.PeakMB())
}

// Stop ends the process for good.
func (m *Machine) Stop() {
	m.mu.Lock()
	m.stopped = true
	edge := m.edge
	m.mu.Unlock()
	edge.Kill()
}
