package watch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/cursor"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/oper/pause"
	"github.com/ragworthatch/ragworthatch/platform"
)

const (
	rulesWait   = 700 * time.Millisecond  // a read of the configuration waits this long for a change
	callTimeout = 1200 * time.Millisecond // of a call, beyond its wait
	rulesFresh  = 1300 * time.Millisecond // a configuration that the leader read this recently is not read here
	freshPoll   = 50 * time.Millisecond
	pollPart    = 0.3                    // of the time within which an upstream's leaving must be known: between reads of the list
	trustPart   = 0.55                   // of it: age of the leader's list from which on it is read here
	trustFor    = 700 * time.Millisecond // after the leader's last word
	retryPause  = 250 * time.Millisecond
	outageAfter = 3000 * time.Millisecond // without an answer, the store counts as having been away
	lapseGrace  = 2200 * time.Millisecond // after an outage, entries that are missing may come back
	rulesTopic  = platform.TopicRules
	hostsTopic  = platform.TopicUpstreams
)

// Options are the dependencies of a Watch.
type Options struct {
	Store       cursor.Store
	DrainWithin func() time.Duration // an upstream's leaving must be known this long after the store knows it
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
	mu        sync.Mutex                // orders changes of rules and hosts
}

// rawRules is a configuration as the operator wrote it.
type rawRules struct {
	version int64
	body    []byte
}

// New returns a watch that knows nothing until Run.
func New(o Options) *Watch {
	w := &Watch{o: o}
	w.rules.Store(rule.New(0, nil, nil, nil, rule.Limits{}))
	w.hosts.Store(hosts.New(nil, o.Now()))
	w.rulesRead.Store(&time.Time{})
	w.confirmed.Store(&time.Time{})
	w.told.Store(&time.Time{})
	w.raw.Store(&rawRules{})
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

// Raw is the version of the newest configuration and what the operator wrote.
func (w *Watch) Raw() (version int64, body []byte) {
	raw := w.raw.Load()
	return raw.version, raw.body
}

// Adopt takes over the leader's configuration if it is newer than the one in force here.
func (w *Watch) Adopt(body []byte) { w.takeRules(body, "leader") }

// Confirm takes over what the leader has read from the store, so that this process need not read it too: the version of
// the configuration, and the list of upstreams if it is newer than the one here; nil if that is not known.
func (w *Watch) Confirm(rulesVersion int64, rulesRead time.Time, table *hosts.Table) {
	if rulesVersion != w.Rules().Version() {
		rulesRead = time.Time{}
	}
	w.confirmed.Store(&rulesRead)
	if table != nil {
		now := w.o.Now()
		w.told.Store(&now)
		w.setHosts(table)
	}
}

// setHosts publishes a list unless a newer one is known.
func (w *Watch) setHosts(t *hosts.Table) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.hosts.Load()
	if t.Read().Before(before.Read()) {
		return
	}
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
			topic: rulesTopic, wait: rulesWait, apply: w.applyRules,
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
	back  func()      // the store answers again after an outage
	lost  func()      // a read failed
	fresh func() bool // the leader has just read the topic
}

// follow reads a topic from a snapshot on; a snapshot again when records were trimmed.
func (w *Watch) follow(ctx context.Context, f *follower) {
	at, lost := cursor.New(w.o.Store, f.topic, f.wait, callTimeout), false
	heard := w.o.Now()
	for ctx.Err() == nil {
		if at.Synced() && f.fresh() {
			pause.For(ctx, freshPoll)
			continue
		}
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
			pause.For(ctx, retryPause)
			continue
		}
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
	}
}

// applyRules takes over a configuration that is newer than the one in force.
func (w *Watch) applyRules(records []platform.Record, _ bool) {
	now := w.o.Now()
	w.rulesRead.Store(&now)
	for _, r := range records {
		if r.Key != platform.RulesKey || len(r.Value) == 0 {
			continue
		}
		w.takeRules(r.Value, "store")
	}
}

// takeRules puts a configuration in force if it is newer than the one before.
func (w *Watch) takeRules(body []byte, source string) {
	if len(body) == 0 {
		return
	}
	rules, err := platform.DecodeRules(body)
	if err != nil {
		w.o.Log.Error("configuration can't be read, the one before stays", zap.String("source", source), zap.Error(err))
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.rules.Load().Version()
	if rules.Version() <= before {
		return
	}
	w.raw.Store(&rawRules{version: rules.Version(), body: body})
	w.rules.Store(rules)
	w.o.Log.Info("configuration in force", zap.Int64("version", rules.Version()), zap.Int64("before", before),
		zap.String("source", source))
}
