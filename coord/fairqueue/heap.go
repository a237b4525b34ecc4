package fairqueue

import "container/heap"

// indexed is a heap whose elements know their place, so that one in the middle
// can be moved or taken out in O(log n).
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T) *int
}

// Len implements heap.Interface.
func (h *indexed[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexed[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexed[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]) = i
	*h.place(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexed[T]) Push(x any) {
	item := x.(T)
	*h.place(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexed[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.place(item) = absent
	return item
}

// absent is the place of an element that is in no heap.
const absent = -1

// put adds an element or moves it to where it belongs now.
func (h *indexed[T]) put(item T) {
	if at := *h.place(item); at != absent {
		heap.Fix(h, at)
		return
	}
	heap.Push(h, item)
}

func (h *indexed[T]) remove(item T) {
	if at := *h.place(item); at != absent {
		heap.Remove(h, at)
	}
}

func (h *indexed[T]) first() (item T, ok bool) {
	if len(h.items) == 0 {
		return item, false
	}
	return h.items[0], true
}
