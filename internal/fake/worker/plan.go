package worker

import "time"

// Fault is how a call goes wrong.
type Fault string

// The faults.
const (
	None    Fault = ""
	Unsent  Fault = "unsent"  // the connection is refused
	Refuse  Fault = "refuse"  // answered without running
	Reject  Fault = "reject"  // found malformed
	Fail    Fault = "fail"    // runs, then answers with an error
	Crash   Fault = "crash"   // runs, then the connection breaks
	Die     Fault = "die"     // runs, then the whole upstream dies
	Silent  Fault = "silent"  // runs, then the connection says nothing more
	Short   Fault = "short"   // the answer ends early
	Stray   Fault = "stray"   // an answer to another call comes first
	Twice   Fault = "twice"   // each event comes twice
	Reorder Fault = "reorder" // the events come in reverse order
)

// Plan is the fate of one call.
type Plan struct {
	Delay  time.Duration // before the first event
	Step   time.Duration // between events
	Tokens int           // of a generation; 0 means 4
	Fault  Fault
	After  int // events before the fault
}
