package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Part is one pipeline of a mix and its weight.
type Part struct {
	Pipeline string
	Weight   float64
	// Deadline is sent with each request; zero means the default of the pipeline.
	Deadline time.Duration
	// Action makes each request carry a new idempotency key.
	Action bool
}

// Mix lists the pipelines that are called.
type Mix []Part

// ParseMix parses a comma-separated list of PIPELINE=WEIGHT[@DEADLINE][!], where ! marks an action. Its errors quote
// the invalid part.
func ParseMix(text string) (Mix, error) {
	var m Mix
	for part := range strings.SplitSeq(text, ",") {
		p, err := parsePart(part)
		if err != nil {
			return nil, fmt.Errorf("mix part %q: %w", part, err)
		}
		m = append(m, p)
	}
	return m, nil
}

// parsePart parses one PIPELINE=WEIGHT[@DEADLINE][!].
func parsePart(text string) (Part, error) {
	text, action := strings.CutSuffix(text, "!")
	name, rest, ok := strings.Cut(text, "=")
	if !ok || name == "" {
		return Part{}, fmt.Errorf("expected PIPELINE=WEIGHT[@DEADLINE][!]")
	}
	p := Part{Pipeline: name, Action: action}
	number, deadline, timed := strings.Cut(rest, "@")
	var err error
	if p.Weight, err = strconv.ParseFloat(number, 64); err != nil || !(p.Weight > 0) {
		return Part{}, fmt.Errorf("expected a weight above 0, not %q", number)
	}
	if !timed {
		return p, nil
	}
	if p.Deadline, err = time.ParseDuration(deadline); err != nil || p.Deadline < time.Millisecond {
		return Part{}, fmt.Errorf("expected a deadline of at least 1ms, not %q", deadline)
	}
	return p, nil
}

// pick chooses a part at random by weight.
func (m Mix) pick(r *rand.Rand) Part {
	var sum float64
	for _, p := range m {
		sum += p.Weight
	}
	at := r.Float64() * sum
	for _, p := range m {
		if at < p.Weight {
			return p
		}
		at -= p.Weight
	}
	return m[len(m)-1]
}
