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
	topic        = platform.TopicMembers
	renewEvery   = 30 * time.Second       // an entry writes its record
	expireAfter  = 95 * time.Second       // a record that was not renewed for this long names nobody
	readWait     = 10 * time.Second       // a read of the records waits this long for a new one
	readPause    = 2 * time.Second        // between reads, so that one read sees several records
	settlePause  = 250 * time.Millisecond // instead, for settleFor after an entry came or left
	settleFor    = 4 * time.Second
	callTimeout  = 1500 * time.Millisecond
	retryPause   = 400 * time.Millisecond // after a call that failed; doubles up to
	longestRetry = 2 * time.Second
	leaveTimeout = 500 * time.Millisecond
	trustLeader  = 1300 * time.Millisecond // the records are not read here while the leader was heard this recently,
	trustRead    = 14 * time.Second        // and has read them itself this recently; its reads wait, too
	freshPoll    = 100 * time.Millisecond
	maxFirst     = 8  // members that the leader tells of
	coreSteps    = 10 // hosts whose parts of a core differ by less than a tenth count as equal
)

// Member is one entry.
type Member struct {
	Host    string  `json:"host"`
	Address string  `json:"address"` // for other entries, as IP:port
	Zone    string  `json:"zone"`
	Cores   float64 `json:"cores"`
	Born    int64   `json:"born"` // Unix ms of the start of the process
}

// Same says whether two records name one lifetime of a host's process.
func (m Member) Same(other Member) bool { return m.Host == other.Host && m.Born == other.Born }

// Store is where members are recorded.
type Store interface {
	cursor.Store
	Put(ctx context.Context, topic platform.Topic, r platform.Record) error
}

// Options are the dependencies of a Registry.
type Options struct {
	Self  Member
	Store Store
	// Answered tells that the store has answered somebody in this process.
	Answered *wakeup.Signal
	Now      func() time.Time
	Log      *zap.Logger
}

// Registry follows the records of the entries.
type Registry struct {
	o       Options
	members atomic.Pointer[[]Member]
	size    atomic.Int64 // of all members, which may be more
	seen    map[string]sighting
	left    map[string]int64 // births of the lifetimes that left, by host
	leaving atomic.Bool
	changed time.Time // when an entry came or left
	read    time.Time // the last read that worked; the leader's counts too

	hasRead atomic.Bool
	readAt  atomic.Pointer[time.Time] // the last one of this process
	told    atomic.Pointer[View]      // what the leader knows
	heard   atomic.Pointer[time.Time] // when it said so
}

// View is what a process knows of the entries.
type View struct {
	Candidates []Member // the members that should lead, best first
	Size       int      // number of all members
	Read       time.Time
}

// sighting is when a record was read.
type sighting struct {
	member Member
	at     time.Time
}

// New returns a crew of this entry alone.
func New(o Options) *Registry {
	c := &Registry{o: o, seen: map[string]sighting{}, left: map[string]int64{}, changed: o.Now(), read: o.Now()}
	c.readAt.Store(&time.Time{})
	c.told.Store(&View{})
	c.heard.Store(&time.Time{})
	c.publish()
	return c
}

// View returns what other entries may rely on. Its Read is zero if the last read failed.
func (c *Registry) View() View {
	all := c.Members()
	return View{Candidates: all[:min(len(all), maxFirst)], Size: c.Size(), Read: *c.readAt.Load()}
}

// Confirm takes over what the leader has read, so that this process need not read it too.
func (c *Registry) Confirm(r View) {
	now := c.o.Now()
	c.told.Store(&r)
	c.heard.Store(&now)
	if !c.isTold() {
		return
	}
	out := append([]Member{c.o.Self}, slices.DeleteFunc(slices.Clone(r.Candidates), func(m Member) bool { return m.Host == c.o.Self.Host })...)
	sortMembers(out)
	c.members.Store(&out)
	c.size.Store(int64(max(r.Size, len(out))))
}

// isTold says whether the leader has read the records lately.
func (c *Registry) isTold() bool {
	now := c.o.Now()
	return now.Sub(*c.heard.Load()) < trustLeader && now.Sub(c.told.Load().Read) < trustRead
}

// Members lists the known entries, this one among them; those that should lead come first. It must not be changed.
func (c *Registry) Members() []Member { return *c.members.Load() }

// HasRead says whether the records were read since the process started.
func (c *Registry) HasRead() bool { return c.hasRead.Load() }

// Size is the number of known entries.
func (c *Registry) Size() int { return int(c.size.Load()) }

// Run renews this entry's record and follows those of the others until ctx ends.
func (c *Registry) Run(ctx context.Context) {
	go c.renew(ctx)
	at := cursor.New(c.o.Store, topic, readWait, callTimeout)
	wait := pause.Growing{First: retryPause, Most: longestRetry}
	for ctx.Err() == nil {
		if at.Synced() && c.isTold() {
			c.read = c.o.Now()
			pause.For(ctx, freshPoll)
			continue
		}
		answered := c.o.Answered.Count()
		records, whole, err := at.Read(ctx)
		switch {
		case errors.Is(err, platform.ErrTrimmed):
			pause.For(ctx, retryPause)
			continue
		case err != nil:
			c.o.Log.Debug("members can't be read", zap.Error(err))
			c.readAt.Store(&time.Time{}) // others must not rely on this process
			c.o.Answered.Wait(ctx, answered, retryPause, wait.Next())
			continue
		}
		wait.Reset()
		c.o.Answered.Succeeded()
		c.allowForOutage()
		c.apply(records, whole)
		pause.For(ctx, c.pause())
	}
}

// allowForOutage lets records age only while they can be renewed.
func (c *Registry) allowForOutage() {
	now := c.o.Now()
	away := now.Sub(c.read) - readWait - readPause
	c.read = now
	c.readAt.Store(&now)
	c.hasRead.Store(true)
	if away <= 0 {
		return
	}
	for host, s := range c.seen {
		s.at = s.at.Add(away)
		c.seen[host] = s
	}
	c.o.Log.Info("members can be read again", zap.Duration("away", away))
}

// pause is the time until the next read; short while entries come and go, so that all soon agree on the leader.
func (c *Registry) pause() time.Duration {
	if c.o.Now().Sub(c.changed) < settleFor {
		return settlePause
	}
	return readPause
}

// renew writes the record again and again.
func (c *Registry) renew(ctx context.Context) {
	value, err := json.Marshal(c.o.Self)
	if err != nil {
		c.o.Log.Error("the member record can't be encoded", zap.Error(err))
		return
	}
	retry := pause.Growing{First: retryPause, Most: longestRetry}
	for ctx.Err() == nil && !c.leaving.Load() {
		answered := c.o.Answered.Count()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.o.Store.Put(call, topic, platform.Record{Key: c.o.Self.Host, Value: value})
		cancel()
		if err != nil {
			c.o.Log.Info("the member record can't be written", zap.Error(err))
			c.o.Answered.Wait(ctx, answered, retryPause, retry.Next())
			continue
		}
		retry.Reset()
		pause.For(ctx, renewEvery)
	}
}

// Leave drops this entry's record, so that the others stop asking it.
func (c *Registry) Leave(ctx context.Context) {
	c.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := c.o.Store.Put(ctx, topic, platform.Record{Key: c.o.Self.Host}); err != nil {
		c.o.Log.Info("the member record can't be dropped", zap.Error(err))
	}
}

// apply takes over records; a snapshot lacks the members that have left.
func (c *Registry) apply(records []platform.Record, whole bool) {
	if whole {
		clear(c.seen)
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			if s, known := c.seen[r.Key]; known {
				c.left[r.Key] = s.member.Born
			}
			delete(c.seen, r.Key)
			c.changed = c.o.Now()
			c.o.Log.Info("member left", zap.String("member", r.Key))
			continue
		}
		var m Member
		if err := json.Unmarshal(r.Value, &m); err != nil || m.Host != r.Key {
			c.o.Log.Warn("a member record can't be read", zap.String("member", r.Key), zap.Int64("offset", r.Offset), zap.Error(err))
			continue
		}
		// The store may carry out a renewal after the record was dropped.
		if born, left := c.left[r.Key]; left && born == m.Born {
			c.o.Log.Info("record of a member that left", zap.String("member", m.Host), zap.Int64("born", m.Born))
			continue
		}
		if before, known := c.seen[r.Key]; !known || before.member.Born != m.Born {
			c.changed = c.o.Now()
			c.o.Log.Info("member listed", zap.String("member", m.Host), zap.String("address", m.Address), zap.Int64("born", m.Born))
		}
		c.seen[r.Key] = sighting{member: m, at: c.o.Now()}
	}
	c.publish()
}

// publish sorts the members; all entries that know the same members agree on the order.
func (c *Registry) publish() {
	now := c.o.Now()
	out := []Member{c.o.Self}
	for host, s := range c.seen {
		if now.Sub(s.at) > expireAfter {
			delete(c.seen, host)
			c.o.Log.Info("member expired", zap.String("member", host), zap.Duration("age", now.Sub(s.at)))
			continue
		}
		if host != c.o.Self.Host {
			out = append(out, s.member)
		}
	}
	sortMembers(out)
	c.members.Store(&out)
	c.size.Store(int64(len(out)))
}

// sortMembers puts those first that should lead.
func sortMembers(all []Member) {
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(math.Round(b.Cores*coreSteps), math.Round(a.Cores*coreSteps)),
			cmp.Compare(a.Born, b.Born), // a restarted host does not take the lead back
			cmp.Compare(a.Host, b.Host))
	})
}
