package fairqueue

import "container/heap"

// indexedHeap is a heap whose elements store their index, so that any element can be
// moved or removed in O(log n).
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*h.index(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(item) = absent
	return item
}

// absent is the index of an element that is not in the heap.
const absent = -1

// put adds an element, or restores the heap order after its key has changed.
func (h *indexedHeap[T]) put(item T) {
	if at := *h.index(item); at != absent {
		heap.Fix(h, at)
		return
	}
	heap.Push(h, item)
}

func (h *indexedHeap[T]) remove(item T) {
	if at := *h.index(item); at != absent {
		heap.Remove(h, at)
	}
}

func (h *indexedHeap[T]) first() (item T, ok bool) {
	if len(h.items) == 0 {
		return item, false
	}
	return h.items[0], true
}
