package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/state/fold"
)

// Report is a handover report, which can be printed or encoded as JSON.
type Report struct {
	At       time.Time `json:"at"`
	Process  string    `json:"process"`
	NotReady string    `json:"notReady,omitempty"`
	Preset   Preset    `json:"preset"`
	Revision int64     `json:"revision"`
	Offset   int64     `json:"offset"`
	Digest   string    `json:"digest"`
	Proquint string    `json:"spoken"` // start of the digest as a proquint
	// LogAgeMs is the time since the latest known log read, in milliseconds; -1 if unknown.
	LogAgeMs    int64              `json:"logAgeMs"`
	Changes     []Change           `json:"changes"` // latest first
	Unsettled   []UnsettledPublish `json:"unsettled"`
	Processes   int                `json:"processes"` // number of processes that reported a version
	Laggards    []Laggard          `json:"laggards"`
	Upstreams   []Upstream         `json:"upstreams"`
	Quarantined []Mark             `json:"quarantined"`
	Actions     []Action           `json:"actions"` // of unknown outcome
}

// Preset is the preset in force.
type Preset struct {
	Name     string    `json:"name"` // empty before a preset was first chosen
	Since    time.Time `json:"since"`
	Author   string    `json:"author"`
	Revision int64     `json:"revision"`
}

// Change is an accepted change of the configuration.
type Change struct {
	Revision int64     `json:"revision"`
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	Kind     string    `json:"kind"`
	Names    []string  `json:"names"`
	Count    int       `json:"count"` // number of changed objects; Names may list fewer
	Nonce    string    `json:"nonce"`
}

// Lag is how the configuration of a process differs from that of the reporting process.
type Lag string

// The kinds of difference.
const (
	Behind   Lag = "behind"   // it has not read up to the revision in force
	Ahead    Lag = "ahead"    // it has read a later change, so the reporting process lags
	Diverged Lag = "diverged" // it has the same offset but another digest, which is a bug
	Silent   Lag = "silent"   // it has not reported a version for silenceThreshold
)

// Laggard is a process whose configuration differs from that of the reporting process or is not known.
type Laggard struct {
	Version
	Lag    Lag   `json:"lag"`
	Missed int64 `json:"missed"` // records between its offset and the revision in force
}

// silenceThreshold is the age after which a reported version no longer counts as current.
const silenceThreshold = 30 * time.Second

// New builds a report.
func New(in Input) Report {
	s := in.State
	r := Report{
		At:          in.Now.UTC(),
		Process:     in.Process,
		NotReady:    in.NotReady,
		Revision:    s.Revision(),
		Offset:      s.Offset(),
		Digest:      s.Digest(),
		Proquint:    DigestProquint(s.Digest()),
		LogAgeMs:    -1,
		Changes:     changes(s),
		Unsettled:   sortedCopy(in.Unsettled, func(p UnsettledPublish) string { return p.Nonce }),
		Processes:   len(in.Versions),
		Laggards:    laggards(in),
		Upstreams:   sortedCopy(in.Upstreams, func(u Upstream) string { return string(u.State) + u.Pool + u.Name }),
		Quarantined: sortedCopy(in.Quarantined, func(m Mark) string { return m.Fingerprint }),
		Actions:     sortedCopy(in.Actions, func(a Action) string { return a.Service + a.Key }),
	}
	if p := s.PresetInForce(); p.Name != "" {
		r.Preset = Preset{Name: p.Name, Since: timeFromMillis(p.TimeMs), Author: p.Author, Revision: p.Revision}
	}
	if !in.LogReadAt.IsZero() {
		r.LogAgeMs = in.Now.Sub(in.LogReadAt).Milliseconds()
	}
	return r
}

// timeFromMillis converts a Unix time in milliseconds.
func timeFromMillis(ms int64) time.Time { return time.UnixMilli(ms).UTC() }

// changes returns the last changes that the state keeps, the latest first.
func changes(s *fold.State) []Change {
	list := []Change{}
	for _, c := range slices.Backward(s.Changes()) {
		list = append(list, Change{
			Revision: c.Offset,
			At:       timeFromMillis(c.TimeMs),
			Author:   c.Author,
			Kind:     string(c.Kind),
			Names:    c.Names,
			Count:    c.Count,
			Nonce:    c.Nonce,
		})
	}
	return list
}

// sortedCopy returns a copy of list sorted by key, never nil.
func sortedCopy[T any](list []T, key func(T) string) []T {
	items := append([]T{}, list...)
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return items
}

// laggards returns the processes whose configuration differs or is not known, sorted by kind of difference and name.
func laggards(in Input) []Laggard {
	list := []Laggard{}
	for _, v := range in.Versions {
		if lag, ok := compareVersion(v, in); ok {
			list = append(list, Laggard{Version: v, Lag: lag, Missed: max(0, in.State.Revision()-v.Offset)})
		}
	}
	return sortedCopy(list, func(l Laggard) string { return string(l.Lag) + l.Process })
}

// compareVersion compares a version with the state of the reporting process. It returns false if they agree; a process
// that missed only records without effect agrees.
func compareVersion(v Version, in Input) (Lag, bool) {
	s := in.State
	switch {
	case in.Now.Sub(v.Seen) > silenceThreshold:
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
