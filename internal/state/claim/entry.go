package claim

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// State is what the stream says about an action.
type State string

// The states.
const (
	Free        State = "released" // claims were made and given up; none holds the key
	Claimed     State = "claimed"  // the holder may be running it
	OutcomeLost State = "lost"     // the holder ran it and does not know what became of it
	Done        State = "done"     // it ran and its outcome is recorded
	Settled     State = "settled"  // an operator decided
)

// Entry is what is known about one action.
type Entry struct {
	State  State
	Nonce  string // claim that holds or held the key; empty when done
	Owner  string // empty when done
	Body   BodyHash
	Until  time.Time // deadline of the holder's request
	Offset int64     // of the record that led to the state
	// Verdict, Author and Reason are those of a settlement; an action that is done ran.
	Verdict fault.Verdict
	Author  string
	Reason  string
}

// entry is an Entry with the claims that can't hold the key any more.
type entry struct {
	Entry
	dead map[string]bool
}

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

// claim takes hold of a free key; a claim that comes later or again is dead.
func (e *entry) claim(offset int64, r Record) {
	if e.dead[r.Nonce] || r.Nonce == e.Nonce {
		return
	}
	body := HashBody(r.BodyDigest)
	otherBody := e.Body != BodyHash{} && e.Body != body
	if e.State != Free || otherBody {
		e.kill(r.Nonce)
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

// release frees the key from its holder, or kills a claim that has not come yet.
func (e *entry) release(offset int64, r Record) {
	if e.State == Claimed && e.Nonce == r.Nonce {
		e.Entry = Entry{State: Free, Body: e.Body, Offset: offset}
	}
	if e.Nonce != r.Nonce {
		e.kill(r.Nonce)
	}
}

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

// settle ends a key whose outcome is unknown; it is never free again.
func (e *entry) settle(offset int64, r Record) {
	if e.Nonce != r.Nonce || (e.State != Claimed && e.State != OutcomeLost) {
		return
	}
	e.State = Settled
	e.dead = nil
	e.Verdict = r.Verdict
	e.Author = r.Author
	e.Reason = r.Reason
	e.Offset = offset
}

// kill makes a claim dead; a key that can't become free again needs no list of them.
func (e *entry) kill(nonce string) {
	if e.State == Settled {
		return
	}
	if e.dead == nil {
		e.dead = map[string]bool{}
	}
	e.dead[nonce] = true
}
