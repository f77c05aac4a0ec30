package watch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/cursor"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/edge/wakeup"
	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
	"github.com/ragworthatch/ragworthatch/platform"
)

const (
	rulesPollWait       = 700 * time.Millisecond  // a read of the configuration waits this long for a change
	callTimeout         = 1200 * time.Millisecond // of a call, beyond its wait
	rulesFreshFor       = 1300 * time.Millisecond // a configuration that the leader read this recently is not read here
	evacuationFreshPart = 0.26                    // of EvacuateWithin: instead of rulesFreshFor if that is longer
	recheckInterval     = 50 * time.Millisecond   // between checks while reads are skipped, and after a trim
	readIntervalPart    = 0.1                     // of RulesWithin: pause after a read that returned versions
	ledReadIntervalPart = 0.25                    // of RulesWithin: the same pause while the leader sends updates
	pullDelayPart       = 0.4                     // of RulesWithin: lag after which the leader's version is pulled
	leaderTimeout       = 1 * time.Second         // after the last update, the leader counts as silent
	pollPart            = 0.3                     // of DrainWithin: age at which the list is read again
	ledPollPart         = 0.55                    // of DrainWithin: the same age while the leader sends its list
	leaderHostsTimeout  = 700 * time.Millisecond  // after its last list, the leader counts as not sending one
	minBackoff          = 250 * time.Millisecond  // after a failed call; doubles up to maxBackoff
	maxBackoff          = 700 * time.Millisecond
	outageAfter         = 3000 * time.Millisecond // without an answer, the store counts as having been unavailable
	departedRetention   = 2 * time.Minute         // of lifetimes that left, which an older copy of the store may still show
	lapseGrace          = 2200 * time.Millisecond // after an outage, entries that are missing are kept this long
	rulesTopic          = platform.TopicRules
	hostsTopic          = platform.TopicUpstreams
)

// Options are the dependencies of a Watcher.
type Options struct {
	Store       cursor.Store
	DrainWithin func() time.Duration // longest time until a record that an upstream leaves has effect here
	// ReportInterval is the time between two reports of an upstream.
	ReportInterval func() time.Duration
	RulesWithin    func() time.Duration // longest time until a record of a configuration has effect here
	// EvacuateWithin is the longest time until a record of an evacuation has effect here.
	EvacuateWithin func() time.Duration
	AwaitsLeader   func() bool               // reports whether the leader is about to send its state to this process
	IsLeaving      func(hosts.Lifetime) bool // reports whether an upstream has announced that it is leaving
	Answered       *wakeup.Signal            // fires when the store has answered any reader in this process
	Stats          *stats.Stats
	Now            func() time.Time
	Log            *zap.Logger
}

// Watcher publishes the newest configuration and list of upstreams; it is safe for concurrent use.
type Watcher struct {
	o     Options
	rules atomic.Pointer[rule.Rules]
	hosts atomic.Pointer[hosts.Table]
	raw   atomic.Pointer[rawRules]

	rulesReadAt   atomic.Pointer[time.Time]    // last answer of the store on the configuration; zero after a failure
	confirmedAt   atomic.Pointer[time.Time]    // when the leader last read the version in force here; zero for another
	unsettled     atomic.Bool                  // the list holds entries that may have expired
	leaderHostsAt atomic.Pointer[time.Time]    // time of the last list of upstreams from the leader
	leaderRules   atomic.Pointer[Revision]     // the leader's version of the configuration
	leaderRulesAt atomic.Pointer[time.Time]    // time of the last update of leaderRules
	listReadAt    atomic.Pointer[time.Time]    // when this process last read the list of upstreams from the store
	mu            sync.Mutex                   // serializes changes of rules and hosts
	lag           versionLag                   // guarded by mu
	departed      map[hosts.Lifetime]time.Time // when lifetimes left the list; guarded by mu
	others        otherReads                   // guarded by mu
	zones         atomic.Pointer[zones.Set]    // changed under mu
	returned      map[hosts.Lifetime]coldTerm  // of upstreams whose zone is no longer evacuated; guarded by mu
}

// Revision is a version of the configuration, the offset of its record, and when a process last read it.
type Revision struct {
	Version     int64
	Offset      int64     // of its record in the store; -1 if unknown
	Era         int64     // of the store, in which Offset is valid
	ConfirmedAt time.Time // when the store last confirmed it

	// Zones are the records of evacuated zones that the process knows, complete before the position ZonesEra, ZonesEnd,
	// which is behind Offset. LacksZones means that it does not share them.
	Zones      []zones.Record
	ZonesEra   int64
	ZonesEnd   int64
	LacksZones bool
}

// versionLag says since when this process has had the same version, older than the leader's; it is zero if the version
// here is not older.
type versionLag struct {
	inForce int64 // the version in force here
	since   time.Time
}

// rawRules is an undecoded configuration.
type rawRules struct {
	version int64
	offset  int64
	era     int64
	body    []byte
}

// New returns a watcher with an empty configuration and list; Run fills them.
func New(o Options) *Watcher {
	w := &Watcher{o: o, departed: map[hosts.Lifetime]time.Time{}}
	w.rules.Store(rule.New(0, nil, nil, nil, rule.Limits{}))
	w.hosts.Store(hosts.New(nil, time.Time{}).WithVersion(1))
	w.zones.Store(zones.New())
	w.rulesReadAt.Store(&time.Time{})
	w.confirmedAt.Store(&time.Time{})
	w.leaderHostsAt.Store(&time.Time{})
	w.listReadAt.Store(&time.Time{})
	w.raw.Store(&rawRules{offset: -1})
	w.leaderRules.Store(&Revision{Offset: -1})
	w.leaderRulesAt.Store(&time.Time{})
	w.returned = map[hosts.Lifetime]coldTerm{}
	return w
}

// Rules returns the newest configuration; its version is 0 before any is known.
func (w *Watcher) Rules() *rule.Rules { return w.rules.Load() }

// Hosts returns the newest list of upstreams.
func (w *Watcher) Hosts() *hosts.Table { return w.hosts.Load() }

// SharedHosts returns the list for other entries. While it holds entries that may have expired, its read time is zero,
// so that an entry that knows better does not adopt it.
func (w *Watcher) SharedHosts() *hosts.Table {
	if w.unsettled.Load() {
		return w.Hosts().WithRead(time.Time{})
	}
	return w.Hosts()
}

// ListReadAt returns when this process last read the list of upstreams from the store; zero if it has not.
func (w *Watcher) ListReadAt() time.Time { return *w.listReadAt.Load() }

// ObserveRead records that another entry has read the list of upstreams from the store. After an outage that only this
// process had, entries that are missing have not expired because of it.
func (w *Watcher) ObserveRead(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.others.add(at)
}

// othersRead reports whether other entries have read the list of upstreams for long enough that those which expired in an
// outage of the store are back.
func (w *Watcher) othersRead(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.others.cover(now.Add(-lapseGrace), now)
}

// RulesReadAt returns when the configuration was last read from the store; zero if the last read failed.
func (w *Watcher) RulesReadAt() time.Time { return *w.rulesReadAt.Load() }

// RawRules returns the newest configuration undecoded, with its version, offset and the time of the last read.
func (w *Watcher) RawRules() (Revision, []byte) {
	raw := w.raw.Load()
	return Revision{Version: raw.version, Offset: raw.offset, Era: raw.era, ConfirmedAt: w.RulesReadAt()}, raw.body
}

// Adopt puts the leader's configuration in force if it is newer than the one here.
func (w *Watcher) Adopt(version int64, body []byte) {
	if version > w.Rules().Version() {
		w.updateRules(body, platform.Position{Offset: -1}, "leader")
	}
}

// ShouldPull reports whether to pull the leader's version of the configuration: this process has not read it from the
// store within pullDelayPart of RulesWithin, or it has no configuration yet and the leader has read its own recently.
func (w *Watcher) ShouldPull(rules Revision) bool {
	version, here, now := rules.Version, w.Rules().Version(), w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case version <= here:
		w.lag = versionLag{}
	case here == 0 && now.Sub(rules.ConfirmedAt) < rulesFreshFor:
		return true
	case w.lag.since.IsZero() || w.lag.inForce != here:
		w.lag = versionLag{inForce: here, since: now}
	default:
		return now.Sub(w.lag.since) > scale(pullDelayPart, w.o.RulesWithin())
	}
	return false
}

// scale returns the fraction part of d.
func scale(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }

// RefreshLeaving publishes the list again after an upstream has announced that it is leaving.
func (w *Watcher) RefreshLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publishHosts(w.hosts.Load())
}

// Confirm records what the leader has read from the store, so that this process need not read it too: the version of
// the configuration, and the list of upstreams, which is published if it is newer than the one here. A nil table is
// ignored.
func (w *Watcher) Confirm(rules Revision, table *hosts.Table) {
	now, read := w.o.Now(), rules.ConfirmedAt
	if rules.Version != w.Rules().Version() || rules.LacksZones {
		read = time.Time{}
	}
	if !rules.LacksZones { // before the configuration is skipped to, as that skips records of zones
		w.updateZones(func(s *zones.Set) *zones.Set { return s.WithAll(rules.Zones, rules.ZonesEra, rules.ZonesEnd) }, "leader")
	}
	w.confirmedAt.Store(&read)
	w.leaderRules.Store(&rules)
	w.leaderRulesAt.Store(&now)
	if table != nil {
		w.leaderHostsAt.Store(&now)
		w.ObserveRead(table.Read())
		w.endReturned(table)
		w.updateHosts(table)
	}
}

// updateHosts publishes a list unless a newer one is known.
func (w *Watcher) updateHosts(t *hosts.Table) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.Read().Before(w.hosts.Load().Read()) {
		return
	}
	w.publishHosts(t)
}

// publishHosts publishes a list, in which upstreams that have announced that they are leaving take no new work. The
// caller holds mu.
func (w *Watcher) publishHosts(t *hosts.Table) {
	before := w.hosts.Load()
	t = t.WithLeaving(w.o.IsLeaving).WithEvacuated(w.zones.Load().Evacuated())
	if len(w.returned) > 0 {
		t = t.WithCold(w.returnedCold)
	}
	version := before.Version()
	if !t.Same(before) {
		version++
	}
	w.hosts.Store(t.WithVersion(version))
	w.noteDepartures(before, t)
}

// noteDepartures remembers the lifetimes that are in the list before but not in the next one. The caller holds mu.
func (w *Watcher) noteDepartures(before, next *hosts.Table) {
	now := w.o.Now()
	for _, u := range before.All() {
		if n, listed := next.Get(u.ID); !listed || n.Lifetime() != u.Lifetime() {
			w.departed[u.Lifetime()] = now
		}
	}
	for l, at := range w.departed {
		if u, listed := next.Get(l.ID); (listed && u.Lifetime() == l) || now.Sub(at) > departedRetention {
			delete(w.departed, l)
		}
	}
}

// lastState returns the last known state of a lifetime, empty if it is not listed, and whether it has left the list.
func (w *Watcher) lastState(l hosts.Lifetime) (state hosts.State, left bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u, listed := w.hosts.Load().Get(l.ID); listed && u.Lifetime() == l {
		return u.State, false
	}
	_, left = w.departed[l]
	return "", left
}

// Run follows the store until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.follow(ctx, &topicReader{
			blocked: func() bool { return false },
			topic:   rulesTopic, wait: rulesPollWait, apply: w.applyRules, interval: w.rulesInterval,
			skipTo: w.newestRulesPosition,
			failed: func() { w.rulesReadAt.Store(&time.Time{}) }, // other entries must not rely on this process
			fresh: func() bool {
				limit := min(rulesFreshFor, scale(evacuationFreshPart, w.o.EvacuateWithin()))
				return w.o.Now().Sub(*w.confirmedAt.Load()) < limit
			},
		})
	}()
	list := newHostList(w.o.Now, w.lastState, w.o.ReportInterval, w.o.Log)
	list.coldStart, list.coldNamed = w.coldStart, w.coldNamed
	list.hasPool = func(name string) bool {
		_, ok := w.Rules().Pool(name)
		return ok
	}
	w.follow(ctx, &topicReader{
		topic: hostsTopic,
		apply: func(r reading) {
			now := w.o.Now()
			w.listReadAt.Store(&now)
			list.asked = r.asked
			list.apply(r.recent, r.records, r.snapshot)
			w.unsettled.Store(!list.settled())
			w.updateHosts(list.table(r.asked))
		},
		recovered: func() {
			if now := w.o.Now(); w.othersRead(now) {
				w.o.Log.Info("other entries have read the list of upstreams meanwhile")
				return
			}
			list.storeRecovered()
		},
		restored:   list.storeRestored,
		readRecent: true,
		// Until the first configuration is read, one reader is enough to detect that the store is back.
		blocked: func() bool { return w.Rules().Version() == 0 },
		fresh: func() bool {
			now, limit := w.o.Now(), pollPart
			if now.Sub(*w.leaderHostsAt.Load()) < leaderHostsTimeout {
				limit = ledPollPart
			}
			read := w.Hosts().Read()
			if own := w.ListReadAt(); own.After(read) {
				read = own
			}
			return now.Sub(read) < time.Duration(limit*float64(w.o.DrainWithin()))
		},
	})
	<-done
}

// reading is one answer of the store.
type reading struct {
	records  []platform.Record
	recent   []platform.Record // those that a snapshot stands for; see topicReader
	snapshot bool
	era      int64
	end      int64     // offset after the last record
	asked    time.Time // the answer may have waited for this process since, which may have stood still
}

// topicReader describes how one topic is read.
type topicReader struct {
	topic     platform.Topic
	wait      time.Duration // a read waits this long for a new record
	apply     func(reading)
	recovered func()               // called when the store answers again after an outage
	restored  func()               // called before the first snapshot after the store came back from a copy; nil for none
	failed    func()               // called after a failed read; nil for none
	fresh     func() bool          // reports whether the current state is recent enough to skip the read
	blocked   func() bool          // reports whether the first snapshot must wait for that of another topic
	interval  func() time.Duration // pause after a read that returned records; nil for none
	// readRecent says that the records which a snapshot stands for are read, too, unless it holds all that were ever written.
	readRecent bool
	// skipTo returns the position before which records are not needed, with offset -1 if it is unknown; nil for none.
	skipTo func() platform.Position
}

// follow reads a topic until ctx ends: a snapshot first, then the records after it. When records that were not read yet
// have been trimmed, it reads a snapshot again.
func (w *Watcher) follow(ctx context.Context, f *topicReader) {
	cur, inOutage := cursor.New(w.o.Store, f.topic, f.wait, callTimeout), false
	answeredAt := w.o.Now()
	retry := pause.Backoff{Min: minBackoff, Max: maxBackoff}
	for ctx.Err() == nil {
		if f.fresh() || (!cur.Synced() && (w.awaitsLeader() || f.blocked())) {
			pause.For(ctx, recheckInterval)
			continue
		}
		if f.skipTo != nil {
			cur.Skip(f.skipTo())
		}
		answered, asked := w.o.Answered.Count(), w.o.Now()
		records, snapshot, err := cur.Read(ctx)
		if errors.Is(err, platform.ErrRestored) {
			w.o.Log.Warn("store restored from an older copy, reading a snapshot", zap.String("topic", string(f.topic)),
				zap.Int64("from", cur.Position().Offset), zap.Int64("era", cur.Position().Era))
			continue
		}
		if errors.Is(err, platform.ErrTrimmed) {
			w.o.Log.Info("records trimmed, reading a snapshot", zap.String("topic", string(f.topic)),
				zap.Int64("from", cur.Position().Offset), zap.Int64("era", cur.Position().Era))
			pause.For(ctx, recheckInterval)
			continue
		}
		w.o.Stats.StoreCall(string(f.topic), err == nil)
		now := w.o.Now()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if f.failed != nil {
				f.failed()
			}
			if !inOutage {
				inOutage = true
				w.o.Log.Warn("store lost", zap.String("topic", string(f.topic)), zap.Error(err))
			}
			wait := minBackoff // no longer, as nothing is served before the first answer
			if cur.Synced() {
				wait = retry.Next()
			}
			w.o.Answered.Wait(ctx, answered, minBackoff, wait)
			continue
		}
		retry.Reset()
		w.o.Answered.Succeeded()
		if inOutage {
			inOutage = false
			outage := now.Sub(answeredAt)
			w.o.Log.Info("store regained", zap.String("topic", string(f.topic)), zap.Duration("away", outage),
				zap.Int64("offset", cur.Position().Offset), zap.Int64("era", cur.Position().Era))
			if outage > outageAfter && f.recovered != nil {
				f.recovered()
			}
		}
		answeredAt = now
		if cur.Restored() && f.restored != nil {
			f.restored()
		}
		var recent []platform.Record
		if f.readRecent && snapshot && cur.Position().Offset > int64(len(records)) {
			recent = w.readRecent(ctx, cur, f.topic)
		}
		f.apply(reading{records, recent, snapshot, cur.Position().Era, cur.Position().Offset, asked})
		if f.interval != nil && len(records) > 0 {
			pause.For(ctx, f.interval())
		}
	}
}

// readRecent reads the recent records of a topic. Without them the snapshot counts as it is.
func (w *Watcher) readRecent(ctx context.Context, cur *cursor.Cursor, topic platform.Topic) []platform.Record {
	records, err := cur.Recent(ctx)
	w.o.Stats.StoreCall(string(topic), err == nil)
	if err != nil {
		w.o.Log.Warn("can't read the recent records", zap.String("topic", string(topic)), zap.Error(err))
	}
	return records
}

// hearsLeader reports whether the leader has sent its version of the configuration recently.
func (w *Watcher) hearsLeader() bool { return w.o.Now().Sub(*w.leaderRulesAt.Load()) < leaderTimeout }

// awaitsLeader reports whether this process, which has just started, should wait for the leader's state instead of
// reading the store. A leader that cannot reach the store itself is not waited for.
func (w *Watcher) awaitsLeader() bool {
	lead := w.leaderRules.Load()
	isStale := lead.Version > 0 && w.o.Now().Sub(lead.ConfirmedAt) > rulesFreshFor
	return w.o.AwaitsLeader() && !isStale
}

// rulesInterval returns the pause between reads of the configuration, which keeps versions in quick succession from
// being read one by one.
func (w *Watcher) rulesInterval() time.Duration {
	if w.hearsLeader() {
		return scale(ledReadIntervalPart, w.o.RulesWithin())
	}
	return scale(readIntervalPart, w.o.RulesWithin())
}

// newestRulesPosition returns the position of the leader's configuration if that is newer than the one here, else an
// offset of -1. It is -1 also if the leader does not share the records of evacuated zones, which may be before it.
func (w *Watcher) newestRulesPosition() platform.Position {
	if lead := w.leaderRules.Load(); lead.Version > w.Rules().Version() && !lead.LacksZones {
		return platform.Position{Era: lead.Era, Offset: lead.Offset}
	}
	return platform.Position{Offset: -1}
}

// applyRules puts the valid configuration of the highest version among the records in force, which need not be the last one.
// The records of evacuated zones come first, so that a process that starts knows them before it can serve.
func (w *Watcher) applyRules(read reading) {
	now := w.o.Now()
	w.applyZones(read)
	w.rulesReadAt.Store(&now)
	versions := slices.DeleteFunc(slices.Clone(read.records), func(r platform.Record) bool {
		return r.Key != platform.RulesKey || len(r.Value) == 0
	})
	if len(versions) > 1 {
		slices.SortStableFunc(versions, func(a, b platform.Record) int {
			return cmp.Compare(platform.RulesVersion(a.Value), platform.RulesVersion(b.Value))
		})
	}
	for _, r := range slices.Backward(versions) {
		if w.updateRules(r.Value, platform.Position{Era: read.era, Offset: r.Offset}, "store") {
			return
		}
	}
}

// updateRules puts a configuration in force if it is newer than the current one, and reports whether it is valid.
func (w *Watcher) updateRules(body []byte, at platform.Position, source string) bool {
	rules, err := platform.DecodeRules(body)
	if err != nil {
		w.o.Log.Error("invalid configuration, the one before stays", zap.String("source", source), zap.Error(err))
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.rules.Load().Version()
	if rules.Version() <= before {
		if rules.Version() < before {
			w.o.Log.Info("older configuration ignored", zap.Int64("version", rules.Version()), zap.Int64("inForce", before),
				zap.Int64("offset", at.Offset), zap.String("source", source))
		}
		return true
	}
	w.raw.Store(&rawRules{version: rules.Version(), offset: at.Offset, era: at.Era, body: body})
	w.rules.Store(rules)
	w.o.Log.Info("configuration in force", zap.Int64("version", rules.Version()), zap.Int64("before", before),
		zap.String("source", source))
	return true
}
