package kvmem

import (
	"maps"
	"time"
)

// marginPart of an engine's memory is left free by all that have a share. It is what a process that has just been replaced
// as leader may still use.
const marginPart = 0.05

// Request is a request that runs on an engine.
type Request struct {
	ID     string
	Owner  string    // the entry that sent it
	Engine string    // ID
	Tokens int       // of its prompt and, at most, of its output
	Until  time.Time // its deadline
}

// reservation is the memory of one request.
type reservation struct {
	Request
	abandoned bool // its entry is out of touch, and may still read the answer
}

// Options are the dependencies of a Budget.
type Options struct {
	// Share returns the part of the engines' memory that this process may give out: what it leads of all entries. It is 0
	// for one that follows another.
	Share func() float64
	Now   func() time.Time
}

// Budget reserves the memory of engines for the requests on them. It is not safe for concurrent use.
type Budget struct {
	opts     Options
	byID     map[string]reservation
	reserved map[string]int // tokens by engine
}

// New returns a Budget without reservations.
func New(o Options) *Budget {
	return &Budget{opts: o, byID: map[string]reservation{}, reserved: map[string]int{}}
}

// Limit returns how many of an engine's tokens of memory this process may give out.
func (b *Budget) Limit(capacity int) int {
	share := b.opts.Share()
	if share <= 0 {
		return int(marginPart * float64(capacity))
	}
	return int((1 - marginPart) * min(1, share) * float64(capacity))
}

// Fits reports whether an engine has memory for so many tokens more, if part of what this process may give out is to be
// used at most. A request that is larger than that gets an engine of its own, if it fits at all and nobody else has a
// share.
func (b *Budget) Fits(engine string, tokens, capacity int, part float64) bool {
	used := b.reserved[engine]
	if used == 0 && b.opts.Share() >= 1 {
		return tokens <= capacity
	}
	return used+tokens <= int(part*float64(b.Limit(capacity)))
}

// Reserve reserves the memory of a request, in place of what its ID had reserved before.
func (b *Budget) Reserve(r Request) {
	b.drop(r.ID)
	b.byID[r.ID] = reservation{Request: r}
	b.reserved[r.Engine] += r.Tokens
}

// Release frees the memory of a request that is over, unless it was abandoned.
func (b *Budget) Release(id string) {
	if !b.byID[id].abandoned {
		b.drop(id)
	}
}

// Abandon keeps the memory of a request until its deadline, unless its entry reports again.
func (b *Budget) Abandon(id string) {
	if r, known := b.byID[id]; known {
		r.abandoned = true
		b.byID[id] = r
	}
}

// Reported frees the abandoned requests of an entry that is back in touch. Those that still run are to be reserved anew.
func (b *Budget) Reported(owner string) {
	for id, r := range b.byID {
		if r.abandoned && r.Owner == owner {
			b.drop(id)
		}
	}
}

// overdueGrace is the time after its deadline until a request whose end was not told counts as over.
const overdueGrace = 10 * time.Second

// Sweep frees abandoned requests whose deadline has passed, and others whose deadline has passed for overdueGrace.
func (b *Budget) Sweep() {
	now := b.opts.Now()
	for id, r := range b.byID {
		if (r.abandoned && !now.Before(r.Until)) || (!r.Until.IsZero() && now.Sub(r.Until) > overdueGrace) {
			b.drop(id)
		}
	}
}

// Reserved returns a copy of the reserved tokens by engine.
func (b *Budget) Reserved() map[string]int { return maps.Clone(b.reserved) }

func (b *Budget) drop(id string) {
	r, known := b.byID[id]
	if !known {
		return
	}
	delete(b.byID, id)
	if b.reserved[r.Engine] -= r.Tokens; b.reserved[r.Engine] <= 0 {
		delete(b.reserved, r.Engine)
	}
}
