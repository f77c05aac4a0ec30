package worker

import "time"

// Fault is the way in which a call fails.
type Fault string

// The faults.
const (
	None             Fault = ""
	RefuseConnection Fault = "unsent"  // the connection is refused
	Refuse           Fault = "refuse"  // the call is refused without running
	Reject           Fault = "reject"  // the call is rejected as malformed
	Fail             Fault = "fail"    // runs, then returns an error
	Crash            Fault = "crash"   // runs, then the connection breaks
	CrashWorker      Fault = "die"     // runs, then the whole upstream crashes
	Silent           Fault = "silent"  // runs, then the connection goes silent
	Truncate         Fault = "short"   // the answer ends early
	Stray            Fault = "stray"   // an answer to another call comes first
	Duplicate        Fault = "twice"   // each event comes twice
	Reorder          Fault = "reorder" // the events come in reverse order
)

// Plan describes how one call runs and fails.
type Plan struct {
	Delay  time.Duration // before the first event
	Step   time.Duration // between events
	Tokens int           // length of a generation; 0 means 4
	Fault  Fault
	After  int // number of events before the fault
}
