package watch

import "sync"

// Hub wakes its watchers on each change; a watcher sees changes in quick succession as one.
type Hub struct {
	mu      sync.Mutex
	changed chan struct{}
}

// New returns a hub without watchers.
func New() *Hub { return &Hub{changed: make(chan struct{})} }

// Changed returns a channel that is closed at the next change. Call it before reading the state, so that no change is
// missed.
func (h *Hub) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Notify wakes all watchers.
func (h *Hub) Notify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}
