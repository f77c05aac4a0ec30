package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/platform"
)

// list folds the records of upstreams.
type list struct {
	now     func() time.Time
	log     *zap.Logger
	byID    map[string]hosts.Upstream
	missing map[string]time.Time // entries that lapsed around an outage, and until when they may come back
	back    bool                 // the next records are the first after an outage
}

func newList(now func() time.Time, log *zap.Logger) *list {
	return &list{now: now, log: log, byID: map[string]hosts.Upstream{}, missing: map[string]time.Time{}}
}

// storeIsBack gives entries that lapsed while the store was away time to come back. What the first read after the outage
// does not show as gone has not lapsed but left, and is gone at once.
func (l *list) storeIsBack() { l.back = true }

// settled says whether no entry waits for its upstream to come back.
func (l *list) settled() bool { return len(l.missing) == 0 }

// apply takes over records; a whole snapshot lacks the entries that are gone.
func (l *list) apply(records []platform.Record, whole bool) {
	seen := map[string]bool{}
	for _, r := range records {
		if len(r.Value) == 0 {
			l.remove(r.Key)
			continue
		}
		seen[r.Key] = true
		l.put(r)
	}
	if whole {
		for id := range l.byID {
			if !seen[id] {
				l.remove(id)
			}
		}
	}
	l.back = false
	for id, until := range l.missing {
		if !l.now().Before(until) {
			delete(l.missing, id)
			l.drop(id)
		}
	}
}

func (l *list) put(r platform.Record) {
	delete(l.missing, r.Key)
	u, err := platform.DecodeUpstream(r.Key, r.Value)
	if err != nil {
		l.log.Warn("entry names no upstream", zap.Int64("offset", r.Offset), zap.Error(err))
		l.drop(r.Key)
		return
	}
	before, known := l.byID[u.ID]
	if !known || before.State != u.State || before.Address != u.Address || before.StartedMs != u.StartedMs || before.Pool != u.Pool {
		l.log.Info("upstream listed", zap.String("upstream", u.ID), zap.String("pool", u.Pool), zap.String("address", u.Address),
			zap.String("zone", u.Zone), zap.String("state", string(u.State)), zap.Int64("offset", r.Offset))
	}
	l.byID[u.ID] = u
}

// remove drops an entry, after a grace if it may have lapsed only because the store was away.
func (l *list) remove(id string) {
	if _, known := l.byID[id]; !known {
		return
	}
	if _, waits := l.missing[id]; waits {
		return
	}
	if l.back {
		l.missing[id] = l.now().Add(lapseGrace)
		return
	}
	l.drop(id)
}

func (l *list) drop(id string) {
	if _, known := l.byID[id]; !known {
		return
	}
	delete(l.byID, id)
	l.log.Info("upstream gone", zap.String("upstream", id))
}

func (l *list) table() *hosts.Table {
	all := make([]hosts.Upstream, 0, len(l.byID))
	for _, u := range l.byID {
		all = append(all, u)
	}
	return hosts.New(all, l.now())
}
