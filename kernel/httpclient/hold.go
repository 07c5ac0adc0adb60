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

// Grow charges the room of a buffer that grows by appending to n bytes: up to twice as much,
// with what it held before. The error is that of the budget.
func (h *Hold) Grow(n int) error {
	missing := 2*int64(n) - freeRoom - h.charged
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
