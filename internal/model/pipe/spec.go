package pipe

// SizeClass separates long-running from short-running work.
type SizeClass string

// The size classes.
const (
	Short SizeClass = "short"
	Long  SizeClass = "long"
)

// Spec declares a pipeline; each stage gets the results of the stages before it.
type Spec struct {
	Name   string   `json:"name" yaml:"name"`
	Stages []string `json:"stages" yaml:"stages"`
	// DeadlineMs is the default and the maximum deadline of a request, in milliseconds.
	DeadlineMs int64     `json:"deadlineMs" yaml:"deadlineMs"`
	SizeClass  SizeClass `json:"sizeClass,omitempty" yaml:"sizeClass"`
	// Optional lists the stages that a preset may skip.
	Optional []string `json:"optional,omitempty" yaml:"optional"`
	// MaxBodyBytes is the maximum size of a request body; 0 means the entry's limit.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty" yaml:"maxBodyBytes"`
}
