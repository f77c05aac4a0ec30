package plan

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/place/lease"
)

// Runner is a model runner as the planner sees it.
type Runner struct {
	Name   string
	Zone   string
	Live   bool         // may get new work
	Models []string     // models that its pool allows
	Target lease.Target // its target in the plan in force, or what it holds
	Loaded bool         // it holds its target
}

// Requirement is what the configuration says of a model.
type Requirement struct {
	Model    string
	Adapters []string
	Version  string
	Role     string
	Runners  int // least number, from the preset in force
}

// Demand is the work that one pipeline asks of a model.
type Demand struct {
	Pipeline  string
	Model     string
	PerSecond float64 // requests a second
	Seconds   float64 // a runner's time for each request
}

// Input is all that a plan depends on.
type Input struct {
	Now          time.Time
	Runners      []Runner
	Requirements []Requirement
	Demands      []Demand
	MaxLoads     int                  // loads at once that the weight store's rate allows; see ConcurrentLoads
	ShortSince   map[string]time.Time // Output.ShortSince of the plan before
	MoveAfter    time.Duration        // how long a model must be short before runners move to it on demand alone
}

// Move is one change of a runner's target.
type Move struct {
	Runner string
	From   lease.Target
	To     lease.Target
	Reason Reason
}

// Reason says why a runner moves.
type Reason string

// The reasons.
const (
	// ReasonPreset moves a runner because the preset asks for more runners of a model.
	ReasonPreset Reason = "preset"
	// ReasonDemand moves a runner because a model has been short for long enough.
	ReasonDemand Reason = "demand"
	// ReasonVersion reloads a runner with the version or the adapters that are wanted now.
	ReasonVersion Reason = "version"
	// ReasonIdle gives a runner its first target.
	ReasonIdle Reason = "idle"
)

// Output is a plan and what to pass to the next one.
type Output struct {
	Targets    map[string]lease.Target // of all runners that have one
	Moves      []Move
	ShortSince map[string]time.Time // since when each model has been short of runners for its demand
	Missing    map[string]int       // runners that the preset asks for and nobody can give, by model
}

// ConcurrentLoads is how many loads of a size may run at once so that each takes at most the given time at the store's rate.
func ConcurrentLoads(bytesPerSecond, size int64, within time.Duration) int {
	if size <= 0 || bytesPerSecond <= 0 {
		return 1
	}
	return max(1, int(float64(bytesPerSecond)*within.Seconds()/float64(size)))
}
