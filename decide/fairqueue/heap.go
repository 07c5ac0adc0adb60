package fairqueue

import "container/heap"

// indexedHeap is a heap whose elements store their index, so that any element
// can be moved or removed in O(log n).
type indexedHeap[E any] struct {
	items []E
	less  func(a, b E) bool
	index func(e E) *int
}

// notInHeap is the index of an element that is not in the heap.
const notInHeap = -1

func (h *indexedHeap[E]) Len() int           { return len(h.items) }
func (h *indexedHeap[E]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *indexedHeap[E]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]), *h.index(h.items[j]) = i, j
}
func (h *indexedHeap[E]) Push(x any) {
	e := x.(E)
	*h.index(e) = len(h.items)
	h.items = append(h.items, e)
}
func (h *indexedHeap[E]) Pop() any {
	last := len(h.items) - 1
	e := h.items[last]
	var zero E
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(e) = notInHeap
	return e
}

func (h *indexedHeap[E]) add(e E) { heap.Push(h, e) }

func (h *indexedHeap[E]) remove(e E) {
	if i := *h.index(e); i != notInHeap {
		heap.Remove(h, i)
	}
}

// update restores the heap order after the sort key of an element changed.
func (h *indexedHeap[E]) update(e E) {
	if i := *h.index(e); i != notInHeap {
		heap.Fix(h, i)
	}
}
