package claim

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// State is what the stream says about an action.
type State string

// The states.
const (
	Free    State = "released" // claims were made and given up; none holds the key
	Claimed State = "claimed"  // the holder may be running it
	Lost    State = "lost"     // the holder ran it and does not know what became of it
	Done    State = "done"     // it ran and its outcome is recorded
	Settled State = "settled"  // an operator decided
)

// Entry is what is known about one action.
type Entry struct {
	State        State
	Nonce        string // claim that holds or held the key
	Owner        string
	BodyDigest   string
	Until        time.Time // deadline of the holder's request
	Verdict      fault.Verdict
	Answer       bool // whether the outcome record holds the answer
	AnswerDigest string
	Author       string
	Reason       string
	Offset       int64 // of the record that led to the state
}

// entry is an Entry with the claims that can't hold the key any more.
type entry struct {
	Entry
	minted time.Time
	dead   map[string]bool
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
	otherBody := e.BodyDigest != "" && e.BodyDigest != r.BodyDigest
	if e.State != Free || otherBody {
		e.kill(r.Nonce)
		return
	}
	e.Entry = Entry{
		State:      Claimed,
		Nonce:      r.Nonce,
		Owner:      r.Owner,
		BodyDigest: r.BodyDigest,
		Until:      time.UnixMilli(r.UntilMs),
		Offset:     offset,
	}
}

// release frees the key from its holder, or kills a claim that has not come yet.
func (e *entry) release(offset int64, r Record) {
	if e.State == Claimed && e.Nonce == r.Nonce {
		e.Entry = Entry{State: Free, BodyDigest: e.BodyDigest, Offset: offset}
	}
	if e.Nonce != r.Nonce {
		e.kill(r.Nonce)
	}
}

func (e *entry) outcome(offset int64, r Record) {
	if e.Nonce != r.Nonce || (e.State != Claimed && e.State != Lost) {
		return
	}
	e.Offset = offset
	e.Verdict = r.Verdict
	if r.Verdict != fault.Ran {
		e.State = Lost
		return
	}
	e.State = Done
	e.dead = nil
	e.Answer = r.Answer != nil
	e.AnswerDigest = r.AnswerDigest
}

// settle ends a key whose outcome is unknown; it is never free again.
func (e *entry) settle(offset int64, r Record) {
	if e.Nonce != r.Nonce || (e.State != Claimed && e.State != Lost) {
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
	if e.State == Done || e.State == Settled {
		return
	}
	if e.dead == nil {
		e.dead = map[string]bool{}
	}
	e.dead[nonce] = true
}
