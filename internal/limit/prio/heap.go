package prio

import "container/heap"

// Heap is a min-heap; create it with New.
type Heap[T any] struct {
	items heapItems[T]
}

// New returns an empty heap. It calls move with the new index of each element that moves, or -1 after its removal.
func New[T any](less func(a, b T) bool, move func(v T, index int)) *Heap[T] {
	return &Heap[T]{items: heapItems[T]{less: less, move: move}}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items.values) }

// Push adds v in O(log n).
func (h *Heap[T]) Push(v T) { heap.Push(&h.items, v) }

// Min returns the smallest element; false when the heap is empty.
func (h *Heap[T]) Min() (v T, ok bool) {
	if h.Len() == 0 {
		return v, false
	}
	return h.items.values[0], true
}

// Remove removes the element at index in O(log n).
func (h *Heap[T]) Remove(index int) { heap.Remove(&h.items, index) }

// Fix restores the order after the element at index has changed, in O(log n).
func (h *Heap[T]) Fix(index int) { heap.Fix(&h.items, index) }

// heapItems implements heap.Interface.
type heapItems[T any] struct {
	values []T
	less   func(a, b T) bool
	move   func(v T, index int)
}

func (s *heapItems[T]) Len() int           { return len(s.values) }
func (s *heapItems[T]) Less(i, j int) bool { return s.less(s.values[i], s.values[j]) }

func (s *heapItems[T]) Swap(i, j int) {
	s.values[i], s.values[j] = s.values[j], s.values[i]
	s.move(s.values[i], i)
	s.move(s.values[j], j)
}

func (s *heapItems[T]) Push(x any) {
	v := x.(T)
	s.move(v, len(s.values))
	s.values = append(s.values, v)
}

func (s *heapItems[T]) Pop() any {
	last := len(s.values) - 1
	v := s.values[last]
	var zero T
	s.values[last] = zero
	s.values = s.values[:last]
	s.move(v, -1)
	return v
}
