package preset

// PipelineSettings holds the settings of one pipeline under a preset.
type PipelineSettings struct {
	// Weight is the pipeline's weight under overload; 0 means 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight"`
	// Skip lists the optional stages that are skipped.
	Skip []string `json:"skip,omitempty" yaml:"skip"`
	// Closed means that new requests are refused.
	Closed bool `json:"closed,omitempty" yaml:"closed"`
}

// Spec declares a preset; exactly one is in force.
type Spec struct {
	Name string `json:"name" yaml:"name"`
	// Pipelines holds the settings of every pipeline by name.
	Pipelines map[string]PipelineSettings `json:"pipelines" yaml:"pipelines"`
	// Shares overrides the shares of teams by name, as fractions between 0 and 1.
	Shares map[string]float64 `json:"shares,omitempty" yaml:"shares"`
	// RatePerSecond is the rate that a share of 1 stands for, in requests per second.
	RatePerSecond float64 `json:"ratePerSecond,omitempty" yaml:"ratePerSecond"`
	// HedgeBudget is the fraction of extra calls that hedging may add; 0 disables hedging.
	HedgeBudget float64 `json:"hedgeBudget,omitempty" yaml:"hedgeBudget"`
	// RetryBudget is the fraction of extra calls that retries may add; 0 means 0.1.
	RetryBudget float64 `json:"retryBudget,omitempty" yaml:"retryBudget"`
	// MaintenanceZones are the zones that get no new work.
	MaintenanceZones []string `json:"maintenanceZones,omitempty" yaml:"maintenanceZones"`
	// SpillCap is the maximum fraction of calls sent to another zone by choice; 0 means 0.5.
	SpillCap float64 `json:"spillCap,omitempty" yaml:"spillCap"`
	// Runners is the wanted number of runners by model, for the placement plan.
	Runners map[string]int `json:"runners,omitempty" yaml:"runners"`
}
