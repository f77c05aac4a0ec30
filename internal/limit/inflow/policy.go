package inflow

import (
	"maps"
	"slices"
	"time"
)

const (
	kindTTL        = 60 * time.Second // after its last request a route no longer counts
	lengthRatio    = 2.0              // between the mean prompts of two routes that counts as different
	smoothing      = 0.05             // of the mean length of a route's prompts
	targetPart     = 0.85             // of its target that may pass until an engine has read the prompt; its first event takes the rest
	yieldPart      = 0.45             // of the least target of more urgent requests that may be taken up before them
	latePart       = 0.25             // of the least target of all that requests may take up even if they will be late
	yieldMemory    = 0.9              // of an engine's memory that requests may fill that yield to others
	floorPart      = 0.05             // of what the engines read that each route gets despite more urgent ones
	floorBurst     = 1 * time.Second  // for which an unused floor is kept
	overloadGap    = 3 * time.Second  // without a refusal, after which an overload is over
	minRetryAfter  = 1 * time.Second
	maxRetryAfter  = 4 * time.Second
	retryRankDelay = 250 * time.Millisecond // by which each rank comes back later than the next more urgent one
	retrySpread    = 0.5                    // of the time until a retry, over which callers are spread
)

// Request is what the policy knows of a request.
type Request struct {
	Route  string
	Rank   int // 0 is the most urgent
	Tokens int // of the prompt
	Target time.Duration
	Gap    time.Duration // the longest pause between two events that is in time; 0 for any
	Left   time.Duration // until the target; the request is late if it is not positive
	Staged bool          // the stages of the request are done, and their work is lost if it is refused
}

// Policy bounds the backlog of the engines of one pool. It is not safe for concurrent use.
type Policy struct {
	random      func() float64 // in [0, 1)
	kinds       map[kindKey]*kind
	refusedAt   time.Time // zero for never
	refusedFrom time.Time // when the present overload began
}

// kindKey names a kind of requests. Teams may have another rank than the route.
type kindKey struct {
	route string
	rank  int
}

func (r Request) key() kindKey { return kindKey{r.Route, r.Rank} }

// kind is what is known of the requests of a route and rank.
type kind struct {
	Request
	meanTokens float64
	seen       time.Time
	floor      float64 // tokens that it may still have read despite more urgent requests
	floorAt    time.Time
}

// New returns a Policy without routes, which bounds nothing. random returns numbers in [0, 1).
func New(random func() float64) *Policy { return &Policy{random: random, kinds: map[kindKey]*kind{}} }

// Observe learns of a route from one of its requests.
func (p *Policy) Observe(r Request, now time.Time) {
	k := p.kinds[r.key()]
	if k == nil {
		k = &kind{meanTokens: float64(r.Tokens), floorAt: now}
		p.kinds[r.key()] = k
	}
	k.Request, k.seen = r, now
	k.meanTokens += smoothing * (float64(r.Tokens) - k.meanTokens)
}

// Active reports whether the policy bounds the backlog: if routes have different ranks, or prompts of different length
// beside a stream with a bound on its pauses.
func (p *Policy) Active(now time.Time) bool {
	p.forget(now)
	first, shortest, longest, ranked, paced := true, 0.0, 0.0, false, false
	var rank int
	for _, k := range p.kinds {
		if k.Target <= 0 {
			continue
		}
		if first {
			first, shortest, longest, rank = false, k.meanTokens, k.meanTokens, k.Rank
		}
		shortest, longest = min(shortest, k.meanTokens), max(longest, k.meanTokens)
		ranked = ranked || k.Rank != rank
		paced = paced || k.Gap > 0
	}
	return ranked || (paced && longest >= lengthRatio*shortest)
}

// forget removes the routes without requests of late.
func (p *Policy) forget(now time.Time) {
	maps.DeleteFunc(p.kinds, func(_ kindKey, k *kind) bool { return now.Sub(k.seen) > kindTTL })
}

// Bound says which engines may take a request: those that keep within Ahead and Total, or within Late.
type Bound struct {
	Ahead  time.Duration // longest expected time to read the prompts before that of the request
	Total  time.Duration // longest expected time to read those and its own
	Late   time.Duration // longest expected time to read the prompts before it, even if it will be late
	Memory float64       // part of the engine's memory that may be filled with it
}

// BoundOf returns the bounds for a request.
func (p *Policy) BoundOf(r Request) Bound {
	least, urgent := time.Duration(0), time.Duration(0) // targets of all, and of more urgent requests
	ranks := map[int]bool{}
	for _, k := range p.kinds {
		if k.Target <= 0 {
			continue
		}
		if least == 0 || k.Target < least {
			least = k.Target
		}
		if k.Rank >= r.Rank {
			continue
		}
		ranks[k.Rank] = true
		if urgent == 0 || k.Target < urgent {
			urgent = k.Target
		}
	}
	b := Bound{Late: scale(least, latePart), Memory: 1}
	if r.Staged {
		b.Late = scale(least, yieldPart)
	}
	if r.Left > 0 {
		b.Ahead, b.Total = scale(r.Left, targetPart), scale(r.Left, targetPart)
	}
	if r.Left <= 0 || (len(ranks) > 0 && !r.Staged) {
		b.Memory = yieldMemory
	}
	if len(ranks) > 0 && !r.Staged {
		b.Ahead = min(b.Ahead, scale(urgent, yieldPart/float64(len(ranks))))
	}
	return b
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// TakeFloor reports whether a request in time may be placed despite the bound that more urgent ones set, as its route has
// had less than its floor of what the engines read, in tokens per ms.
func (p *Policy) TakeFloor(r Request, tokens int, rate float64, now time.Time) bool {
	k := p.kinds[r.key()]
	if k == nil || r.Left <= 0 {
		return false
	}
	perMs := floorPart * rate
	most := max(float64(tokens), perMs*float64(floorBurst/time.Millisecond))
	k.floor = min(most, k.floor+perMs*float64(now.Sub(k.floorAt))/float64(time.Millisecond))
	k.floorAt = now
	if k.floor < float64(tokens) {
		return false
	}
	k.floor -= float64(tokens)
	return true
}

// Refuse records a refusal and returns when the caller is to come back. An overload is expected to last as long again as
// it has lasted. The most urgent callers come back first.
func (p *Policy) Refuse(r Request, now time.Time) (retryAfter time.Duration) {
	if p.refusedAt.IsZero() || now.Sub(p.refusedAt) > overloadGap {
		p.refusedFrom = now
	}
	p.refusedAt = now
	var ranks []int
	for _, k := range p.kinds {
		if k.Rank < r.Rank && !slices.Contains(ranks, k.Rank) {
			ranks = append(ranks, k.Rank)
		}
	}
	wait := min(maxRetryAfter, max(minRetryAfter, now.Sub(p.refusedFrom)))
	return scale(wait, 1+retrySpread*p.random()) + time.Duration(len(ranks))*retryRankDelay
}
