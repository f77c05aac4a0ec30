package memory

import (
	"context"
	"sync"
)

// Kind is a kind of holder.
type Kind string

// The kinds of holders.
const (
	Connections Kind = "connections" // of callers, each with its buffers and an ordinary head
	Heads       Kind = "heads"       // of requests, beyond an ordinary one
	SmallBodies Kind = "smallBodies" // of requests, up to SmallBodyBytes
	Bodies      Kind = "bodies"      // of requests
	Answers     Kind = "answers"     // of upstreams, beyond the fixed buffers
)

// Kinds lists all kinds.
var Kinds = []Kind{Connections, Heads, SmallBodies, Bodies, Answers}

// SmallBodyBytes is the largest body that counts as small, in bytes. Almost all bodies are small; they have a part of their
// own, as a few large ones take a whole part.
const SmallBodyBytes = 128 << 10

// shares are the parts of the kinds in the memory of the process. The rest, 0.38, is for the program, its own state (30 to
// 40 MB of 144) and what the garbage collector has not freed yet.
var shares = map[Kind]float64{Connections: 0.25, Heads: 0.08, SmallBodies: 0.05, Bodies: 0.16, Answers: 0.08}

// maxOwnerShare is the largest fraction of a part that one owner may hold, so that one key can't take all.
const maxOwnerShare = 0.75

// Budget holds the bytes in use by kind. Its methods are safe for concurrent use; a nil Budget grants everything.
type Budget struct {
	mu    sync.Mutex
	parts map[Kind]*part
}

type part struct {
	limit, used int64
	byOwner     map[string]int64
	waiting     []*waiter // in the order of their arrival
}

type waiter struct {
	owner   string
	bytes   int64
	granted chan struct{}
}

// New returns a budget for a process that may use so many bytes in all.
func New(total int64) *Budget {
	b := &Budget{parts: map[Kind]*part{}}
	for _, kind := range Kinds {
		b.parts[kind] = &part{byOwner: map[string]int64{}}
	}
	b.Resize(total)
	return b
}

// Resize sets the bytes that the process may use in all. What is held beyond them stays held until it is released.
func (b *Budget) Resize(total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for kind, p := range b.parts {
		p.limit = int64(shares[kind] * float64(total))
		p.grantWaiting()
	}
}

// TryAcquire takes bytes for an owner, and reports whether there were enough. An empty owner stands for many.
func (b *Budget) TryAcquire(kind Kind, owner string, bytes int64) bool {
	if b == nil || bytes <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.parts[kind]
	if len(p.waiting) > 0 || !p.has(owner, bytes) {
		return false
	}
	p.take(owner, bytes)
	return true
}

// Acquire is like TryAcquire but waits for bytes to be released until ctx ends, first come, first served.
func (b *Budget) Acquire(ctx context.Context, kind Kind, owner string, bytes int64) bool {
	if b.TryAcquire(kind, owner, bytes) {
		return true
	}
	w := &waiter{owner: owner, bytes: bytes, granted: make(chan struct{})}
	b.mu.Lock()
	p := b.parts[kind]
	p.waiting = append(p.waiting, w)
	p.grantWaiting()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range p.waiting {
		if other == w {
			p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
			p.grantWaiting()
			return false
		}
	}
	return true // granted at the same moment
}

// Release gives back bytes that an owner has acquired.
func (b *Budget) Release(kind Kind, owner string, bytes int64) {
	if b == nil || bytes <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.parts[kind]
	p.used -= bytes
	if owner != "" {
		if p.byOwner[owner] -= bytes; p.byOwner[owner] <= 0 {
			delete(p.byOwner, owner)
		}
	}
	p.grantWaiting()
}

// Load returns the bytes in use by a kind, and its part.
func (b *Budget) Load(kind Kind) (used, limit int64) {
	if b == nil {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.parts[kind].used, b.parts[kind].limit
}

// has reports whether an owner may take bytes. A holder that is alone may exceed the part, so that a single request is
// served on the smallest host.
func (p *part) has(owner string, bytes int64) bool {
	if p.used == 0 {
		return true
	}
	held := p.byOwner[owner]
	return p.used+bytes <= p.limit &&
		(owner == "" || held == 0 || held+bytes <= int64(maxOwnerShare*float64(p.limit)))
}

// ExceedsShare reports whether bytes are refused to an owner for its share of the part, whatever others release.
func (b *Budget) ExceedsShare(kind Kind, owner string, bytes int64) bool {
	if b == nil || owner == "" {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.parts[kind]
	held := p.byOwner[owner]
	return held > 0 && held+bytes > int64(maxOwnerShare*float64(p.limit))
}

func (p *part) take(owner string, bytes int64) {
	p.used += bytes
	if owner != "" {
		p.byOwner[owner] += bytes
	}
}

// grantWaiting grants bytes to those that wait, in order. An owner that has its share doesn't hold up the others.
func (p *part) grantWaiting() {
	kept := p.waiting[:0]
	blocked := false
	for _, w := range p.waiting {
		if blocked || !p.has(w.owner, w.bytes) {
			blocked = blocked || p.used+w.bytes > p.limit
			kept = append(kept, w)
			continue
		}
		p.take(w.owner, w.bytes)
		close(w.granted)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}
