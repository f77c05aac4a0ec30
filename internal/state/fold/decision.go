package fold

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/ragworthatch/ragworthatch/internal/state/record"
	"github.com/ragworthatch/ragworthatch/internal/state/trie"
)

// Bounds of the history of past records.
const (
	generationSize  = 512 // decisions per generation; two generations are kept
	maxChanges      = 20  // accepted records kept for State.Changes
	maxChangeNames  = 8   // names kept for each of them
	maxMessageBytes = 200 // of the message of a decision
)

// Decision is the outcome of applying the record with a nonce.
type Decision struct {
	Nonce    string      `json:"nonce"`
	Offset   int64       `json:"offset"` // offset of the deciding record
	Kind     record.Kind `json:"kind"`
	Accepted bool        `json:"accepted"`
	Code     Code        `json:"code,omitempty"` // why it was rejected
	Message  string      `json:"message,omitempty"`
	Author   string      `json:"author"`
	TimeMs   int64       `json:"timeMs"` // Unix time of the author's clock, in milliseconds
}

// Change is an accepted record as shown to operators.
type Change struct {
	Offset int64       `json:"offset"`
	Author string      `json:"author"`
	TimeMs int64       `json:"timeMs"` // Unix time of the author's clock, in milliseconds
	Kind   record.Kind `json:"kind"`
	Names  []string    `json:"names"` // the first objects changed
	Count  int         `json:"count"` // number of all objects changed
	Nonce  string      `json:"nonce"`
}

// decisionHistory holds the most recent decisions by nonce, in two generations, so that eviction drops a whole
// generation at once.
type decisionHistory struct {
	recent      *trie.Map[Decision]
	older       *trie.Map[Decision]
	evictedUpTo int64 // highest offset of an evicted decision, or -1
}

func newDecisionHistory() decisionHistory {
	return decisionHistory{recent: &trie.Map[Decision]{}, older: &trie.Map[Decision]{}, evictedUpTo: -1}
}

func (m decisionHistory) get(nonce string) (Decision, bool) {
	if d, ok := m.recent.Get(nonce); ok {
		return d, true
	}
	return m.older.Get(nonce)
}

// with returns a history with d added. If the recent generation is full, it becomes the older one, and the previous
// older one is evicted.
func (m decisionHistory) with(d Decision) decisionHistory {
	d.Message = truncate(d.Message)
	if m.recent.Len() >= generationSize {
		for _, old := range m.older.All() {
			m.evictedUpTo = max(m.evictedUpTo, old.Offset)
		}
		m.older = m.recent
		m.recent = &trie.Map[Decision]{}
	}
	m.recent = m.recent.With(d.Nonce, d, trie.Hash{})
	return m
}

// remembers reports whether a decision on this nonce, if there was one, is still in the history: a record cannot have
// an offset below the one in its nonce.
func (m decisionHistory) remembers(nonce string) bool {
	next, err := record.NonceOffset(nonce)
	return err == nil && next > m.evictedUpTo
}

func sortedDecisions(m *trie.Map[Decision]) []Decision {
	out := make([]Decision, 0, m.Len())
	for _, d := range m.All() {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Decision) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Nonce, b.Nonce))
	})
	return out
}

func restoreDecisions(list []Decision) *trie.Map[Decision] {
	m := &trie.Map[Decision]{}
	for _, d := range list {
		m = m.With(d.Nonce, d, trie.Hash{})
	}
	return m
}

func truncate(s string) string {
	if len(s) <= maxMessageBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxMessageBytes], "") + "..."
}

// hashParts returns the hash of the concatenated parts.
func hashParts(parts ...[]byte) trie.Hash {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
	}
	return trie.Hash(h.Sum(nil))
}
