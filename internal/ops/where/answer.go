package where

import (
	"fmt"
	"strings"
)

// Path is the path of the question on the port of the metrics; the request in question is the body.
const Path = "/where"

// Answer says what would be done with a request. Times are in ms, sizes in bytes.
type Answer struct {
	Entry         string  `json:"entry"`
	Leader        string  `json:"leader,omitempty"`        // host that the entry follows; empty if it decides itself
	LeaderAddress string  `json:"leaderAddress,omitempty"` // IP address of that host
	Decides       bool    `json:"decides"`                 // stages, engines and refusals are those of the process that decides
	ConfigVersion int64   `json:"configVersion"`
	ConfigAge     float64 `json:"configAge"`
	ListAge       float64 `json:"listAge"`

	Route     string  `json:"route,omitempty"`
	Team      string  `json:"team,omitempty"`
	Rank      int     `json:"rank"`
	Target    float64 `json:"target"`
	Remaining float64 `json:"remaining"` // until the deadline
	Pool      string  `json:"pool,omitempty"`

	Refused    string  `json:"refused,omitempty"` // why; empty if it would not be refused
	Status     int     `json:"status,omitempty"`  // of the refusal
	RetryAfter float64 `json:"retryAfter,omitempty"`
	Late       bool    `json:"late"`
	Short      string  `json:"short,omitempty"`     // resource that the entry is short of
	ShortPart  float64 `json:"shortPart,omitempty"` // of such requests that it refuses for that, from 0 to 1

	Stages    []Stage    `json:"stages,omitempty"`
	Engines   []Upstream `json:"engines,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"` // of a plain service
}

// Stage is a stage with the upstreams of its pool, in the order in which they would be tried.
type Stage struct {
	Pool      string          `json:"pool"`
	Pieces    int             `json:"pieces"`
	Wait      float64         `json:"wait"`    // expected until a call takes it
	Call      float64         `json:"call"`    // expected of the call
	Waiting   map[int]int     `json:"waiting"` // pieces by rank
	Running   map[int]int     `json:"running"` // pieces by rank
	Upstreams []StageUpstream `json:"upstreams"`
}

// StageUpstream is an upstream of a stage pool.
type StageUpstream struct {
	ID       string   `json:"id"`
	Zone     string   `json:"zone"`
	State    string   `json:"state"`
	Class    int      `json:"class"`
	Usual    float64  `json:"usual"`
	Expected float64  `json:"expected"`
	Slowness float64  `json:"slowness"`
	LoadAge  *float64 `json:"loadAge,omitempty"` // nil if it never stated its load
	Used     int64    `json:"used"`
}

// Upstream is an engine or an upstream of a plain service; its cost is the sum of the parts.
type Upstream struct {
	ID           string  `json:"id"`
	Zone         string  `json:"zone"`
	State        string  `json:"state"`
	Cost         float64 `json:"cost"`
	Parts        []Part  `json:"parts"`
	Running      int     `json:"running"`
	CachedTokens int     `json:"cachedTokens,omitempty"`
}

// Part is one part of a cost.
type Part struct {
	Name string  `json:"name"`
	Cost float64 `json:"cost"`
}

// Text formats the answer for display; of each list of upstreams it shows so many at most.
func (a Answer) Text(most int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "entry %s: configuration %d (%.0f ms old), upstreams %.0f ms old", a.Entry, a.ConfigVersion, a.ConfigAge,
		a.ListAge)
	if a.Leader != "" {
		fmt.Fprintf(&b, ", follows %s", a.Leader)
	}
	b.WriteString("\n")
	if a.Route != "" {
		fmt.Fprintf(&b, "route %s, team %q, rank %d, pool %s, target %.0f ms, %.0f ms left\n", a.Route, a.Team, a.Rank, a.Pool,
			a.Target, a.Remaining)
	}
	if a.Short != "" {
		fmt.Fprintf(&b, "the entry is short of %s and refuses a part of %.2f of such requests\n", a.Short, a.ShortPart)
	}
	switch {
	case a.Refused != "":
		fmt.Fprintf(&b, "refused with status %d: %s", a.Status, a.Refused)
		if a.RetryAfter > 0 {
			fmt.Fprintf(&b, ", Retry-After %.2f s", a.RetryAfter/1000)
		}
		b.WriteString("\n")
	case a.Late:
		b.WriteString("accepted, but not expected to meet its target\n")
	case a.Decides:
		b.WriteString("accepted\n")
	}
	for i, s := range a.Stages {
		fmt.Fprintf(&b, "stage %d: pool %s, %d pieces, wait %.0f ms, call %.0f ms, waiting %v, running %v (pieces by rank)\n", i,
			s.Pool, s.Pieces, s.Wait, s.Call, s.Waiting, s.Running)
		for _, u := range s.Upstreams[:min(most, len(s.Upstreams))] {
			fmt.Fprintf(&b, "  %-16s %-12s %-8s class %d, expected %.0f ms (usual %.0f), slowness %.2f, %s, %d bytes used\n", u.ID,
				u.Zone, u.State, u.Class, u.Expected, u.Usual, u.Slowness, ageText(u.LoadAge), u.Used)
		}
		writeMore(&b, len(s.Upstreams)-most)
	}
	for _, list := range []struct {
		name string
		ups  []Upstream
	}{{"engines", a.Engines}, {"upstreams", a.Upstreams}} {
		if len(list.ups) > 0 {
			fmt.Fprintf(&b, "%s, the first is picked:\n", list.name)
		}
		for _, u := range list.ups[:min(most, len(list.ups))] {
			fmt.Fprintf(&b, "  %-16s %-12s %-8s cost %.1f ms =", u.ID, u.Zone, u.State, u.Cost)
			for _, p := range u.Parts {
				fmt.Fprintf(&b, " %s %.1f", p.Name, p.Cost)
			}
			fmt.Fprintf(&b, ", %d running", u.Running)
			if u.CachedTokens > 0 {
				fmt.Fprintf(&b, ", %d tokens cached", u.CachedTokens)
			}
			b.WriteString("\n")
		}
		writeMore(&b, len(list.ups)-most)
	}
	return b.String()
}

func ageText(age *float64) string {
	if age == nil {
		return "no stated load"
	}
	return fmt.Sprintf("load stated %.0f ms ago", *age)
}

func writeMore(b *strings.Builder, more int) {
	if more > 0 {
		fmt.Fprintf(b, "  and %d more\n", more)
	}
}
