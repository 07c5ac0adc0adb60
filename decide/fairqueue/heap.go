package fairqueue

import "container/heap"

// ordered is a heap whose elements know their place, so that one can be moved
// or removed.
type ordered[E any] struct {
	items []E
	less  func(a, b E) bool
	place func(e E) *int
}

// absent is the place of an element that is not in the heap.
const absent = -1

func (h *ordered[E]) Len() int           { return len(h.items) }
func (h *ordered[E]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *ordered[E]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]), *h.place(h.items[j]) = i, j
}
func (h *ordered[E]) Push(x any) {
	e := x.(E)
	*h.place(e) = len(h.items)
	h.items = append(h.items, e)
}
func (h *ordered[E]) Pop() any {
	last := len(h.items) - 1
	e := h.items[last]
	var none E
	h.items[last] = none
	h.items = h.items[:last]
	*h.place(e) = absent
	return e
}

func (h *ordered[E]) add(e E) { heap.Push(h, e) }

func (h *ordered[E]) remove(e E) {
	if i := *h.place(e); i != absent {
		heap.Remove(h, i)
	}
}

// update restores the order after the keys of an element changed.
func (h *ordered[E]) update(e E) {
	if i := *h.place(e); i != absent {
		heap.Fix(h, i)
	}
}
