// Package bodybudget bounds the bytes of request bodies that a process holds at one time. It
// answers for callers that send bodies of the operator's maximum size together, at a process
// whose memory holds few of them: without a bound the process ends, with all its requests.
package bodybudget

// State is the budget of one process. Only the control loop uses it.
type State struct {
	capacity int64
	used     int64
	members  map[string]int64
}

// New returns an unused budget of a number of bytes. With 0, nothing is bounded.
func New(capacity int64) *State {
	return &State{capacity: capacity, members: make(map[string]int64)}
}

// Used returns the number of bytes taken.
func (s *State) Used() int64 { return s.used }

// freeMultiple bounds what a member holds by what is free after its body.
const freeMultiple = 2

// Take takes n bytes for a body of a member, or returns false. A member may hold up to
// freeMultiple times what is left free: one alone gets two thirds of the budget, and several
// share it evenly, so that none keeps the others out. A body that exceeds the budget is
// accepted alone.
func (s *State) Take(member string, n int64) bool {
	if s.capacity > 0 && s.used > 0 && s.members[member]+n > freeMultiple*(s.capacity-s.used-n) {
		return false
	}
	s.used += n
	s.members[member] += n
	return true
}

// Return gives back n bytes that were taken for a member.
func (s *State) Return(member string, n int64) {
	s.used -= n
	if s.members[member] -= n; s.members[member] <= 0 {
		delete(s.members, member)
	}
}
