package claim

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// State is the state of an action according to the stream.
type State string

// The states.
const (
	Free        State = "released" // every claim was released; none holds the key
	Claimed     State = "claimed"  // the holder may be running it
	OutcomeLost State = "lost"     // the holder ran it and does not know its outcome
	Done        State = "done"     // it ran and its outcome is recorded
	Settled     State = "settled"  // an operator decided its outcome
)

// Entry is the recorded state of one action.
type Entry struct {
	State  State
	Nonce  string // nonce of the claim that holds or held the key; empty when done
	Owner  string // empty when done
	Body   BodyHash
	Until  time.Time // deadline of the holder's request
	Offset int64     // offset of the record that led to the state
	// Verdict, Author and Reason are those of the settlement; the verdict of a done action is fault.Ran.
	Verdict fault.Verdict
	Author  string
	Reason  string
}

// entry is an Entry with the nonces of the claims that can no longer hold the key.
type entry struct {
	Entry
	deadNonces map[string]bool
}

// apply applies a record of this action.
func (e *entry) apply(offset int64, r Record) {
	switch r.Kind {
	case Claim:
		e.claim(offset, r)
	case Release:
		e.release(offset, r)
	case Outcome:
		e.outcome(offset, r)
	case Settle:
		e.settle(offset, r)
	}
}

// claim gives a free key to a claim; a claim of a key that is not free, or with another body, is dead.
func (e *entry) claim(offset int64, r Record) {
	if e.deadNonces[r.Nonce] || r.Nonce == e.Nonce {
		return
	}
	body := HashBody(r.BodyDigest)
	otherBody := e.Body != BodyHash{} && e.Body != body
	if e.State != Free || otherBody {
		e.markDead(r.Nonce)
		return
	}
	e.Entry = Entry{
		State:  Claimed,
		Nonce:  r.Nonce,
		Owner:  r.Owner,
		Body:   body,
		Until:  time.UnixMilli(r.UntilMs),
		Offset: offset,
	}
}

// release frees the key from its holder, or marks a claim that has not arrived yet as dead.
func (e *entry) release(offset int64, r Record) {
	if e.State == Claimed && e.Nonce == r.Nonce {
		e.Entry = Entry{State: Free, Body: e.Body, Offset: offset}
	}
	if e.Nonce != r.Nonce {
		e.markDead(r.Nonce)
	}
}

// outcome records the outcome that the holder reports; a verdict other than fault.Ran means that it is not known.
func (e *entry) outcome(offset int64, r Record) {
	if e.Nonce != r.Nonce || (e.State != Claimed && e.State != OutcomeLost) {
		return
	}
	e.Offset = offset
	e.State = Done
	if r.Verdict != fault.Ran {
		e.State = OutcomeLost
	}
}

// settle records an operator's decision for a key whose outcome is unknown; the key is never free again.
func (e *entry) settle(offset int64, r Record) {
	if e.Nonce != r.Nonce || (e.State != Claimed && e.State != OutcomeLost) {
		return
	}
	e.State = Settled
	e.deadNonces = nil
	e.Verdict = r.Verdict
	e.Author = r.Author
	e.Reason = r.Reason
	e.Offset = offset
}

// markDead marks a claim as dead; a settled key can never become free again and needs no list of dead claims.
func (e *entry) markDead(nonce string) {
	if e.State == Settled {
		return
	}
	if e.deadNonces == nil {
		e.deadNonces = map[string]bool{}
	}
	e.deadNonces[nonce] = true
}
