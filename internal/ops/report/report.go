package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/state/fold"
)

// Report is a handover, ready to be printed or sent as JSON.
type Report struct {
	At       time.Time `json:"at"`
	Process  string    `json:"process"`
	NotReady string    `json:"notReady,omitempty"`
	Preset   Preset    `json:"preset"`
	Revision int64     `json:"revision"`
	Offset   int64     `json:"offset"`
	Digest   string    `json:"digest"`
	Spoken   string    `json:"spoken"` // the digest in a form to be read aloud
	// LogAgeMs is how old the newest known read of the log is, in milliseconds; -1 if unknown.
	LogAgeMs    int64      `json:"logAgeMs"`
	Changes     []Change   `json:"changes"` // latest first
	Unsettled   []Publish  `json:"unsettled"`
	Processes   int        `json:"processes"` // that have said their version
	Laggards    []Laggard  `json:"laggards"`
	Upstreams   []Upstream `json:"upstreams"`
	Quarantined []Mark     `json:"quarantined"`
	Actions     []Action   `json:"actions"` // that may have run
}

// Preset is the one in force.
type Preset struct {
	Name     string    `json:"name"` // empty before the first choice
	Since    time.Time `json:"since"`
	Author   string    `json:"author"`
	Revision int64     `json:"revision"`
}

// Change is an accepted change.
type Change struct {
	Revision int64     `json:"revision"`
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	Kind     string    `json:"kind"`
	Names    []string  `json:"names"`
	Count    int       `json:"count"` // of all objects changed
	Nonce    string    `json:"nonce"`
}

// Lag says how the configuration of a process differs from that of the reporting one.
type Lag string

// The ways to differ.
const (
	Behind   Lag = "behind"   // it has not read up to the revision in force
	Ahead    Lag = "ahead"    // it has read a later change: this process lags
	Diverged Lag = "diverged" // same offset, other digest: a fault of the program
	Silent   Lag = "silent"   // it has not been heard of lately
)

// Laggard is a process whose configuration differs, or is not known.
type Laggard struct {
	Version
	Lag    Lag   `json:"lag"`
	Missed int64 `json:"missed"` // records
}

// silentAfter is the age of a version after which it says nothing of the present.
const silentAfter = 30 * time.Second

// New builds the report.
func New(in Input) Report {
	s := in.State
	r := Report{
		At:          in.Now.UTC(),
		Process:     in.Process,
		NotReady:    in.NotReady,
		Revision:    s.Revision(),
		Offset:      s.Offset(),
		Digest:      s.Digest(),
		Spoken:      Speak(s.Digest()),
		LogAgeMs:    -1,
		Changes:     changes(s),
		Unsettled:   sorted(in.Unsettled, func(p Publish) string { return p.Nonce }),
		Processes:   len(in.Versions),
		Laggards:    laggards(in),
		Upstreams:   sorted(in.Upstreams, func(u Upstream) string { return string(u.State) + u.Pool + u.Name }),
		Quarantined: sorted(in.Quarantined, func(m Mark) string { return m.Fingerprint }),
		Actions:     sorted(in.Actions, func(a Action) string { return a.Service + a.Key }),
	}
	if p := s.PresetInForce(); p.Name != "" {
		r.Preset = Preset{Name: p.Name, Since: fromMs(p.TimeMs), Author: p.Author, Revision: p.Revision}
	}
	if !in.Fresh.IsZero() {
		r.LogAgeMs = in.Now.Sub(in.Fresh).Milliseconds()
	}
	return r
}

func fromMs(ms int64) time.Time { return time.UnixMilli(ms).UTC() }

func changes(s *fold.State) []Change {
	list := []Change{}
	for _, c := range slices.Backward(s.Changes()) {
		list = append(list, Change{
			Revision: c.Offset,
			At:       fromMs(c.TimeMs),
			Author:   c.Author,
			Kind:     string(c.Kind),
			Names:    c.Names,
			Count:    c.Count,
			Nonce:    c.Nonce,
		})
	}
	return list
}

// sorted returns a copy in the order of the keys, never nil.
func sorted[T any](list []T, key func(T) string) []T {
	c := append([]T{}, list...)
	slices.SortStableFunc(c, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return c
}

func laggards(in Input) []Laggard {
	list := []Laggard{}
	for _, v := range in.Versions {
		if lag, ok := lagOf(v, in); ok {
			list = append(list, Laggard{Version: v, Lag: lag, Missed: max(0, in.State.Revision()-v.Offset)})
		}
	}
	return sorted(list, func(l Laggard) string { return string(l.Lag) + l.Process })
}

// lagOf compares a version with the own state; a process that has missed only records without effect does not lag.
func lagOf(v Version, in Input) (Lag, bool) {
	s := in.State
	switch {
	case in.Now.Sub(v.Seen) > silentAfter:
		return Silent, true
	case v.Digest != "" && strings.HasPrefix(s.Digest(), v.Digest):
		return "", false
	case v.Offset < s.Revision():
		return Behind, true
	case v.Offset > s.Offset():
		return Ahead, true
	}
	return Diverged, true
}
