package watch

import (
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/platform"
)

// restoreDoubt is how long snapshots may show what was true before, after the store came back from an older copy.
const restoreDoubt = 10 * time.Second

// hostList folds records of the upstreams topic into the current list of upstreams.
type hostList struct {
	now         func() time.Time
	log         *zap.Logger
	byID        map[string]hosts.Upstream
	missing     map[string]time.Time // removed by the first read after an outage; each is kept until this time
	afterOutage bool                 // the next records are the first ones read after an outage
	// lastState returns the last known state of a lifetime, empty if it is not listed, and whether it has left.
	lastState    func(hosts.Lifetime) (state hosts.State, left bool)
	doubtedUntil time.Time // snapshots may show what was true before

	// coldStart returns for how long upstreams of a pool are cold after their start; 0 if the pool has no cold ones.
	coldStart func(pool string) time.Duration
	// coldNamed is told that an upstream has written whether it is cold, which was read at a time.
	coldNamed func(l hosts.Lifetime, asked time.Time)
	offsets   map[string]int64 // of the entries of pools with cold upstreams
	asked     time.Time        // when the store was asked for the records that are applied
}

func newHostList(
	now func() time.Time, lastState func(hosts.Lifetime) (hosts.State, bool), log *zap.Logger) *hostList {
	return &hostList{
		now: now, lastState: lastState, log: log, byID: map[string]hosts.Upstream{}, missing: map[string]time.Time{},
		offsets: map[string]int64{}, coldStart: func(string) time.Duration { return 0 },
	}
}

// storeRecovered keeps the entries that the next read shows as removed for lapseGrace, as they may have expired only
// because the store was unavailable. An entry removed by a later read has really left and is dropped at once.
func (l *hostList) storeRecovered() { l.afterOutage = true }

// storeRestored keeps the entries that the next read lacks as storeRecovered does, as they were written after the copy
// that the store came back from. For restoreDoubt, snapshots bring no lifetime back that has left or is draining; an
// upstream that is there writes its entry again.
func (l *hostList) storeRestored() {
	l.afterOutage, l.doubtedUntil = true, l.now().Add(restoreDoubt)
}

// settled reports whether no removed entry is kept for a grace period.
func (l *hostList) settled() bool { return len(l.missing) == 0 }

// apply folds in records. A snapshot is complete: entries that it lacks are removed.
func (l *hostList) apply(records []platform.Record, snapshot bool) {
	seen := map[string]bool{}
	for _, r := range records {
		if r.Err != nil {
			l.log.Warn("entry can't be read", zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(r.Err))
			l.drop(r.Key)
			continue
		}
		if len(r.Value) == 0 {
			l.remove(r.Key)
			continue
		}
		seen[r.Key] = true
		l.update(r, snapshot && l.now().Before(l.doubtedUntil))
	}
	if snapshot {
		for id := range l.byID {
			if !seen[id] {
				l.remove(id)
			}
		}
	}
	l.afterOutage = false
	for id, until := range l.missing {
		if !l.now().Before(until) {
			delete(l.missing, id)
			l.drop(id)
		}
	}
}

// update adds or replaces the entry of a record. An entry that cannot be decoded is dropped. A doubtful one does not
// replace what is known since.
func (l *hostList) update(r platform.Record, doubtful bool) {
	delete(l.missing, r.Key)
	u, err := platform.DecodeUpstream(r.Key, r.Value)
	if err != nil {
		l.log.Warn("entry names no upstream", zap.Int64("offset", r.Offset), zap.Error(err))
		l.drop(r.Key)
		return
	}
	before, known := l.byID[u.ID]
	if doubtful {
		switch state, left := l.lastState(u.Lifetime()); {
		case left, known && before.StartedMs > u.StartedMs:
			l.log.Info("upstream of an older copy ignored", zap.String("upstream", u.ID), zap.Int64("born", u.StartedMs))
			return
		case state == hosts.Draining:
			u.State = state
		}
	}
	if !known || before.State != u.State || before.Address != u.Address || before.StartedMs != u.StartedMs ||
		before.Pool != u.Pool || before.Version != u.Version {
		l.log.Info("upstream listed", zap.String("upstream", u.ID), zap.String("pool", u.Pool),
			zap.String("address", u.Address), zap.String("software", u.Version), zap.Int64("born", u.StartedMs),
			zap.String("zone", u.Zone), zap.String("state", string(u.State)), zap.Int64("offset", r.Offset))
	}
	u.ColdUntilMs = l.coldUntil(before, known, u, r)
	l.byID[u.ID] = u
}

// coldUntil returns the time in Unix ms until which an upstream is cold by the record of its entry. One that does not say
// is cold from when it is new in the list on.
func (l *hostList) coldUntil(before hosts.Upstream, known bool, u hosts.Upstream, r platform.Record) int64 {
	start := l.coldStart(u.Pool)
	if start <= 0 {
		return 0
	}
	known = known && before.Lifetime() == u.Lifetime()
	if offset, read := l.offsets[u.ID]; known && read && offset == r.Offset {
		return before.ColdUntilMs // the record was read before, and what it says counts from then on
	}
	l.offsets[u.ID] = r.Offset
	left, named := platform.DecodeCold(r.Value)
	switch {
	case named:
		l.coldNamed(u.Lifetime(), l.asked)
		if left == 0 {
			return 0
		}
		return l.now().Add(left).UnixMilli()
	case known:
		return before.ColdUntilMs
	}
	return l.now().Add(start).UnixMilli()
}

// remove drops an entry, after lapseGrace if it may have expired only because the store was unavailable.
func (l *hostList) remove(id string) {
	if _, known := l.byID[id]; !known {
		return
	}
	if _, pending := l.missing[id]; pending {
		return
	}
	if l.afterOutage {
		l.missing[id] = l.now().Add(lapseGrace)
		return
	}
	l.drop(id)
}

// drop deletes an entry at once, if there is one.
func (l *hostList) drop(id string) {
	if _, known := l.byID[id]; !known {
		return
	}
	delete(l.byID, id)
	delete(l.offsets, id)
	l.log.Info("upstream gone", zap.String("upstream", id))
}

// table returns the list as of the last answer, which was asked for at the given time.
func (l *hostList) table(asked time.Time) *hosts.Table {
	all := make([]hosts.Upstream, 0, len(l.byID))
	for _, u := range l.byID {
		all = append(all, u)
	}
	return hosts.New(all, asked)
}
