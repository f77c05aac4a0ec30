package runner

import "context"

// Engine accepts orders and reports its state.
type Engine interface {
	// State returns what the engine has loaded.
	State(ctx context.Context) (State, error)
	// Order sets an absolute target; an engine that checks fencing numbers refuses orders with an old one.
	Order(ctx context.Context, o Order) error
	// CacheEvents returns the cache events after an offset; events may be late or missing.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
}

// State is what an engine has loaded.
type State struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	Fence    int64    `json:"fence"` // highest fencing number seen, 0 where not checked
	Loading  bool     `json:"loading,omitempty"`
}

// Order tells an engine what to load, as a whole target state and not as a difference.
type Order struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	Fence    int64    `json:"fence"`
}

// CacheEvent says that a prompt prefix entered or left the engine's cache.
type CacheEvent struct {
	Offset  int64  `json:"offset"`
	Prefix  string `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}
