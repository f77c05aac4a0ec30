package pool

// Kind says what the upstreams of a pool are.
type Kind string

// The kinds.
const (
	Engine  Kind = "engine"  // model runners that generate
	Stage   Kind = "stage"   // encoders, retrievers, rerankers
	Service Kind = "service" // plain services
)

// Spec declares a pool and what its upstreams promise.
type Spec struct {
	Name string `json:"name" yaml:"name"`
	Kind Kind   `json:"kind" yaml:"kind"`
	// ChecksFence says that the engines refuse an order with an old fencing number.
	ChecksFence bool `json:"checksFence,omitempty" yaml:"checksFence"`
	// Resumes says that the engines continue a generation from given tokens.
	Resumes bool `json:"resumes,omitempty" yaml:"resumes"`
	// Models that the engines may be ordered to load.
	Models []string `json:"models,omitempty" yaml:"models"`
	// MinConcurrency is the floor of the adaptive limit of one upstream, in calls.
	MinConcurrency int `json:"minConcurrency,omitempty" yaml:"minConcurrency"`
	// MaxConcurrency is its ceiling, in calls.
	MaxConcurrency int `json:"maxConcurrency,omitempty" yaml:"maxConcurrency"`
	// TargetMs is the mean time of a call, or between the tokens of a generation, that the limit of one upstream adapts to;
	// 0 keeps the limit at its ceiling.
	TargetMs int64 `json:"targetMs,omitempty" yaml:"targetMs"`
	// SilentMs is how long a call may make no progress before its connection is suspect.
	SilentMs int64 `json:"silentMs,omitempty" yaml:"silentMs"`
}
