package stage

// Kind is the type of work of a stage.
type Kind string

// The kinds.
const (
	Encode   Kind = "encode"
	Retrieve Kind = "retrieve"
	Rerank   Kind = "rerank"
	Generate Kind = "generate"
	Service  Kind = "service"
)

// Spec declares a stage: its kind, its pool, and whether it may run more than once.
type Spec struct {
	Name  string `json:"name" yaml:"name"`
	Kind  Kind   `json:"kind" yaml:"kind"`
	Pool  string `json:"pool" yaml:"pool"`
	Model string `json:"model,omitempty" yaml:"model"`
	// Repeatable must be set; false makes the stage an action, which needs a key.
	Repeatable *bool `json:"repeatable" yaml:"repeatable"`
	// MaxTokens is the maximum number of generated tokens.
	MaxTokens uint32 `json:"maxTokens,omitempty" yaml:"maxTokens"`
}

// IsAction reports whether the stage must run at most once.
func (s Spec) IsAction() bool { return s.Repeatable == nil || !*s.Repeatable }
