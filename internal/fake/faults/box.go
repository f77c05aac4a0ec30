package faults

import (
	"sync"
	"time"
)

// Fault describes how a stand-in misbehaves; the zero value is healthy.
type Fault struct {
	// Slow is a factor for all service times; 0 means 1.
	Slow float64
	// Poison is a text that crashes the stand-in when a body contains it; empty crashes nothing.
	Poison string
	// RestartAfter is how long the stand-in stays down after a crash by a poisoned body.
	RestartAfter time.Duration
	// Silent is the number of coming calls that are accepted and never answered.
	Silent int
	// Duplicate makes the stand-in send each event twice.
	Duplicate bool
	// Cut is the number of coming calls that end without a last event.
	Cut int
	// WrongID is the number of coming calls that are answered with another attempt's ID.
	WrongID int
	// LoseAnswer is the number of coming calls that take effect and then break the connection.
	LoseAnswer int
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// EventLag is the minimum age of the cache events that are returned.
	EventLag time.Duration
	// EventGap hides every n-th cache event; 0 hides none.
	EventGap int64
}

// Box holds the fault in force; its methods are safe for concurrent use.
type Box struct {
	mu    sync.Mutex
	fault Fault
}

// Set replaces the fault in force.
func (b *Box) Set(f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
}

// Get returns the fault in force.
func (b *Box) Get() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault
}

// Take returns the fault for one call and decrements its counters.
func (b *Box) Take() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.fault
	decrement(&b.fault.Silent)
	decrement(&b.fault.Cut)
	decrement(&b.fault.WrongID)
	decrement(&b.fault.LoseAnswer)
	return f
}

func decrement(n *int) {
	if *n > 0 {
		*n--
	}
}
