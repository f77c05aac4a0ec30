package pipe

// SizeClass keeps long and short work apart.
type SizeClass string

// The size classes.
const (
	Short SizeClass = "short"
	Long  SizeClass = "long"
)

// Spec declares a pipeline; each stage gets the results of those before it.
type Spec struct {
	Name   string   `json:"name" yaml:"name"`
	Stages []string `json:"stages" yaml:"stages"`
	// DeadlineMs is the longest deadline a request may ask for, and the default.
	DeadlineMs int64     `json:"deadlineMs" yaml:"deadlineMs"`
	SizeClass  SizeClass `json:"sizeClass,omitempty" yaml:"sizeClass"`
	// Optional stages may be left out by a preset.
	Optional []string `json:"optional,omitempty" yaml:"optional"`
	// MaxBodyBytes bounds a request's body; 0 means the entry's own bound.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty" yaml:"maxBodyBytes"`
}
