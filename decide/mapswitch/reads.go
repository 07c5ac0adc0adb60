package mapswitch

import "time"

// AwaitsResults reports whether the change waits for nothing but the results of orders.
func (s *State) AwaitsResults() bool {
	switch s.phase {
	case Preparing:
		return len(s.pending) > 0
	case Idle, Settling, Verifying:
		return false
	}
	return true
}

// SnapshotDue returns the time from which on a snapshot may show what the change waits
// for. It returns false if the change does not wait for a snapshot. copying is how long
// ranks copy experts.
func (s *State) SnapshotDue(copying time.Duration) (from time.Duration, waits bool) {
	switch s.phase {
	case Preparing:
		return max(s.preparedAt+copying, s.phaseStart), len(s.pending) == 0
	case Settling, Verifying:
		return s.phaseStart, true
	}
	return 0, false
}
