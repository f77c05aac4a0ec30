package prio

import "container/heap"

// Heap is a min-heap; its zero value is not usable, see New.
type Heap[T any] struct {
	s slots[T]
}

// New returns an empty heap; move is told each element's index, -1 once it has left.
func New[T any](less func(a, b T) bool, move func(v T, index int)) *Heap[T] {
	return &Heap[T]{s: slots[T]{less: less, move: move}}
}

// Len is the number of elements.
func (h *Heap[T]) Len() int { return len(h.s.items) }

// Push adds v in O(log n).
func (h *Heap[T]) Push(v T) { heap.Push(&h.s, v) }

// Min returns the least element, false when empty.
func (h *Heap[T]) Min() (v T, ok bool) {
	if h.Len() == 0 {
		return v, false
	}
	return h.s.items[0], true
}

// Remove takes out the element at index in O(log n).
func (h *Heap[T]) Remove(index int) { heap.Remove(&h.s, index) }

// Fix restores the order after the element at index has changed, in O(log n).
func (h *Heap[T]) Fix(index int) { heap.Fix(&h.s, index) }

type slots[T any] struct {
	items []T
	less  func(a, b T) bool
	move  func(v T, index int)
}

func (s *slots[T]) Len() int           { return len(s.items) }
func (s *slots[T]) Less(i, j int) bool { return s.less(s.items[i], s.items[j]) }

func (s *slots[T]) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	s.move(s.items[i], i)
	s.move(s.items[j], j)
}

func (s *slots[T]) Push(x any) {
	v := x.(T)
	s.move(v, len(s.items))
	s.items = append(s.items, v)
}

func (s *slots[T]) Pop() any {
	last := len(s.items) - 1
	v := s.items[last]
	var zero T
	s.items[last] = zero
	s.items = s.items[:last]
	s.move(v, -1)
	return v
}
