package origin_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/leader/origin"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/platform"
)

var errDown = errors.New("the store is down")

// memStore is a store in memory; each call takes its latency.
type memStore struct {
	mu      sync.Mutex
	records []platform.Record
	era     int64
	copied  int // records in the copy
	writes  int
	down    bool
	lost    bool                // answers to writes are lost
	delayed bool                // writes get no answer, and are executed later
	late    [][]platform.Record // what is to be executed later
	latency time.Duration
}

// call waits for the answer of a call; it fails while the store is down.
func (s *memStore) call(ctx context.Context) error {
	s.mu.Lock()
	wait, down := s.latency, s.down
	s.mu.Unlock()
	if down {
		wait = time.Hour
	}
	select {
	case <-ctx.Done():
		return errDown
	case <-time.After(wait):
		return nil
	}
}

func (s *memStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *memStore) Newest(ctx context.Context, _ platform.Topic) ([]platform.Record, platform.Position, error) {
	if err := s.call(ctx); err != nil {
		return nil, platform.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]platform.Record{}
	for _, r := range s.records {
		newest[r.Key] = r
	}
	var out []platform.Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
	return out, platform.Position{Era: s.era, Offset: int64(len(s.records))}, nil
}

func (s *memStore) Read(ctx context.Context, _ platform.Topic, from platform.Position, _ time.Duration) (
	[]platform.Record, platform.Position, error) {
	if err := s.call(ctx); err != nil {
		return nil, platform.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if from.Era != s.era {
		return nil, platform.Position{}, platform.ErrRestored
	}
	return slices.Clone(s.records[from.Offset:]), platform.Position{Era: s.era, Offset: int64(len(s.records))}, nil
}

func (s *memStore) Append(ctx context.Context, t platform.Topic, records ...platform.Record) error {
	return s.append(ctx, -1, records)
}

func (s *memStore) AppendAt(ctx context.Context, t platform.Topic, end platform.Position, records ...platform.Record) error {
	return s.append(ctx, end.Offset, records)
}

func (s *memStore) append(ctx context.Context, at int64, records []platform.Record) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	lost := s.lost || s.delayed
	if s.delayed {
		s.late = append(s.late, records)
		records = nil
	}
	if s.writes++; at >= 0 && at != int64(len(s.records)) {
		s.mu.Unlock()
		return platform.ErrConflict
	}
	s.add(records)
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errDown
	}
	return nil
}

// add appends records. The caller holds mu.
func (s *memStore) add(records []platform.Record) {
	for _, r := range records {
		r.Offset = int64(len(s.records))
		s.records = append(s.records, r)
	}
}

// view is the store as one keeper reaches it.
type view struct {
	*memStore
	cut atomic.Bool
}

// reach fails while the keeper is cut from the store.
func (v *view) reach(ctx context.Context) error {
	if v.cut.Load() {
		<-ctx.Done()
		return errDown
	}
	return nil
}

func (v *view) Newest(ctx context.Context, t platform.Topic) ([]platform.Record, platform.Position, error) {
	if err := v.reach(ctx); err != nil {
		return nil, platform.Position{}, err
	}
	return v.memStore.Newest(ctx, t)
}

func (v *view) Read(ctx context.Context, t platform.Topic, from platform.Position, wait time.Duration) (
	[]platform.Record, platform.Position, error) {
	if err := v.reach(ctx); err != nil {
		return nil, platform.Position{}, err
	}
	return v.memStore.Read(ctx, t, from, wait)
}

func (v *view) Append(ctx context.Context, t platform.Topic, records ...platform.Record) error {
	return errors.Join(v.reach(ctx), v.memStore.Append(ctx, t, records...))
}

// scene is the state of one case.
type scene struct {
	*qt.C
	store   *memStore
	table   atomic.Pointer[hosts.Table]
	unread  atomic.Bool // nobody reads the list
	keepers map[string]*origin.Keeper
	views   map[string]*view
	leads   sync.Map // true by name of the keeper
	kill    map[string]context.CancelFunc
}

// TestStreams plays the cases of testdata/streams.txt.
func TestStreams(t *testing.T) {
	text, err := os.ReadFile("testdata/streams.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, section := range strings.Split(string(text), "\n[")[1:] {
		name, steps, _ := strings.Cut(section, "]\n")
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scene{C: qt.New(t), store: &memStore{latency: time.Millisecond}, keepers: map[string]*origin.Keeper{},
					views: map[string]*view{},
					kill:  map[string]context.CancelFunc{}}
				s.table.Store(hosts.New(nil, time.Now()))
				for step := range strings.Lines(steps) {
					if fields := strings.Fields(step); len(fields) > 0 && fields[0] != "#" {
						s.play(fields)
						synctest.Wait()
					}
				}
				for _, kill := range s.kill {
					kill()
				}
			})
		})
	}
}

// start starts a keeper.
func (s *scene) start(name string, first bool) {
	m, err := meter.New(meter.Process{Role: "edge"})
	s.Assert(err, qt.IsNil)
	s.views[name] = &view{memStore: s.store}
	k := origin.New(name, origin.Options{
		Store: s.views[name], Hosts: func() *hosts.Table {
			if s.unread.Load() {
				return s.table.Load()
			}
			return s.table.Load().WithRead(time.Now())
		},
		Pools:      func() map[string]time.Duration { return map[string]time.Duration{"pool": time.Second} },
		FirstStart: first,
		Leads: func() bool {
			leads, _ := s.leads.Load(name)
			return leads == true
		},
		Stats: stats.New(m, func() stats.Gauges { return stats.Gauges{} }), Now: time.Now, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.keepers[name], s.kill[name] = k, cancel
	go k.Run(ctx)
}

// streamKey returns the key of a stream such as s1; 0 stands for an unknown one.
func (s *scene) streamKey(name string) uint64 {
	if name == "0" {
		return 0
	}
	return origin.Key("team", name)
}

// begin begins a stream and returns when that was allowed.
func (s *scene) begin(step []string, repeats int) string {
	done := make(chan bool, 1)
	k := s.keepers[step[1]]
	if k.Begin(s.streamKey(step[2]), origin.Origin{Pool: "pool", Version: step[3]}, repeats, func(ok bool) { done <- ok }) {
		return "now"
	}
	if <-done {
		return "recorded"
	}
	return "refused"
}

// play carries out one step of a case.
func (s *scene) play(step []string) {
	comment := qt.Commentf("%v", step)
	switch step[0] {
	case "list":
		var all []hosts.Upstream
		for _, field := range step[1:] {
			version, n, _ := strings.Cut(field, "=")
			count, err := strconv.Atoi(n)
			s.Assert(err, qt.IsNil)
			for i := range count {
				all = append(all, hosts.Upstream{ID: fmt.Sprint(version, "-", i), Pool: "pool", Version: version, State: hosts.Ready})
			}
		}
		s.table.Store(hosts.New(all, time.Now()))
	case "start":
		s.leads.Store(step[1], step[2] == "leads")
		s.start(step[1], len(step) > 3)
	case "unread":
		s.table.Store(s.table.Load().WithRead(time.Now()))
		s.unread.Store(true)
	case "read":
		s.unread.Store(false)
	case "cut":
		s.views[step[1]].cut.Store(true)
	case "heal":
		s.views[step[1]].cut.Store(false)
	case "lead":
		s.leads.Store(step[1], true)
	case "kill":
		s.kill[step[1]]()
	case "wait":
		d, err := time.ParseDuration(step[1])
		s.Assert(err, qt.IsNil)
		time.Sleep(d)
	case "begin":
		s.Check(s.begin(step, 0), qt.Equals, step[4], comment)
	case "again":
		s.Check(s.begin(step, 1), qt.Equals, step[4], comment)
	case "passed":
		s.keepers[step[1]].Begun(s.streamKey(step[2]), origin.Origin{Pool: "pool", Version: step[3]})
	case "learn":
		s.keepers[step[1]].Learn(s.keepers[step[2]].Own())
	case "join":
		s.keepers[step[1]].Joined()
	case "find":
		done := make(chan origin.Found, 1)
		found, atOnce := s.keepers[step[1]].Find(s.streamKey(step[2]), "pool", time.Now(), func(f origin.Found) { done <- f })
		if !atOnce {
			found = <-done
		}
		s.Check(found.Version, qt.Equals, strings.Trim(step[3], "-"), comment)
		s.Check(string(found.Source), qt.Equals, step[4], comment)
	case "only":
		s.Check(s.keepers[step[1]].Placement(s.streamKey(step[2]), "pool").Version, qt.Equals, strings.Trim(step[3], "-"), comment)
	case "base":
		s.Check(s.keepers[step[1]].Placement(0, "pool").Base, qt.Equals, step[2], comment)
	default:
		s.playStore(step, comment)
	}
}

// playStore carries out a step that concerns the store.
func (s *scene) playStore(step []string, comment qt.Comment) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	switch step[0] {
	case "store":
		s.store.down, s.store.lost, s.store.latency = step[1] == "down", step[1] == "lost", time.Millisecond
		s.store.delayed = step[1] == "delayed"
		if d, err := time.ParseDuration(step[1]); err == nil {
			s.store.latency = d
		}
	case "late":
		for _, records := range s.store.late {
			s.store.add(records)
		}
		s.store.late = nil
	case "writes":
		most, err := strconv.Atoi(step[1])
		s.Assert(err, qt.IsNil)
		s.Check(s.store.writes <= most, qt.IsTrue, qt.Commentf("%d writes", s.store.writes))
		s.store.writes = 0
	case "records":
		newest := map[string]bool{}
		for _, r := range s.store.records {
			newest[r.Key] = len(r.Value) > 0
		}
		n := 0
		for _, present := range newest {
			if present {
				n++
			}
		}
		s.Check(fmt.Sprint(n), qt.Equals, step[1], comment)
	case "copy":
		s.store.copied = len(s.store.records)
	case "restore":
		s.store.era++
		s.store.records = s.store.records[:s.store.copied]
	default:
		s.Fatalf("unknown step %v", step)
	}
}
