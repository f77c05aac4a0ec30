package faults

import (
	"sync"
	"time"
)

// Fault describes how a stand-in misbehaves; the zero value is healthy.
type Fault struct {
	// SlowFactor is a factor for all service times; 0 means 1.
	SlowFactor float64
	// Poison is a text that crashes the stand-in when a body contains it; empty crashes nothing.
	Poison string
	// RestartAfter is how long the stand-in stays down after a crash by a poisoned body.
	RestartAfter time.Duration
	// SilentCalls is the number of coming calls that are accepted and never answered.
	SilentCalls int
	// Duplicate makes the stand-in send each event twice.
	Duplicate bool
	// CutCalls is the number of coming calls that end without a last event.
	CutCalls int
	// WrongIDCalls is the number of coming calls that are answered with another attempt's ID.
	WrongIDCalls int
	// LostAnswers is the number of coming calls that take effect and then break the connection.
	LostAnswers int
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// EventLag is the minimum age of the cache events that are returned.
	EventLag time.Duration
	// EventGap hides every n-th cache event; 0 hides none.
	EventGap int64
}

// Injector holds the fault in force; its methods are safe for concurrent use.
type Injector struct {
	mu    sync.Mutex
	fault Fault
}

// Set replaces the fault in force.
func (i *Injector) Set(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = f
}

// Get returns the fault in force.
func (i *Injector) Get() Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault
}

// Take returns the fault for one call and decrements its counters.
func (i *Injector) Take() Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.fault
	decrement(&i.fault.SilentCalls)
	decrement(&i.fault.CutCalls)
	decrement(&i.fault.WrongIDCalls)
	decrement(&i.fault.LostAnswers)
	return f
}

func decrement(n *int) {
	if *n > 0 {
		*n--
	}
}
