package rankview

import "time"

const (
	// passWindow is the time over which the time of a pass is measured. It holds several
	// passes, since ranks are read at intervals of about one pass.
	passWindow = 600 * time.Millisecond
)

// PassMeter measures the time of a forward pass of a group.
type PassMeter struct {
	samples []passSample
}

type passSample struct {
	at   time.Duration
	step uint64
}

// Observe adds a snapshot and returns the mean time of the passes in passWindow, 0 if it
// is unknown. An idle group makes no passes.
func (m *PassMeter) Observe(now time.Duration, s Snapshot) time.Duration {
	step, running, _ := s.progress()
	if running == 0 {
		m.samples = nil
		return 0
	}
	m.samples = append(m.samples, passSample{at: now, step: step})
	for len(m.samples) > 2 && now-m.samples[1].at >= passWindow {
		m.samples = m.samples[1:]
	}
	first := m.samples[0]
	if now-first.at < passWindow || step <= first.step {
		return 0
	}
	return (now - first.at) / time.Duration(step-first.step)
}
