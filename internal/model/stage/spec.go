package stage

// Kind says what a stage does.
type Kind string

// The kinds.
const (
	Encode   Kind = "encode"
	Retrieve Kind = "retrieve"
	Rerank   Kind = "rerank"
	Generate Kind = "generate"
	Service  Kind = "service"
)

// Spec declares a stage: what it does, on which pool, and whether it may run twice.
type Spec struct {
	Name  string `json:"name" yaml:"name"`
	Kind  Kind   `json:"kind" yaml:"kind"`
	Pool  string `json:"pool" yaml:"pool"`
	Model string `json:"model,omitempty" yaml:"model"`
	// Repeatable must be said: false makes the stage an action that needs a key.
	Repeatable *bool `json:"repeatable" yaml:"repeatable"`
	// MaxTokens bounds a generation.
	MaxTokens uint32 `json:"maxTokens,omitempty" yaml:"maxTokens"`
}

// IsAction says whether the stage must run at most once.
func (s Spec) IsAction() bool { return s.Repeatable == nil || !*s.Repeatable }
