package index

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

// Index is an immutable index of one configuration revision.
type Index struct {
	Set      config.Set
	Revision int64
	teams    map[string]string // name by token digest
}

// New returns an index of set, the configuration at revision.
func New(set config.Set, revision int64) *Index {
	ix := &Index{Set: set, Revision: revision, teams: make(map[string]string, len(set.Teams))}
	for name, t := range set.Teams {
		ix.teams[t.TokenDigest] = name
	}
	return ix
}

// Team returns the team that owns a bearer token.
func (ix *Index) Team(token string) (team.Spec, bool) {
	sum := sha256.Sum256([]byte(token))
	name, ok := ix.teams[hex.EncodeToString(sum[:])]
	if !ok {
		return team.Spec{}, false
	}
	t, ok := ix.Set.Teams[name]
	return t, ok
}
