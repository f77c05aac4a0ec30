package shed

import (
	"slices"
	"sync"
	"time"
)

const (
	window           = 500 * time.Millisecond // of the waits for the processor that count
	waitsPerRequest  = 5                      // times that a request waits for the processor: head, body, decision, answer, its end
	minBusy          = 0.8                    // of the share of the processor; below it, fewer requests would not shorten the waits
	firstRatio       = 0.75                   // of these waits to the target of a request, from which on some are refused
	fullRatio        = 1.5                    // from which on maxRefused are refused
	maxRefused       = 0.9                    // so that some pass and show when the process can serve again
	rankWeight       = 0.25                   // by which each rank adds to the ratio, so that less urgent requests go first
	leaderWeight     = 2                      // the waits of a leader are added to the requests of all entries
	maxMemory        = 0.9                    // of the limit
	minDescriptors   = 64                     // left
	spareDescriptors = 30                     // one in so many descriptors is left
	shortTarget      = 1 * time.Second        // for which Short reports
	minRetryAfter    = 300 * time.Millisecond
	maxRetryAfter    = 1 * time.Second
)

// Resource is what the process is short of.
type Resource string

// The resources of a process; None if it is not short of any.
const (
	None        Resource = ""
	Processor   Resource = "processor"
	Memory      Resource = "memory"
	Descriptors Resource = "descriptors"
)

// Usage is a measurement of a resource; a Limit of 0 stands for none.
type Usage struct{ Used, Limit int64 }

// Options are the dependencies of a Policy.
type Options struct {
	// Leads reports whether other processes wait for this one.
	Leads  func() bool
	Random func() float64 // from 0 to 1
	Now    func() time.Time
}

// wait is one measured wait for the processor.
type wait struct {
	at   time.Time
	took time.Duration
}

// Policy decides which requests are refused; it is safe for concurrent use.
type Policy struct {
	opts        Options
	mu          sync.Mutex
	waits       []wait // of the window, by time
	median      time.Duration
	busy        float64 // part of its share of the processor that the process used
	memory      Usage
	descriptors Usage
}

// New returns a policy that refuses nothing until it is told of a shortage.
func New(o Options) *Policy { return &Policy{opts: o} }

// ObserveWait records how long the process waited for the processor.
func (p *Policy) ObserveWait(took time.Duration) {
	now := p.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits = append(p.waits, wait{now, max(0, took)})
	p.waits = slices.DeleteFunc(p.waits, func(w wait) bool { return now.Sub(w.at) > window })
	sorted := make([]time.Duration, 0, len(p.waits))
	for _, w := range p.waits {
		sorted = append(sorted, w.took)
	}
	slices.Sort(sorted)
	p.median = sorted[(len(sorted)-1)/2]
}

// ObserveUsage records which part of its share of the processor the process used lately, and the memory, in bytes, and
// the descriptors that it uses.
func (p *Policy) ObserveUsage(busy float64, memory, descriptors Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy, p.memory, p.descriptors = busy, memory, descriptors
}

// Wait returns the median of the waits for the processor in the last half second.
func (p *Policy) Wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.median
}

// Short returns what the process is short of for requests with rank 0 and a target of shortTarget; None if of nothing.
func (p *Policy) Short() Resource {
	p.mu.Lock()
	defer p.mu.Unlock()
	if short := p.exhausted(); short != None {
		return short
	}
	if p.refusedPart(0, shortTarget, p.median, p.busy) > 0 {
		return Processor
	}
	return None
}

// Chance returns what the process is short of for a request with the given rank and target, and the part of such requests
// that is refused for it, from 0 to 1.
func (p *Policy) Chance(rank int, target time.Duration) (Resource, float64) {
	p.mu.Lock()
	short, median, busy := p.exhausted(), p.median, p.busy
	p.mu.Unlock()
	if short != None {
		return short, 1
	}
	if target > 0 {
		if part := p.refusedPart(rank, target, median, busy); part > 0 {
			return Processor, part
		}
	}
	return None, 0
}

// exhausted returns memory or descriptors if there is not enough of them for any request.
func (p *Policy) exhausted() Resource {
	switch {
	case p.descriptors.Limit > 0 &&
		p.descriptors.Limit-p.descriptors.Used < max(minDescriptors, p.descriptors.Limit/spareDescriptors):
		return Descriptors
	case p.memory.Limit > 0 && float64(p.memory.Used) > maxMemory*float64(p.memory.Limit):
		return Memory
	}
	return None
}

// Refuse reports what the process is too short of to serve a request with the given rank and target, and when its caller
// may come back; None if it is to be served. A target of 0 stands for none.
func (p *Policy) Refuse(rank int, target time.Duration) (Resource, time.Duration) {
	short, part := p.Chance(rank, target)
	if short == None || (part < 1 && p.opts.Random() >= part) {
		return None, 0
	}
	return short, minRetryAfter + time.Duration(p.opts.Random()*float64(maxRetryAfter-minRetryAfter))
}

// refusedPart returns the part of the requests with a rank and a target that is refused for want of the processor.
func (p *Policy) refusedPart(rank int, target, median time.Duration, busy float64) float64 {
	if busy < minBusy {
		return 0
	}
	ratio := float64(waitsPerRequest*median) / float64(target) * (1 + rankWeight*float64(max(0, rank)))
	if p.opts.Leads() {
		ratio *= leaderWeight
	}
	return maxRefused * min(1, max(0, (ratio-firstRatio)/(fullRatio-firstRatio)))
}
