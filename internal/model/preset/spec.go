package preset

// PipelineSettings is how one pipeline runs under a preset.
type PipelineSettings struct {
	// Weight of the pipeline under overload; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight"`
	// Skip lists optional stages that are left out.
	Skip []string `json:"skip,omitempty" yaml:"skip"`
	// Closed refuses new requests.
	Closed bool `json:"closed,omitempty" yaml:"closed"`
}

// Spec declares a preset; exactly one is in force.
type Spec struct {
	Name string `json:"name" yaml:"name"`
	// Pipelines has a line for each pipeline.
	Pipelines map[string]PipelineSettings `json:"pipelines" yaml:"pipelines"`
	// Shares overrides teams' shares, as fractions of 1.
	Shares map[string]float64 `json:"shares,omitempty" yaml:"shares"`
	// RatePerSecond is what all teams' shares together amount to, in requests a second.
	RatePerSecond float64 `json:"ratePerSecond,omitempty" yaml:"ratePerSecond"`
	// HedgeBudget is the fraction of extra calls that hedging may cost; 0 turns hedging off.
	HedgeBudget float64 `json:"hedgeBudget,omitempty" yaml:"hedgeBudget"`
	// RetryBudget is the fraction of extra calls that retries may cost; 0 means 0.1.
	RetryBudget float64 `json:"retryBudget,omitempty" yaml:"retryBudget"`
	// MaintenanceZones get no new work.
	MaintenanceZones []string `json:"maintenanceZones,omitempty" yaml:"maintenanceZones"`
	// SpillCap is the fraction of calls that may leave their zone by choice; 0 means 0.5.
	SpillCap float64 `json:"spillCap,omitempty" yaml:"spillCap"`
	// Runners wanted per model, for the placement plan.
	Runners map[string]int `json:"runners,omitempty" yaml:"runners"`
}
