package fold

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/ragworthatch/ragworthatch/internal/state/record"
	"github.com/ragworthatch/ragworthatch/internal/state/trie"
)

// The bounds of what is remembered of past records.
const (
	generation  = 512 // decisions; two generations are kept
	keepChanges = 20
	keepNames   = 8
	maxMessage  = 200 // bytes
)

// Decision is what the fold decided on the record with a nonce.
type Decision struct {
	Nonce    string      `json:"nonce"`
	Offset   int64       `json:"offset"` // of the record that decided
	Kind     record.Kind `json:"kind"`
	Accepted bool        `json:"accepted"`
	Code     Code        `json:"code,omitempty"` // why it was rejected
	Message  string      `json:"message,omitempty"`
	Author   string      `json:"author"`
	TimeMs   int64       `json:"timeMs"` // Unix time of the author's clock, in milliseconds
}

// Change is one accepted record, as shown to operators.
type Change struct {
	Offset int64       `json:"offset"`
	Author string      `json:"author"`
	TimeMs int64       `json:"timeMs"` // Unix time of the author's clock, in milliseconds
	Kind   record.Kind `json:"kind"`
	Names  []string    `json:"names"` // the first objects changed
	Count  int         `json:"count"` // of all objects changed
	Nonce  string      `json:"nonce"`
}

// memory holds the last decisions by nonce, in two generations so that old ones go in one step.
type memory struct {
	recent    *trie.Map[Decision]
	older     *trie.Map[Decision]
	forgotten int64 // offset of the last decision that was dropped, or -1
}

func newMemory() memory {
	return memory{recent: &trie.Map[Decision]{}, older: &trie.Map[Decision]{}, forgotten: -1}
}

func (m memory) get(nonce string) (Decision, bool) {
	if d, ok := m.recent.Get(nonce); ok {
		return d, true
	}
	return m.older.Get(nonce)
}

func (m memory) with(d Decision) memory {
	d.Message = clip(d.Message)
	if m.recent.Len() >= generation {
		for _, old := range m.older.All() {
			m.forgotten = max(m.forgotten, old.Offset)
		}
		m.older = m.recent
		m.recent = &trie.Map[Decision]{}
	}
	m.recent = m.recent.With(d.Nonce, d, trie.Leaf{})
	return m
}

// covers says whether a record with this nonce would be remembered if it had been decided.
func (m memory) covers(nonce string) bool {
	next, err := record.NextOf(nonce)
	return err == nil && next > m.forgotten
}

func decisions(m *trie.Map[Decision]) []Decision {
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
		m = m.With(d.Nonce, d, trie.Leaf{})
	}
	return m
}

func clip(s string) string {
	if len(s) <= maxMessage {
		return s
	}
	return strings.ToValidUTF8(s[:maxMessage], "") + "..."
}

func sum(parts ...[]byte) trie.Leaf {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
	}
	return trie.Leaf(h.Sum(nil))
}
