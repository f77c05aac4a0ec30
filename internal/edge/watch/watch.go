package watch

import (
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
	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
	"github.com/ragworthatch/ragworthatch/platform"
)

const (
	rulesWait   = 700 * time.Millisecond  // a read of the configuration waits this long for a change
	callTimeout = 1200 * time.Millisecond // of a call, beyond its wait
	rulesFresh  = 1300 * time.Millisecond // a configuration that the leader read this recently is not read here
	freshPoll   = 50 * time.Millisecond
	leadPace    = 0.1                    // of the time within which a change must be in force: between changes that are read here,
	followPace  = 0.25                   // or while the leader tells of them
	lackPart    = 0.4                    // of it: without a version that the leader has, until that one is asked for it
	leaderFor   = 1 * time.Second        // after the leader's last word
	pollPart    = 0.3                    // of the time within which an upstream's leaving must be known: between reads of the list
	trustPart   = 0.55                   // of it: age of the leader's list from which on it is read here
	trustFor    = 700 * time.Millisecond // after the leader's last word
	retryPause  = 250 * time.Millisecond // after a call that failed; doubles up to
	longestWait = 700 * time.Millisecond
	outageAfter = 3000 * time.Millisecond // without an answer, the store counts as having been away
	lapseGrace  = 2200 * time.Millisecond // after an outage, entries that are missing may come back
	rulesTopic  = platform.TopicRules
	hostsTopic  = platform.TopicUpstreams
)

// Options are the dependencies of a Watch.
type Options struct {
	Store       cursor.Store
	DrainWithin func() time.Duration      // an upstream's leaving must be known this long after the store knows it
	RulesWithin func() time.Duration      // a configuration must be in force this long after the store knows it
	Awaits      func() bool               // the leader is about to tell this process what it has read
	Leaves      func(hosts.Lifetime) bool // an upstream has said that it leaves
	Answered    *wakeup.Signal            // the store has answered somebody in this process
	Stats       *stats.Stats
	Now         func() time.Time
	Log         *zap.Logger
}

// Watch publishes the newest configuration and list of upstreams.
type Watch struct {
	o     Options
	rules atomic.Pointer[rule.Rules]
	hosts atomic.Pointer[hosts.Table]
	raw   atomic.Pointer[rawRules]

	rulesRead atomic.Pointer[time.Time] // the last answer of the store
	confirmed atomic.Pointer[time.Time] // when the leader last read the version in force here
	unsettled atomic.Bool               // the list holds entries that may have lapsed
	told      atomic.Pointer[time.Time] // when the leader last told its list of upstreams
	lead      atomic.Pointer[Sighting]  // what the leader told of the configuration
	heard     atomic.Pointer[time.Time] // when it did
	mu        sync.Mutex                // orders changes of rules and hosts
	lacked    lack                      // under mu
}

// Sighting is a configuration that a process has read.
type Sighting struct {
	Version int64
	Offset  int64     // of its record in the store; -1 if not known
	Read    time.Time // when the store last confirmed it
}

// lack is a time during which this process has not got on to a version that the leader has.
type lack struct {
	at    int64 // the version in force here
	since time.Time
}

// rawRules is a configuration as the operator wrote it.
type rawRules struct {
	version int64
	offset  int64
	body    []byte
}

// New returns a watch that knows nothing until Run.
func New(o Options) *Watch {
	w := &Watch{o: o}
	w.rules.Store(rule.New(0, nil, nil, nil, rule.Limits{}))
	w.hosts.Store(hosts.New(nil, time.Time{}).WithVersion(1))
	w.rulesRead.Store(&time.Time{})
	w.confirmed.Store(&time.Time{})
	w.told.Store(&time.Time{})
	w.raw.Store(&rawRules{offset: -1})
	w.lead.Store(&Sighting{Offset: -1})
	w.heard.Store(&time.Time{})
	return w
}

// Rules is the newest configuration; its version is 0 before any is known.
func (w *Watch) Rules() *rule.Rules { return w.rules.Load() }

// Hosts is the newest list of upstreams.
func (w *Watch) Hosts() *hosts.Table { return w.hosts.Load() }

// SharedHosts is the list as other entries may rely on it: while it holds entries that may have lapsed, they must not, as
// some of them may know better.
func (w *Watch) SharedHosts() *hosts.Table {
	if w.unsettled.Load() {
		return w.Hosts().WithRead(time.Time{})
	}
	return w.Hosts()
}

// RulesRead is when the configuration was last read from the store.
func (w *Watch) RulesRead() time.Time { return *w.rulesRead.Load() }

// Raw is the newest configuration as the operator wrote it, and where it was read.
func (w *Watch) Raw() (Sighting, []byte) {
	raw := w.raw.Load()
	return Sighting{Version: raw.version, Offset: raw.offset, Read: w.RulesRead()}, raw.body
}

// Adopt takes over the leader's configuration if it is newer than the one in force here.
func (w *Watch) Adopt(version int64, body []byte) {
	if version > w.Rules().Version() {
		w.takeRules(body, -1, "leader")
	}
}

// Lacks says whether a version that the leader has should be asked for there: it was not read from the store in time, or
// this process has just started and the leader has just read it.
func (w *Watch) Lacks(rules Sighting) bool {
	version, here, now := rules.Version, w.Rules().Version(), w.o.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case version <= here:
		w.lacked = lack{}
	case here == 0 && now.Sub(rules.Read) < rulesFresh:
		return true
	case w.lacked.since.IsZero() || w.lacked.at != here:
		w.lacked = lack{at: here, since: now}
	default:
		return now.Sub(w.lacked.since) > part(lackPart, w.o.RulesWithin())
	}
	return false
}

// part is a part of a time.
func part(of float64, d time.Duration) time.Duration { return time.Duration(of * float64(d)) }

// Refresh takes over that upstreams have said that they leave.
func (w *Watch) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putHosts(w.hosts.Load())
}

// Confirm takes over what the leader has read from the store, so that this process need not read it too: the version of
// the configuration, and the list of upstreams if it is newer than the one here; nil if that is not known.
func (w *Watch) Confirm(rules Sighting, table *hosts.Table) {
	now, read := w.o.Now(), rules.Read
	if rules.Version != w.Rules().Version() {
		read = time.Time{}
	}
	w.confirmed.Store(&read)
	w.lead.Store(&rules)
	w.heard.Store(&now)
	if table != nil {
		w.told.Store(&now)
		w.setHosts(table)
	}
}

// setHosts publishes a list unless a newer one is known.
func (w *Watch) setHosts(t *hosts.Table) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.Read().Before(w.hosts.Load().Read()) {
		return
	}
	w.putHosts(t)
}

// putHosts publishes a list, in which upstreams that have said that they leave take no new work.
func (w *Watch) putHosts(t *hosts.Table) {
	before := w.hosts.Load()
	t = t.WithLeaving(w.o.Leaves)
	version := before.Version()
	if !t.Same(before) {
		version++
	}
	w.hosts.Store(t.WithVersion(version))
}

// Run follows the store until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.follow(ctx, &follower{
			waits: func() bool { return false },
			topic: rulesTopic, wait: rulesWait, apply: w.applyRules, pace: w.rulesPace, skip: w.newestRules,
			lost:  func() { w.rulesRead.Store(&time.Time{}) }, // others must not rely on this process
			fresh: func() bool { return w.o.Now().Sub(*w.confirmed.Load()) < rulesFresh },
		})
	}()
	list := newList(w.o.Now, w.o.Log)
	w.follow(ctx, &follower{
		topic: hostsTopic,
		apply: func(records []platform.Record, whole bool) {
			list.apply(records, whole)
			w.unsettled.Store(!list.settled())
			w.setHosts(list.table())
		},
		back: list.storeIsBack,
		// One topic is enough to find a store that was away.
		waits: func() bool { return w.Rules().Version() == 0 },
		fresh: func() bool {
			now, limit := w.o.Now(), pollPart
			if now.Sub(*w.told.Load()) < trustFor {
				limit = trustPart
			}
			return now.Sub(w.Hosts().Read()) < time.Duration(limit*float64(w.o.DrainWithin()))
		},
	})
	<-done
}

// follower reads one topic.
type follower struct {
	topic platform.Topic
	wait  time.Duration // of a read, for a new record
	apply func(records []platform.Record, whole bool)
	back  func()               // the store answers again after an outage
	lost  func()               // a read failed
	fresh func() bool          // the leader has just read the topic
	waits func() bool          // another topic is read first
	pace  func() time.Duration // between reads that return records; nil for none
	skip  func() int64         // an offset before which no record is of use; nil for none
}

// follow reads a topic from a snapshot on; a snapshot again when records were trimmed.
func (w *Watch) follow(ctx context.Context, f *follower) {
	at, lost := cursor.New(w.o.Store, f.topic, f.wait, callTimeout), false
	heard := w.o.Now()
	retry := pause.Growing{First: retryPause, Most: longestWait}
	for ctx.Err() == nil {
		if f.fresh() || (!at.Synced() && (w.awaits() || f.waits())) {
			pause.For(ctx, freshPoll)
			continue
		}
		if f.skip != nil {
			at.Skip(f.skip())
		}
		answered := w.o.Answered.Count()
		records, whole, err := at.Read(ctx)
		if errors.Is(err, platform.ErrTrimmed) {
			w.o.Log.Info("records trimmed, reading a snapshot", zap.String("topic", string(f.topic)), zap.Int64("from", at.Offset()))
			pause.For(ctx, freshPoll)
			continue
		}
		w.o.Stats.StoreCall(string(f.topic), err == nil)
		now := w.o.Now()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if f.lost != nil {
				f.lost()
			}
			if !lost {
				lost = true
				w.o.Log.Warn("store lost", zap.String("topic", string(f.topic)), zap.Error(err))
			}
			wait := retryPause // nothing is served before the first answer
			if at.Synced() {
				wait = retry.Next()
			}
			w.o.Answered.Wait(ctx, answered, retryPause, wait)
			continue
		}
		retry.Reset()
		w.o.Answered.Succeeded()
		if lost {
			lost = false
			away := now.Sub(heard)
			w.o.Log.Info("store regained", zap.String("topic", string(f.topic)), zap.Duration("away", away))
			if away > outageAfter && f.back != nil {
				f.back()
			}
		}
		heard = now
		f.apply(records, whole)
		if f.pace != nil && len(records) > 0 {
			pause.For(ctx, f.pace())
		}
	}
}

// isLed says whether the leader has told of the configuration lately.
func (w *Watch) isLed() bool { return w.o.Now().Sub(*w.heard.Load()) < leaderFor }

// awaits says whether the leader is about to tell this process, which has just started, what it needs; one that does not
// reach the store itself is not waited for.
func (w *Watch) awaits() bool {
	lead := w.lead.Load()
	isStale := lead.Version > 0 && w.o.Now().Sub(lead.Read) > rulesFresh
	return w.o.Awaits() && !isStale
}

// rulesPace keeps versions that follow each other quickly from being read one by one.
func (w *Watch) rulesPace() time.Duration {
	if w.isLed() {
		return part(followPace, w.o.RulesWithin())
	}
	return part(leadPace, w.o.RulesWithin())
}

// newestRules is the offset of the newest configuration that the leader told of.
func (w *Watch) newestRules() int64 {
	if lead := w.lead.Load(); lead.Version > w.Rules().Version() {
		return lead.Offset
	}
	return -1
}

// applyRules takes over the newest configuration that can be read.
func (w *Watch) applyRules(records []platform.Record, _ bool) {
	now := w.o.Now()
	w.rulesRead.Store(&now)
	for _, r := range slices.Backward(records) {
		if r.Key == platform.RulesKey && len(r.Value) > 0 && w.takeRules(r.Value, r.Offset, "store") {
			return
		}
	}
}

// takeRules puts a configuration in force if it is newer than the one before, and says whether it can be read.
func (w *Watch) takeRules(body []byte, offset int64, source string) bool {
	rules, err := platform.DecodeRules(body)
	if err != nil {
		w.o.Log.Error("configuration can't be read, the one before stays", zap.String("source", source), zap.Error(err))
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.rules.Load().Version()
	if rules.Version() <= before {
		return true
	}
	w.raw.Store(&rawRules{version: rules.Version(), offset: offset, body: body})
	w.rules.Store(rules)
	w.o.Log.Info("configuration in force", zap.Int64("version", rules.Version()), zap.Int64("before", before),
		zap.String("source", source))
	return true
}
