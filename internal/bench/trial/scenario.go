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

// Scenario is a load and its faults, read from a data file.
type Scenario struct {
	Name      string     `yaml:"name"`
	Seed      uint64     `yaml:"seed"`
	Seconds   float64    `yaml:"seconds"`
	Zones     int        `yaml:"zones"`
	Entries   int        `yaml:"entries"`
	Pools     []Pool     `yaml:"pools"`
	Pipelines []Pipeline `yaml:"pipelines"`
	Teams     []Team     `yaml:"teams"`
	// Load is the offered load as steps, in parts of the capacity of the busiest pool.
	Load []Step `yaml:"load"`
	// Rate is what the load is parts of instead, in requests a second.
	Rate float64 `yaml:"rate"`
	// TimeoutMs is the fixed timeout of a call in the naive version, 5000 by default.
	TimeoutMs float64 `yaml:"timeoutMs"`
	Faults    []Fault `yaml:"faults"`
	// Presets are switches of the preset in force.
	Presets []Switch `yaml:"presets"`
	Reports Reports  `yaml:"reports"`
	Prefix  Prefix   `yaml:"prefix"`
	Hedge   float64  `yaml:"hedge"`  // budget of extra calls, as a fraction
	Share   bool     `yaml:"share"`  // team limits are in force
	Tail    Tail     `yaml:"tail"`   // calls that take much longer by chance
	Expect  []Expect `yaml:"expect"` // stated targets
}

// Pool is a pool of equal runners.
type Pool struct {
	Name     string  `yaml:"name"`
	Runners  int     `yaml:"runners"`
	Slots    int     `yaml:"slots"`    // calls that run at full speed together
	Batch    int     `yaml:"batch"`    // most calls an engine runs together; 0 means twice the slots
	TargetMs float64 `yaml:"targetMs"` // mean latency that sides hold
	SilentMs float64 `yaml:"silentMs"` // silence after which a connection is given up
}

// Pipeline is a kind of request.
type Pipeline struct {
	Name       string         `yaml:"name"`
	Part       float64        `yaml:"part"` // of all requests
	DeadlineMs float64        `yaml:"deadlineMs"`
	SizeClass  pipe.SizeClass `yaml:"sizeClass"`
	Stages     []Stage        `yaml:"stages"`
}

func (p *Pipeline) class() pipe.SizeClass {
	if p.SizeClass == "" {
		return pipe.Short
	}
	return p.SizeClass
}

// Stage is one call of a pipeline.
type Stage struct {
	Pool      string  `yaml:"pool"`
	WorkMs    float64 `yaml:"workMs"`    // mean work, prefill included
	PrefillMs float64 `yaml:"prefillMs"` // work until the first token; saved when the prefix is cached
	TokenMs   float64 `yaml:"tokenMs"`   // work for each token
	Spread    float64 `yaml:"spread"`    // part of the work that varies; 0 means 0.5
	Action    bool    `yaml:"action"`    // needs a claim in the log first
}

func (s Stage) spread() float64 {
	if s.Spread == 0 {
		return 0.5
	}
	return s.Spread
}

// without returns a copy that leaves out the stages on a pool.
func (p *Pipeline) without(pool string) *Pipeline {
	c := *p
	c.Stages = slices.DeleteFunc(slices.Clone(p.Stages), func(s Stage) bool { return s.Pool == pool })
	return &c
}

// Team sends a part of the requests.
type Team struct {
	Name  string  `yaml:"name"`
	Part  float64 `yaml:"part"`  // of the offered requests, relative to the other teams
	Share float64 `yaml:"share"` // of the capacity
}

// Step is the load from a time on.
type Step struct {
	At   float64 `yaml:"at"`
	Load float64 `yaml:"load"`
}

// Fault is something that goes wrong, until Until seconds or for good when that is 0.
type Fault struct {
	At     float64 `yaml:"at"`
	Until  float64 `yaml:"until"`
	Kind   string  `yaml:"kind"` // slow, fail, zone, log
	Pool   string  `yaml:"pool"`
	Runner int     `yaml:"runner"` // -1 means all of the pool
	Zone   int     `yaml:"zone"`
	Factor float64 `yaml:"factor"`
}

// Switch puts another preset in force: new requests leave a stage out, or keep out of a zone.
type Switch struct {
	At   float64 `yaml:"at"`
	Skip string  `yaml:"skip"` // pool of the stage left out
	Zone *int    `yaml:"zone"` // under maintenance
}

// Reports says how load reports fare.
type Reports struct {
	AgeMs   float64 `yaml:"ageMs"`
	Missing float64 `yaml:"missing"`
}

// Prefix says how prompts share their beginnings.
type Prefix struct {
	Count     int     `yaml:"count"`
	Hot       float64 `yaml:"hot"`       // part of the requests that share one prefix
	Cached    int     `yaml:"cached"`    // prefixes that one engine's cache holds
	EventMs   float64 `yaml:"eventMs"`   // lag of cache events
	EventLoss float64 `yaml:"eventLoss"` // part of the events that are lost
}

// Tail makes a part of the calls take longer.
type Tail struct {
	Part   float64 `yaml:"part"`
	Factor float64 `yaml:"factor"`
}

// Expect is a bound on a metric over the requests that arrive in a window.
type Expect struct {
	Metric   string  `yaml:"metric"`
	From     float64 `yaml:"from"`
	To       float64 `yaml:"to"` // 0 means the end
	Class    string  `yaml:"class"`
	Team     string  `yaml:"team"` // with "!" in front: all but this one
	Pool     string  `yaml:"pool"`
	Pipeline string  `yaml:"pipeline"`
	// Over is what the metric is compared with: naive, or noFault for ours without the faults; empty for nothing.
	Over    string   `yaml:"over"`
	AtLeast *float64 `yaml:"atLeast"`
	AtMost  *float64 `yaml:"atMost"`
}

// Holds says whether a value is within the bounds.
func (e Expect) Holds(v float64) bool {
	return (e.AtLeast == nil || v >= *e.AtLeast) && (e.AtMost == nil || v <= *e.AtMost)
}

// String names the metric, its window and its bounds.
func (e Expect) String() string {
	s := e.Metric
	for _, part := range []string{e.Class, e.Team, e.Pool, e.Pipeline} {
		if part != "" {
			s += " of " + part
		}
	}
	if e.Over != "" {
		s += " over " + e.Over
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

// Load reads a scenario from a file and checks it.
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
		s.Teams = []Team{{Name: "only", Part: 1, Share: 1}}
	}
	return s, nil
}

// Capacity is the greatest rate of whole answers that the pools allow, or the stated rate, in requests a second.
func (s Scenario) Capacity() float64 {
	if s.Rate > 0 {
		return s.Rate
	}
	best := 0.0
	total := s.parts()
	for i, p := range s.Pools {
		need := 0.0
		for _, l := range s.Pipelines {
			for _, st := range l.Stages {
				if st.Pool == p.Name {
					need += l.Part / total * st.WorkMs / 1000
				}
			}
		}
		if need == 0 {
			continue
		}
		rate := float64(p.Runners*p.Slots) / need
		if i == 0 || best == 0 || rate < best {
			best = rate
		}
	}
	return best
}

func (s Scenario) parts() float64 {
	total := 0.0
	for _, l := range s.Pipelines {
		total += l.Part
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

func (s Scenario) timeoutMs() float64 { return cmp.Or(s.TimeoutMs, defaultTimeoutMs) }

// WithoutFaults returns a copy in which nothing goes wrong.
func (s Scenario) WithoutFaults() Scenario {
	s.Faults = nil
	return s
}
