package trial

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

const defaultTimeoutMs = 5000

// Scenario describes a deployment, its load, its faults and the targets to meet; it is read from a YAML file.
type Scenario struct {
	Name      string     `yaml:"name"`
	Seed      uint64     `yaml:"seed"`
	Seconds   float64    `yaml:"seconds"`
	Zones     int        `yaml:"zones"`
	Entries   int        `yaml:"entries"`
	Pools     []Pool     `yaml:"pools"`
	Pipelines []Pipeline `yaml:"pipelines"`
	Teams     []Team     `yaml:"teams"`
	// Load is the offered load in steps, as a fraction of Capacity.
	Load []LoadStep `yaml:"load"`
	// Rate replaces the calculated capacity, in requests per second; 0 for none.
	Rate float64 `yaml:"rate"`
	// TimeoutMs is the fixed timeout of a call under the naive policy; 0 means 5000.
	TimeoutMs float64 `yaml:"timeoutMs"`
	Faults    []Fault `yaml:"faults"`
	// PresetChanges are the changes of the active preset.
	PresetChanges []PresetChange `yaml:"presets"`
	Reports       Reports        `yaml:"reports"`
	Prefix        Prefix         `yaml:"prefix"`
	HedgeBudget   float64        `yaml:"hedge"`  // budget of hedges, as a fraction of the work of all other calls
	TeamLimits    bool           `yaml:"share"`  // apply the teams' limits
	Tail          Tail           `yaml:"tail"`   // calls that take much longer at random
	Expect        []Expect       `yaml:"expect"` // targets to meet
}

// Pool is a pool of identical runners.
type Pool struct {
	Name     string  `yaml:"name"`
	Runners  int     `yaml:"runners"`
	Slots    int     `yaml:"slots"`    // calls that run together at full speed
	Batch    int     `yaml:"batch"`    // largest number of calls that run together; 0 means twice the slots
	TargetMs float64 `yaml:"targetMs"` // mean latency that the sides' concurrency limit aims at
	SilentMs float64 `yaml:"silentMs"` // time without progress after which a call fails
}

// Pipeline is a kind of request with its stages.
type Pipeline struct {
	Name       string         `yaml:"name"`
	Weight     float64        `yaml:"part"` // relative frequency among all requests
	DeadlineMs float64        `yaml:"deadlineMs"`
	SizeClass  pipe.SizeClass `yaml:"sizeClass"`
	Stages     []Stage        `yaml:"stages"`
}

func (p *Pipeline) sizeClassOrShort() pipe.SizeClass {
	if p.SizeClass == "" {
		return pipe.Short
	}
	return p.SizeClass
}

// Stage is one call of a pipeline.
type Stage struct {
	Pool      string  `yaml:"pool"`
	WorkMs    float64 `yaml:"workMs"`    // mean work, including prefill
	PrefillMs float64 `yaml:"prefillMs"` // work before the first token; most of it is saved when the prefix is cached
	TokenMs   float64 `yaml:"tokenMs"`   // work for each token
	Spread    float64 `yaml:"spread"`    // fraction of the work that varies; 0 means 0.5
	Action    bool    `yaml:"action"`    // needs a claim in the log first
}

func (s Stage) spreadOrDefault() float64 {
	if s.Spread == 0 {
		return 0.5
	}
	return s.Spread
}

// without returns a copy without the stages on a pool.
func (p *Pipeline) without(pool string) *Pipeline {
	c := *p
	c.Stages = slices.DeleteFunc(slices.Clone(p.Stages), func(s Stage) bool { return s.Pool == pool })
	return &c
}

// Team is a team of callers.
type Team struct {
	Name   string  `yaml:"name"`
	Weight float64 `yaml:"part"`  // relative frequency among all requests
	Share  float64 `yaml:"share"` // limit, as a fraction of the capacity
}

// LoadStep sets the load from a time on.
type LoadStep struct {
	At   float64 `yaml:"at"`
	Load float64 `yaml:"load"`
}

// Fault is an injected fault from At to Until, both in seconds; an Until of 0 means for good.
type Fault struct {
	At     float64 `yaml:"at"`
	Until  float64 `yaml:"until"`
	Kind   string  `yaml:"kind"` // slow, fail, zone, log
	Pool   string  `yaml:"pool"`
	Runner int     `yaml:"runner"` // -1 means all runners of the pool
	Zone   int     `yaml:"zone"`
	Factor float64 `yaml:"factor"`
}

// PresetChange activates another preset: new requests skip a stage or avoid a zone.
type PresetChange struct {
	At   float64 `yaml:"at"`
	Skip string  `yaml:"skip"` // pool of the stage to skip
	Zone *int    `yaml:"zone"` // zone under maintenance
}

// Reports sets the delay of load reports and the fraction of them that is lost.
type Reports struct {
	DelayMs      float64 `yaml:"ageMs"`
	LossFraction float64 `yaml:"missing"`
}

// Prefix sets how many prompt prefixes there are and how engines cache them.
type Prefix struct {
	Count             int     `yaml:"count"`
	HotFraction       float64 `yaml:"hot"`       // fraction of the requests that share the first prefix
	CacheSize         int     `yaml:"cached"`    // capacity of an engine's cache, in prefixes
	EventDelayMs      float64 `yaml:"eventMs"`   // delay of cache events
	EventLossFraction float64 `yaml:"eventLoss"` // fraction of cache events that is lost
}

// Tail makes a fraction of the calls take longer by a factor.
type Tail struct {
	Fraction float64 `yaml:"part"`
	Factor   float64 `yaml:"factor"`
}

// Expect is a bound on a metric over the requests that arrive in a window.
type Expect struct {
	Metric   string  `yaml:"metric"`
	From     float64 `yaml:"from"`
	To       float64 `yaml:"to"` // 0 means the end
	Class    string  `yaml:"class"`
	Team     string  `yaml:"team"` // a leading "!" means all teams but this one
	Pool     string  `yaml:"pool"`
	Pipeline string  `yaml:"pipeline"`
	// Baseline is the run to compare with: naive, or noFault for the same policy without faults; empty for none.
	Baseline string   `yaml:"over"`
	AtLeast  *float64 `yaml:"atLeast"`
	AtMost   *float64 `yaml:"atMost"`
}

// Holds reports whether a value is within the bounds.
func (e Expect) Holds(v float64) bool {
	return (e.AtLeast == nil || v >= *e.AtLeast) && (e.AtMost == nil || v <= *e.AtMost)
}

// String returns the metric with its filters, its baseline, its window and its bounds.
func (e Expect) String() string {
	s := e.Metric
	for _, part := range []string{e.Class, e.Team, e.Pool, e.Pipeline} {
		if part != "" {
			s += " of " + part
		}
	}
	if e.Baseline != "" {
		s += " over " + e.Baseline
	}
	if e.From > 0 || e.To > 0 {
		s += fmt.Sprintf(" from %g s to %g s", e.From, e.To)
	}
	if e.AtLeast != nil {
		s += fmt.Sprintf(", at least %g", *e.AtLeast)
	}
	if e.AtMost != nil {
		s += fmt.Sprintf(", at most %g", *e.AtMost)
	}
	return s
}

// Load reads a scenario from a YAML file; unknown fields and empty lists of pools, pipelines or
// loads are errors.
func Load(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	var s Scenario
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&s); err != nil {
		return Scenario{}, fmt.Errorf("scenario %s: %w", path, err)
	}
	if len(s.Pools) == 0 || len(s.Pipelines) == 0 || len(s.Load) == 0 {
		return Scenario{}, fmt.Errorf("scenario %s needs pools, pipelines and a load", path)
	}
	if len(s.Teams) == 0 {
		s.Teams = []Team{{Name: "only", Weight: 1, Share: 1}}
	}
	return s, nil
}

// Capacity returns the rate at which the busiest pool is saturated, or Rate if that is set, in requests per second.
func (s Scenario) Capacity() float64 {
	if s.Rate > 0 {
		return s.Rate
	}
	lowest := 0.0
	totalWeight := s.totalWeight()
	for i, p := range s.Pools {
		workPerRequest := 0.0
		for _, l := range s.Pipelines {
			for _, st := range l.Stages {
				if st.Pool == p.Name {
					workPerRequest += l.Weight / totalWeight * st.WorkMs / 1000
				}
			}
		}
		if workPerRequest == 0 {
			continue
		}
		rate := float64(p.Runners*p.Slots) / workPerRequest
		if i == 0 || lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

func (s Scenario) totalWeight() float64 {
	total := 0.0
	for _, l := range s.Pipelines {
		total += l.Weight
	}
	return total
}

func (s Scenario) loadAt(seconds float64) float64 {
	load := 0.0
	for _, step := range s.Load {
		if seconds >= step.At {
			load = step.Load
		}
	}
	return load
}

func (s Scenario) pool(name string) Pool {
	for _, p := range s.Pools {
		if p.Name == name {
			return p
		}
	}
	return Pool{}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s Scenario) timeoutMsOrDefault() float64 { return cmp.Or(s.TimeoutMs, defaultTimeoutMs) }

// WithoutFaults returns a copy without injected faults.
func (s Scenario) WithoutFaults() Scenario {
	s.Faults = nil
	return s
}
