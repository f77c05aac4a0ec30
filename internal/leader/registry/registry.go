package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/cursor"
	"github.com/ragworthatch/ragworthatch/internal/edge/wakeup"
	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
	"github.com/ragworthatch/ragworthatch/platform"
)

const (
	topic            = platform.TopicMembers
	renewInterval    = 30 * time.Second        // between writes of this entry's record
	eraCheckInterval = 250 * time.Millisecond  // between checks whether the record must be written again
	recordTTL        = 95 * time.Second        // a record that was not renewed for this long is dropped
	callTimeout      = 1500 * time.Millisecond // of a call to the store
	leaveTimeout     = 500 * time.Millisecond  // of the call that deletes this entry's record

	readWait     = 10 * time.Second       // a read of the records waits this long for a new one
	readPause    = 2 * time.Second        // between reads, so that one read returns several records
	changePause  = 250 * time.Millisecond // instead, during changePeriod after an entry joined or left
	changePeriod = 4 * time.Second

	minRetryDelay = 400 * time.Millisecond // after a failed call; doubles up to maxRetryDelay
	maxRetryDelay = 2 * time.Second

	// This process does not read the records while it heard the leader within maxLeaderSilence, and the leader read them
	// within maxLeaderReadAge, which includes the readWait of the leader's own read.
	maxLeaderSilence   = 1300 * time.Millisecond
	maxLeaderReadAge   = 14 * time.Second
	leaderPollInterval = 100 * time.Millisecond // between checks whether this still holds

	maxCandidates = 8  // members that the leader sends to other entries
	coreSteps     = 10 // steps in a core: hosts that differ by less than a tenth of a core count as equal
)

// Member is one entry.
type Member struct {
	Host    string  `json:"host"`
	Address string  `json:"address"` // for other entries, as IP:port
	Zone    string  `json:"zone"`
	Cores   float64 `json:"cores"`
	Born    int64   `json:"born"` // Unix ms of the start of the process
}

// Same reports whether two records name the same process of a host.
func (m Member) Same(other Member) bool { return m.Host == other.Host && m.Born == other.Born }

// Store holds the records of the members.
type Store interface {
	cursor.Store
	Put(ctx context.Context, topic platform.Topic, r platform.Record) error
	Era() int64
}

// Options are the dependencies of a Registry.
type Options struct {
	Self  Member
	Store Store
	// Answered signals that the store has answered a call of this process.
	Answered *wakeup.Signal
	Now      func() time.Time
	Log      *zap.Logger
}

// Registry lists the live entries, from their records in the store or from what the leader has read.
type Registry struct {
	opts      Options
	members   atomic.Pointer[[]Member]
	size      atomic.Int64            // number of all members; members may hold only the candidates
	byHost    map[string]memberRecord // from the store, of all entries
	departed  map[string]int64        // Born of the process that left, by host
	leaving   atomic.Bool             // this entry is leaving, so its record must not be written again
	changedAt time.Time               // when an entry last joined or left
	lastRead  time.Time               // last successful read, by this process or the leader

	hasRead       atomic.Bool
	ownReadAt     atomic.Pointer[time.Time] // last successful read by this process; zero after a failed one
	leaderView    atomic.Pointer[View]      // last view received from the leader
	leaderHeardAt atomic.Pointer[time.Time] // when it was received
}

// View is what a process knows of the entries.
type View struct {
	Candidates []Member  // the members that should lead, best first
	Size       int       // number of all members
	Read       time.Time // when the records were read; zero if the last read failed
}

// memberRecord is a record and when it was read.
type memberRecord struct {
	member Member
	readAt time.Time
}

// New returns a registry that knows only this entry.
func New(o Options) *Registry {
	reg := &Registry{opts: o, byHost: map[string]memberRecord{}, departed: map[string]int64{}, changedAt: o.Now(),
		lastRead: o.Now()}
	reg.ownReadAt.Store(&time.Time{})
	reg.leaderView.Store(&View{})
	reg.leaderHeardAt.Store(&time.Time{})
	reg.publish()
	return reg
}

// View returns what other entries may rely on. Its Read is zero if the last read failed.
func (reg *Registry) View() View {
	all := reg.Members()
	return View{Candidates: all[:min(len(all), maxCandidates)], Size: reg.Size(), Read: *reg.ownReadAt.Load()}
}

// Confirm applies what the leader has read, so that this process need not read it.
func (reg *Registry) Confirm(view View) {
	now := reg.opts.Now()
	reg.leaderView.Store(&view)
	reg.leaderHeardAt.Store(&now)
	if !reg.hasLeaderView() {
		return
	}
	out := append([]Member{reg.opts.Self}, slices.DeleteFunc(slices.Clone(view.Candidates),
		func(m Member) bool { return m.Host == reg.opts.Self.Host })...)
	sortMembers(out)
	reg.members.Store(&out)
	reg.size.Store(int64(max(view.Size, len(out))))
}

// hasLeaderView reports whether the leader's view is recent enough to rely on.
func (reg *Registry) hasLeaderView() bool {
	now := reg.opts.Now()
	return now.Sub(*reg.leaderHeardAt.Load()) < maxLeaderSilence && now.Sub(reg.leaderView.Load().Read) < maxLeaderReadAge
}

// Members lists the known entries, including this one, best candidate first. Callers must not modify it.
func (reg *Registry) Members() []Member { return *reg.members.Load() }

// HasRead reports whether this process has read the records since it started.
func (reg *Registry) HasRead() bool { return reg.hasRead.Load() }

// Size returns the number of entries. It is more than Members lists if the leader sent only the best candidates.
func (reg *Registry) Size() int { return int(reg.size.Load()) }

// Run renews this entry's record and reads those of the others until ctx ends.
func (reg *Registry) Run(ctx context.Context) {
	go reg.renew(ctx)
	at := cursor.New(reg.opts.Store, topic, readWait, callTimeout)
	wait := pause.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		if at.Synced() && reg.hasLeaderView() {
			reg.lastRead = reg.opts.Now()
			pause.For(ctx, leaderPollInterval)
			continue
		}
		answered := reg.opts.Answered.Count()
		records, snapshot, err := at.Read(ctx)
		switch {
		case errors.Is(err, platform.ErrRestored):
			reg.opts.Log.Info("store restored from an older copy, members are kept")
			continue
		case errors.Is(err, platform.ErrTrimmed):
			pause.For(ctx, minRetryDelay)
			continue
		case err != nil:
			reg.opts.Log.Debug("can't read the members", zap.Error(err))
			reg.ownReadAt.Store(&time.Time{}) // so that others don't rely on this process
			reg.opts.Answered.Wait(ctx, answered, minRetryDelay, wait.Next())
			continue
		}
		wait.Reset()
		reg.opts.Answered.Succeeded()
		reg.extendForOutage()
		reg.apply(records, snapshot && !at.Restored())
		pause.For(ctx, reg.pause())
	}
}

// extendForOutage extends the lifetime of all records by the time for which the store could not be read, as they could
// not be renewed either.
func (reg *Registry) extendForOutage() {
	now := reg.opts.Now()
	outage := now.Sub(reg.lastRead) - readWait - readPause
	reg.lastRead = now
	reg.ownReadAt.Store(&now)
	reg.hasRead.Store(true)
	if outage <= 0 {
		return
	}
	for host, s := range reg.byHost {
		s.readAt = s.readAt.Add(outage)
		reg.byHost[host] = s
	}
	reg.opts.Log.Info("members can be read again", zap.Duration("away", outage))
}

// pause returns the time until the next read. It is short while entries join and leave, so that all soon agree on the
// leader.
func (reg *Registry) pause() time.Duration {
	if reg.opts.Now().Sub(reg.changedAt) < changePeriod {
		return changePause
	}
	return readPause
}

// renew writes this entry's record every renewInterval, and when the store has come back from an older copy, until this
// entry leaves.
func (reg *Registry) renew(ctx context.Context) {
	value, err := json.Marshal(reg.opts.Self)
	if err != nil {
		reg.opts.Log.Error("can't encode the member record", zap.Error(err))
		return
	}
	retry := pause.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil && !reg.leaving.Load() {
		answered := reg.opts.Answered.Count()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		era := reg.opts.Store.Era()
		err := reg.opts.Store.Put(call, topic, platform.Record{Key: reg.opts.Self.Host, Value: value})
		cancel()
		if err != nil {
			reg.opts.Log.Info("can't write the member record", zap.Error(err))
			reg.opts.Answered.Wait(ctx, answered, minRetryDelay, retry.Next())
			continue
		}
		retry.Reset()
		due := reg.opts.Now().Add(renewInterval)
		for reg.opts.Now().Before(due) && reg.opts.Store.Era() == era && pause.For(ctx, eraCheckInterval) {
		}
	}
}

// Leave deletes this entry's record, so that the others no longer follow it.
func (reg *Registry) Leave(ctx context.Context) {
	reg.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := reg.opts.Store.Put(ctx, topic, platform.Record{Key: reg.opts.Self.Host}); err != nil {
		reg.opts.Log.Info("can't delete the member record", zap.Error(err))
	}
}

// apply applies records. A snapshot replaces all records, as it lacks the members that have left, unless it is one of a
// store that came back from an older copy.
func (reg *Registry) apply(records []platform.Record, snapshot bool) {
	if snapshot {
		clear(reg.byHost)
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			if s, known := reg.byHost[r.Key]; known {
				reg.departed[r.Key] = s.member.Born
			}
			delete(reg.byHost, r.Key)
			reg.changedAt = reg.opts.Now()
			reg.opts.Log.Info("member left", zap.String("member", r.Key))
			continue
		}
		var m Member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Host != r.Key {
			reg.opts.Log.Warn("can't decode a member record", zap.String("member", r.Key), zap.Int64("offset", r.Offset),
				zap.Error(err))
			continue
		}
		// A renewal may reach the store after the record was deleted.
		if born, left := reg.departed[r.Key]; left && born == m.Born {
			reg.opts.Log.Info("ignoring a late record of a member that left", zap.String("member", m.Host),
				zap.Int64("born", m.Born))
			continue
		}
		before, known := reg.byHost[r.Key]
		if known && before.member.Born > m.Born {
			continue // an older process of the host
		}
		if !known || before.member.Born != m.Born {
			reg.changedAt = reg.opts.Now()
			reg.opts.Log.Info("member listed", zap.String("member", m.Host), zap.String("address", m.Address),
				zap.Int64("born", m.Born))
		}
		reg.byHost[r.Key] = memberRecord{member: m, readAt: reg.opts.Now()}
	}
	reg.publish()
}

// publish drops expired records and sorts the members. Entries that know the same members agree on the order.
func (reg *Registry) publish() {
	now := reg.opts.Now()
	out := []Member{reg.opts.Self}
	for host, s := range reg.byHost {
		if now.Sub(s.readAt) > recordTTL {
			delete(reg.byHost, host)
			reg.opts.Log.Info("member expired", zap.String("member", host), zap.Duration("age", now.Sub(s.readAt)))
			continue
		}
		if host != reg.opts.Self.Host {
			out = append(out, s.member)
		}
	}
	sortMembers(out)
	reg.members.Store(&out)
	reg.size.Store(int64(len(out)))
}

// sortMembers sorts members by cores, then by age: the best candidate for leader comes first.
func sortMembers(all []Member) {
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(math.Round(b.Cores*coreSteps), math.Round(a.Cores*coreSteps)),
			cmp.Compare(a.Born, b.Born), // a restarted host does not become the leader again
			cmp.Compare(a.Host, b.Host))
	})
}
