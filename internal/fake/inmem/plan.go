package inmem

import "time"

// Plan describes the faults of one call on a link; the zero plan delivers everything at once.
type Plan struct {
	Delay           time.Duration // before the request arrives
	FrameDelay      time.Duration // before each frame arrives
	Drop            bool          // the request is lost and the caller gets no error
	CutAfter        int           // frames delivered before the connection breaks; 0 means never
	SilentAfter     int           // frames delivered before the connection goes silent for good; 0 means never
	DuplicateAfter  time.Duration // time from the request to a second copy of it; 0 means no copy
	DuplicateFrames bool          // delivers each frame twice
	SwapFrames      bool          // delivers the second and third frame in reverse order
	StrayFrame      bool          // delivers a frame of another attempt first
}

// Method is the kind of call that a plan is made for.
type Method string

// The kinds of calls that plans tell apart.
const (
	CallMethod   Method = "call"
	CancelMethod Method = "cancel"
	OtherMethod  Method = "other"
)

// Planner chooses the plan of each call; a nil Planner injects no faults.
type Planner func(m Method) Plan
