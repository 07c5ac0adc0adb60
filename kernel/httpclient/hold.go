package httpclient

// freeRoom is the room of a buffer that is not charged.
const freeRoom = 16 << 10

// Budget is charged for what is held of a response. A *Body is one.
type Budget interface {
	Take(n int64) error
	Return(n int64)
}

// Hold charges the room of a buffer that grows while a part of a response arrives, such as an
// event of a stream.
type Hold struct {
	// Budget is charged, nil for none.
	Budget  Budget
	charged int64
}

// Append appends to a buffer. Its room doubles when it grows, and is charged with the room that it
// had, which is garbage then. With the smaller steps of append, the garbage of long events was
// several times their length, and came faster than it was collected. The error is that of the
// budget.
func (h *Hold) Append(buffer, p []byte) ([]byte, error) {
	need := len(buffer) + len(p)
	if need <= cap(buffer) {
		return append(buffer, p...), nil
	}
	room := max(need, 2*cap(buffer))
	if err := h.charge(int64(room + cap(buffer))); err != nil {
		return buffer, err
	}
	return append(append(make([]byte, 0, room), buffer...), p...), nil
}

// charge makes sure that n bytes are charged, but for freeRoom.
func (h *Hold) charge(n int64) error {
	missing := n - freeRoom - h.charged
	if h.Budget == nil || missing <= 0 {
		return nil
	}
	missing = max(missing, chargeStep)
	if err := h.Budget.Take(missing); err != nil {
		return err
	}
	h.charged += missing
	return nil
}

// Release releases what is charged.
func (h *Hold) Release() {
	if h.charged > 0 {
		h.Budget.Return(h.charged)
		h.charged = 0
	}
}
