package lead

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

// Order is a request that needs stages, an engine, or both.
type Order struct {
	Fingerprint uint64 // the same for all visits of a caller with a request
	Job         sched.Job
	Engine      place.Order
}

// Decision says where a request runs, or that it does not.
type Decision struct {
	Upstream   string   // ID of the engine; empty when refused
	Inputs     []string // handles of the results that the request reads
	Late       bool     // the target can't be met
	Refused    sched.Reason
	RetryAfter time.Duration
	// Moved says that nothing was decided, and that another desk is to go on from Progress.
	Moved bool
	// Pending says that nothing is decided yet; if this desk is lost, another one can go on from Progress.
	Pending  bool
	Progress []sched.Progress
}

// Problem says why a request that was placed did not run.
type Problem string

// The problems.
const (
	ProblemRefused   Problem = "refused"   // the engine takes no more
	ProblemFailed    Problem = "failed"    // the engine failed
	ProblemInputGone Problem = "inputGone" // a result of a stage is lost
)

// Desk takes orders; it is safe for concurrent use.
type Desk interface {
	// Submit asks for a decision; reply is called once, unless Ended comes first, and before that for each pending one.
	Submit(o Order, reply func(Decision))
	// Again asks for another decision after a problem with the engine that was decided on.
	Again(id, engine string, why Problem, reply func(Decision))
	// FirstByte says that the answer has begun; unless keep is set, the results of its stages are released.
	FirstByte(id string, keep bool)
	// Ended says that the request is over; failed says that its engine failed it.
	Ended(id, engine string, failed bool)
	// Crashed says that a lifetime of an upstream broke down while it ran a request with this fingerprint, sent at a time.
	Crashed(fingerprint uint64, lifetime string, sent time.Time)
	// Told passes on what an upstream said to an entry.
	Told(entry string, n notices.Notice)
	// Served says that an upstream answered a request with this fingerprint.
	Served(fingerprint uint64)
}

// Leader is a Desk that decides itself; it is safe for concurrent use.
type Leader interface {
	Desk
	// Recall asks for an order back that is not decided on; its reply is a decision with Moved, unless another one comes first.
	Recall(id string)
}
