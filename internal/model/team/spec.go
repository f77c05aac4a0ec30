package team

// Spec declares a team, its token and its share.
type Spec struct {
	Name string `json:"name" yaml:"name"`
	// TokenDigest is the hex SHA-256 of the team's bearer token.
	TokenDigest string `json:"tokenDigest" yaml:"tokenDigest"`
	// Share is the fraction of the preset's rate that the team may use.
	Share float64 `json:"share" yaml:"share"`
	// RatePerSecond replaces the share by a fixed limit, in requests per second.
	RatePerSecond float64 `json:"ratePerSecond,omitempty" yaml:"ratePerSecond"`
	// Weight is the team's weight under overload; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight"`
	// Pipelines lists the pipelines that the team may call; empty means all.
	Pipelines []string `json:"pipelines,omitempty" yaml:"pipelines"`
	// Operator allows the token to make operators' calls as well.
	Operator bool `json:"operator,omitempty" yaml:"operator"`
}
