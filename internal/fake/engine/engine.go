package engine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/base"
	"github.com/ragworthatch/ragworthatch/internal/fake/echo"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
)

const bytesPerToken = 4 // of a prompt

// Config configures an engine.
type Config struct {
	// Concurrency is the number of calls that run at once.
	Concurrency int
	// PrefillPerToken is the processing time of one prompt token that is not cached.
	PrefillPerToken time.Duration
	// DecodePerToken is the time for one token of an answer with nothing else running;
	// a full batch takes twice as long.
	DecodePerToken time.Duration
	// CachedPrefixes is the capacity of the cache, in prefix blocks.
	CachedPrefixes int
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// LoadTime is how long it takes to carry out an order.
	LoadTime time.Duration
	// State is the engine's state before the first order.
	State runner.State
}

// Engine generates tokens that are a function of the prompt alone, so that a generation can resume on another engine.
type Engine struct {
	*base.Upstream
	config Config
	cache  *cache

	mu     sync.Mutex
	state  runner.State
	orders []runner.Order
}

// New returns an engine that is up and in its configured state.
func New(c Config) *Engine {
	e := &Engine{Upstream: base.New(c.Concurrency), config: c, cache: &cache{capacity: c.CachedPrefixes}, state: c.State}
	e.Proc.OnChange(func(up bool) {
		if up {
			e.cache.clear()
		}
	})
	return e
}

// Call streams a generation, after the held tokens if there are any; the last event has no token.
func (e *Engine) Call(ctx context.Context, c upstream.Call) (upstream.Stream, error) {
	if err := e.validate(c); err != nil {
		return nil, err
	}
	return e.Serve(ctx, c, e.generate)
}

// validate refuses a model that is not loaded and rejects held tokens of another prompt.
func (e *Engine) validate(c upstream.Call) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Model != "" && c.Model != e.state.Model {
		return &upstream.Error{Op: "call", Refused: true, Cause: fmt.Errorf("model %q is not loaded", c.Model)}
	}
	for i, token := range c.Held {
		if token != echo.Token(c.Body, uint64(i)) {
			return &upstream.Error{Op: "call", Rejected: true, Cause: fmt.Errorf("held token %d is not of this prompt", i)}
		}
	}
	return nil
}

// generate does the work of a call: the prefill of uncached prompt tokens, then one decode step for each token.
func (e *Engine) generate(ctx context.Context, c upstream.Call, emit func(upstream.Event)) (upstream.Event, error) {
	chain := ident.PrefixChain(c.Model, c.Body)
	prompt := uint64(len(c.Body) / bytesPerToken)
	cached := min(prompt, uint64(e.cache.use(chain)*ident.PrefixBlockBytes/bytesPerToken))
	if err := e.Sleep(ctx, time.Duration(prompt-cached)*e.config.PrefillPerToken); err != nil {
		return upstream.Event{}, err
	}
	length := echo.Length(c.Body, c.MaxTokens)
	for i := uint64(len(c.Held)); i < length; i++ {
		step := time.Duration((1 + e.Utilization()) * float64(e.config.DecodePerToken))
		if err := e.Sleep(ctx, step); err != nil {
			return upstream.Event{}, err
		}
		emit(upstream.Event{Index: i, Data: []byte(echo.Token(c.Body, i))})
	}
	return upstream.Event{Index: length, Count: length, PrefillTokens: prompt - cached, CachedTokens: cached}, nil
}

// State returns what the engine has loaded, or an error while it is down.
func (e *Engine) State(context.Context) (runner.State, error) {
	if _, up := e.Proc.Context(); !up {
		return runner.State{}, &upstream.Error{Op: "state", NotSent: true, Cause: fmt.Errorf("connection refused")}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

// Order accepts an order and carries it out after the load time, unless a later order replaces it.
func (e *Engine) Order(_ context.Context, o runner.Order) error {
	if _, up := e.Proc.Context(); !up {
		return &upstream.Error{Op: "order", NotSent: true, Cause: fmt.Errorf("connection refused")}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFence && o.Fence < e.state.Fence {
		return &upstream.Error{Op: "order", Refused: true,
			Cause: fmt.Errorf("fencing number %d is older than %d", o.Fence, e.state.Fence)}
	}
	e.orders = append(e.orders, o)
	if e.config.ChecksFence {
		e.state.Fence = o.Fence
	}
	e.state.Loading = true
	number := len(e.orders)
	time.AfterFunc(e.config.LoadTime, func() { e.finishLoad(number, o) })
	return nil
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []runner.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// CacheEvents returns the cache events after an offset; the fault in force may delay or hide some.
func (e *Engine) CacheEvents(_ context.Context, after int64) ([]runner.CacheEvent, error) {
	if _, up := e.Proc.Context(); !up {
		return nil, &upstream.Error{Op: "cacheEvents", NotSent: true, Cause: fmt.Errorf("connection refused")}
	}
	return e.cache.eventsAfter(after, e.Faults.Get()), nil
}

// finishLoad carries out an order, given its number, unless a later one was accepted.
func (e *Engine) finishLoad(number int, o runner.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number != len(e.orders) {
		return
	}
	fence := e.state.Fence
	e.state = runner.State{Model: o.Model, Adapters: o.Adapters, Version: o.Version, Role: o.Role, Fence: fence}
}
