package watch

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/report"
	"github.com/ragworthatch/ragworthatch/platform"
)

const (
	// restoreDoubt is how long snapshots may show what was true before, after the store came back from an older copy.
	restoreDoubt = 10 * time.Second
	// lapseIntervals is after how many intervals between reports the entry of a silent upstream has lapsed for certain.
	lapseIntervals = 4
	// maxLeavingShare is the share of the upstreams that may leave while the store can't be read.
	maxLeavingShare = 1.0 / 3
)

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

	reports        *report.History
	reportInterval func() time.Duration // between the reports of an upstream
	held           map[string]heldEntry // entries that may be older than what is known, by ID
	hasPool        func(string) bool    // reports whether the configuration has a pool

	// coldStart returns for how long upstreams of a pool are cold after their start; 0 if the pool has no cold ones.
	coldStart func(pool string) time.Duration
	// coldNamed is told that an upstream has written whether it is cold, which was read at a time.
	coldNamed func(l hosts.Lifetime, asked time.Time)
	offsets   map[string]int64 // of the entries of pools with cold upstreams
	asked     time.Time        // when the store was asked for the records that are applied
}

// heldEntry is an entry that counts only if it is still there at a time, as that of an upstream that has left lapses.
type heldEntry struct {
	record platform.Record
	until  time.Time
}

func newHostList(now func() time.Time, lastState func(hosts.Lifetime) (hosts.State, bool),
	reportInterval func() time.Duration, log *zap.Logger) *hostList {
	return &hostList{
		now: now, lastState: lastState, log: log, byID: map[string]hosts.Upstream{}, missing: map[string]time.Time{},
		offsets: map[string]int64{}, coldStart: func(string) time.Duration { return 0 },
		reports: report.New(reportInterval, now), reportInterval: reportInterval, held: map[string]heldEntry{},
		hasPool: func(string) bool { return true },
	}
}

// storeRecovered keeps the entries that the next read shows as removed for lapseGrace, if they are many, as they may have
// expired only because the store was unavailable. An entry removed by a later read has really left and is dropped at once.
func (l *hostList) storeRecovered() { l.afterOutage = true }

// storeRestored keeps the entries that the next read lacks as storeRecovered does, as they were written after the copy
// that the store came back from. For restoreDoubt, snapshots bring no lifetime back that has left or is draining; an
// upstream that is there writes its entry again.
func (l *hostList) storeRestored() {
	l.afterOutage, l.doubtedUntil = true, l.now().Add(restoreDoubt)
}

// settled reports whether no removed entry is kept for a grace period.
func (l *hostList) settled() bool { return len(l.missing) == 0 }

// apply folds in records. A snapshot is complete: entries that it lacks are removed. It hides older records of the same
// keys; the recent ones of them, which come before the others, show whether it holds late reports.
func (l *hostList) apply(recent, records []platform.Record, snapshot bool) {
	doubtful := snapshot && l.now().Before(l.doubtedUntil)
	for _, r := range recent {
		l.applyRecord(r, doubtful)
	}
	seen := map[string]bool{}
	for _, r := range records {
		seen[r.Key] = l.applyRecord(r, doubtful)
	}
	if snapshot {
		for id := range l.byID {
			if !seen[id] {
				l.remove(id)
			}
		}
		maps.DeleteFunc(l.held, func(id string, _ heldEntry) bool { return !seen[id] })
	}
	if l.afterOutage && l.isOwnOutage() {
		for id := range l.missing {
			delete(l.missing, id)
			l.leave(id)
		}
	}
	l.afterOutage = false
	for id, until := range l.missing {
		if !l.now().Before(until) {
			delete(l.missing, id)
			l.leave(id)
		}
	}
	for id, h := range l.held {
		if !l.now().Before(h.until) {
			delete(l.held, id)
			l.confirm(h.record)
		}
	}
}

// isOwnOutage reports whether so few entries are missing after an outage that they have left: in an outage of the store all
// upstreams are silent for as long, and most of their entries expire.
func (l *hostList) isOwnOutage() bool {
	if l.now().Before(l.doubtedUntil) || float64(len(l.missing)) > maxLeavingShare*float64(len(l.byID)) {
		return false
	}
	ready := map[string]bool{} // pools in which others are ready
	for id, u := range l.byID {
		if _, missing := l.missing[id]; !missing && u.State == hosts.Ready {
			ready[u.Pool] = true
		}
	}
	for id := range l.missing {
		if !ready[l.byID[id].Pool] {
			return false
		}
	}
	return true
}

// applyRecord folds in a record, and reports whether it is an entry.
func (l *hostList) applyRecord(r platform.Record, doubtful bool) bool {
	switch {
	case r.Err != nil:
		l.log.Warn("entry can't be read", zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Error(r.Err))
		l.drop(r.Key)
	case len(r.Value) == 0:
		l.remove(r.Key)
	default:
		l.update(r, doubtful)
		return true
	}
	return false
}

// update adds or replaces the entry of a record. An entry that cannot be decoded is dropped. A doubtful one does not
// replace what is known since, nor does one that the store has executed late.
func (l *hostList) update(r platform.Record, doubtful bool) {
	u, err := platform.DecodeUpstream(r.Key, r.Value)
	if err != nil {
		l.log.Warn("entry names no upstream", zap.Int64("offset", r.Offset), zap.Error(err))
		l.drop(r.Key)
		return
	}
	switch verdict := l.judge(u, r); verdict {
	case report.Current:
		delete(l.held, u.ID)
		l.put(u, r, doubtful)
	case report.Doubtful:
		l.hold(r)
		fallthrough
	default:
		l.log.Info("upstream's report is older than what is known", zap.String("upstream", u.ID), zap.Int64("born", u.StartedMs),
			zap.Int64("offset", r.Offset), zap.String("verdict", string(verdict)))
	}
}

// judge reports whether an entry is older than what is known. One of a pool that the configuration lacks may have been written
// by anyone, and says nothing of the order of others.
func (l *hostList) judge(u hosts.Upstream, r platform.Record) report.Verdict {
	if !l.hasPool(u.Pool) {
		return report.Current
	}
	sequence := platform.DecodeSequence(r.Value)
	verdict := l.reports.Add(u.Lifetime(), sequence)
	before, known := l.byID[u.ID]
	if verdict == report.Current && known && l.hasPool(before.Pool) && sequence > 0 && 0 < u.StartedMs &&
		u.StartedMs < before.StartedMs {
		return report.Doubtful // its ID has been used again
	}
	return verdict
}

// hold keeps an entry aside until that of an upstream that has left would have lapsed.
func (l *hostList) hold(r platform.Record) {
	if h, held := l.held[r.Key]; held && h.record.Offset == r.Offset {
		return
	}
	l.held[r.Key] = heldEntry{record: r, until: l.now().Add(lapseIntervals * l.reportInterval())}
}

// confirm adds an entry that was held.
func (l *hostList) confirm(r platform.Record) {
	u, err := platform.DecodeUpstream(r.Key, r.Value)
	if err != nil {
		return // it was decoded before
	}
	l.log.Info("upstream's report holds", zap.String("upstream", u.ID), zap.Int64("offset", r.Offset))
	l.reports.Confirm(u.Lifetime(), platform.DecodeSequence(r.Value))
	l.put(u, r, false)
}

// put adds or replaces the entry of an upstream. A doubtful one does not replace what is known since.
func (l *hostList) put(u hosts.Upstream, r platform.Record, doubtful bool) {
	delete(l.missing, u.ID)
	before, known := l.byID[u.ID]
	if known && before.Lifetime() != u.Lifetime() && l.hasPool(u.Pool) {
		l.reports.Left(before.Lifetime())
	}
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
		delete(l.held, id)
		return
	}
	if _, pending := l.missing[id]; pending {
		return
	}
	if l.afterOutage {
		l.missing[id] = l.now().Add(lapseGrace)
		return
	}
	l.leave(id)
}

// leave drops the entry of an upstream that has left.
func (l *hostList) leave(id string) {
	if u, known := l.byID[id]; known {
		l.reports.Left(u.Lifetime())
	}
	l.drop(id)
}

// drop deletes an entry at once, if there is one.
func (l *hostList) drop(id string) {
	delete(l.held, id)
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
