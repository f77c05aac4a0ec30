package pool

// Kind is the kind of a pool's upstreams.
type Kind string

// The kinds.
const (
	Engine  Kind = "engine"  // model runners that generate
	Stage   Kind = "stage"   // encoders, retrievers, rerankers
	Service Kind = "service" // plain services
)

// Spec declares a pool and the features of its upstreams.
type Spec struct {
	Name string `json:"name" yaml:"name"`
	Kind Kind   `json:"kind" yaml:"kind"`
	// ChecksFence means that the engines refuse an order with an outdated fencing token.
	ChecksFence bool `json:"checksFence,omitempty" yaml:"checksFence"`
	// Resumes means that the engines can continue a generation from given tokens.
	Resumes bool `json:"resumes,omitempty" yaml:"resumes"`
	// Models lists the models that the engines may be ordered to load.
	Models []string `json:"models,omitempty" yaml:"models"`
	// MinConcurrency is the minimum of the adaptive limit of one upstream, in calls.
	MinConcurrency int `json:"minConcurrency,omitempty" yaml:"minConcurrency"`
	// MaxConcurrency is the maximum of the adaptive limit of one upstream, in calls.
	MaxConcurrency int `json:"maxConcurrency,omitempty" yaml:"maxConcurrency"`
	// TargetMs is the mean time of a call, or between the tokens of a generation, that the adaptive limit aims at, in
	// milliseconds; 0 keeps the limit at its maximum.
	TargetMs int64 `json:"targetMs,omitempty" yaml:"targetMs"`
	// SilentMs is the time without progress of a call after which its connection is suspected, in milliseconds.
	SilentMs int64 `json:"silentMs,omitempty" yaml:"silentMs"`
}
