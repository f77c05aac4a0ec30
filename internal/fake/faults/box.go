package faults

import (
	"sync"
	"time"
)

// Fault describes how a stand-in misbehaves; the zero value is healthy.
type Fault struct {
	// Slow multiplies service times; 0 means 1.
	Slow float64
	// Poison crashes the stand-in on a body that contains it.
	Poison string
	// RestartAfter is how long the stand-in stays down after a poisoned body.
	RestartAfter time.Duration
	// Silent calls are taken and never answered, one for each count.
	Silent int
	// Duplicate sends each event twice.
	Duplicate bool
	// Cut calls end without a last event, one for each count.
	Cut int
	// WrongID calls are answered under another attempt's ID, one for each count.
	WrongID int
	// LoseAnswer calls take effect and break the connection, one for each count.
	LoseAnswer int
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// EventLag is the age of the youngest cache event shown.
	EventLag time.Duration
	// EventGap hides each n-th cache event; 0 hides none.
	EventGap int64
}

// Box holds the fault in force.
type Box struct {
	mu sync.Mutex
	f  Fault
}

// Set replaces the fault.
func (b *Box) Set(f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.f = f
}

// Get returns the fault.
func (b *Box) Get() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.f
}

// Take returns the fault for one call and uses up the counted ones.
func (b *Box) Take() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.f
	spend(&b.f.Silent)
	spend(&b.f.Cut)
	spend(&b.f.WrongID)
	spend(&b.f.LoseAnswer)
	return f
}

func spend(n *int) {
	if *n > 0 {
		*n--
	}
}
