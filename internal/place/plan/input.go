package plan

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/place/lease"
)

// Runner is a model runner as the planner sees it.
type Runner struct {
	Name   string
	Zone   string
	Live   bool         // accepts new work
	Models []string     // models that its pool may load
	Target lease.Target // target in the current plan; without one, what the runner has loaded
	Loaded bool         // has loaded its target
}

// Requirement is how a model must be placed according to the configuration.
type Requirement struct {
	Model    string
	Adapters []string
	Version  string
	Role     string
	Runners  int // minimum number of runners, from the active preset
}

// Demand is the load that one pipeline puts on a model.
type Demand struct {
	Pipeline  string
	Model     string
	PerSecond float64 // requests a second
	Seconds   float64 // runner time per request
}

// Input holds everything that a plan depends on.
type Input struct {
	Now          time.Time
	Runners      []Runner
	Requirements []Requirement
	Demands      []Demand
	MaxLoads     int                  // concurrent loads that the weight store's bandwidth allows; see ConcurrentLoads
	ShortSince   map[string]time.Time // Output.ShortSince of the previous plan
	MoveAfter    time.Duration        // how long a model must have too few runners for its demand to get another
}

// Move changes the target of one runner.
type Move struct {
	Runner string
	From   lease.Target
	To     lease.Target
	Reason Reason
}

// Reason is why a runner's target changes.
type Reason string

// The reasons.
const (
	// ReasonPreset moves a runner to a model that has fewer runners than the preset requires.
	ReasonPreset Reason = "preset"
	// ReasonDemand moves a runner to a model that has been short of runners for Input.MoveAfter.
	ReasonDemand Reason = "demand"
	// ReasonVersion reloads a runner with the version or adapters that the configuration now requires.
	ReasonVersion Reason = "version"
	// ReasonIdle assigns a target to a runner that has none.
	ReasonIdle Reason = "idle"
)

// Output is a plan together with the state that the next one needs.
type Output struct {
	Targets    map[string]lease.Target // by runner; only those that have one
	Moves      []Move
	ShortSince map[string]time.Time // since when each model has had too few runners for its demand
	Missing    map[string]int       // by model: runners that the preset requires and that could not be assigned
}

// ConcurrentLoads returns how many loads of size bytes may share the store's bandwidth so that each ends within the
// given time. It returns at least 1.
func ConcurrentLoads(bytesPerSecond, size int64, within time.Duration) int {
	if size <= 0 || bytesPerSecond <= 0 {
		return 1
	}
	return max(1, int(float64(bytesPerSecond)*within.Seconds()/float64(size)))
}
