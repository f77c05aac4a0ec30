package lead

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/leader/origin"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
)

// Order is a request that needs stages, an engine, or both.
type Order struct {
	Fingerprint uint64 // the same whenever a caller sends the request again
	Stream      Stream
	Job         sched.Job
	Engine      place.Order
}

// Stream is the part of an order whose answer is a stream that the caller may take up; it is empty for any other.
type Stream struct {
	Key     uint64       // of the attempt that brings, or brought, its first event; see origin.Key; 0 if that is not known
	TakenUp bool         // the caller has events of it
	Repeats int          // decisions on the order before this submission that may be recorded
	Found   origin.Found // where it began, as its entry has looked it up; empty if it has not
}

// Decision says where a request runs, or why it is refused.
type Decision struct {
	Upstream   string   // ID of the engine; empty when refused
	Version    string   // of the engine's software
	Inputs     []string // handles of the results that the request reads
	Late       bool     // the request will miss its target
	Refused    sched.Reason
	RetryAfter time.Duration
	// Moved means that nothing was decided, and that another dispatcher resumes the order from Progress.
	Moved bool
	// Pending means that nothing is decided yet. If this dispatcher is lost, another one resumes from Progress.
	Pending  bool
	Progress []sched.Progress
}

// Crowded is the reason of refusals by engines that have too many prompts to read, or not enough memory, for a request.
const Crowded sched.Reason = "crowded"

// Problem is the reason why a request did not run on the engine that was picked for it.
type Problem string

// Problems that an entry reports with Retry.
const (
	ProblemRefused   Problem = "refused"   // the engine accepts no more requests
	ProblemFailed    Problem = "failed"    // the engine failed
	ProblemInputLost Problem = "inputGone" // a stage result that the request reads is lost
)

// Dispatcher accepts orders and replies with decisions. It is safe for concurrent use.
type Dispatcher interface {
	// Submit asks for a decision. Reply is called once with it, unless Ended comes first, and before that once for each
	// pending decision.
	Submit(o Order, reply func(Decision))
	// Retry asks for another decision after a problem with the engine that was picked. begunAt is the version at which the
	// stream goes on, empty if the caller has no events yet.
	Retry(id, engine string, why Problem, begunAt string, reply func(Decision))
	// FirstByte reports that the answer has begun. The results of its stages are released. With keep, the request may still
	// need another decision.
	FirstByte(id string, keep bool)
	// Ended reports that the request is over; failed means that its engine failed.
	Ended(id, engine string, failed bool)
	// Crashed reports a request under which an upstream crashed.
	Crashed(r crash.Report)
	// UpstreamNotice reports what an upstream told an entry.
	UpstreamNotice(entry string, n notices.Notice)
	// Served reports that an upstream answered a request with this fingerprint.
	Served(fingerprint uint64)
}

// Decider is a Dispatcher that makes the decisions itself. It is safe for concurrent use.
type Decider interface {
	Dispatcher
	// Adopt counts requests of an entry that run on engines by the decision of another process. With whole, these are all
	// that the entry has.
	Adopt(entry string, runs []place.Run, whole bool)
	// Abandon says that requests may run on although their entry is out of touch. Ended comes after it.
	Abandon(ids []string)
	// Recall asks for an undecided order back. The reply is a decision with Moved, unless another decision comes first.
	Recall(id string)
}
