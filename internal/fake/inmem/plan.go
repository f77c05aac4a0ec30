package inmem

import "time"

// Plan is the fate of one call on a link; the zero plan delivers it whole at once.
type Plan struct {
	Delay      time.Duration // before the request arrives
	FrameDelay time.Duration // before each frame arrives
	Drop       bool          // the request never arrives and nobody learns of it
	CutAfter   int           // frames until the connection breaks, if above 0
	SilentFrom int           // frames until the connection goes silent for good, if above 0
	CopyAfter  time.Duration // delivers a second copy of the request this much later, if above 0
	TwiceFrame bool          // delivers each frame twice
	Swap       bool          // delivers the second and third frame in reverse order
	Stray      bool          // delivers a frame of another attempt first
}

// Method names what a plan is asked for.
type Method string

// The methods.
const (
	CallMethod   Method = "call"
	CancelMethod Method = "cancel"
	OtherMethod  Method = "other"
)

// Planner chooses the fate of a call; nil delivers everything.
type Planner func(m Method) Plan
