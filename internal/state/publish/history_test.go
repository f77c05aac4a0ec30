package publish

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

const (
	historySteps = 16
	maxDepth     = 2 // of steps that other processes make during a call of the log
)

// process is one entry of a history; it is replaced, never restarted.
type process struct {
	*Publisher
	feed   *feed.Feed
	cut    bool  // no way to the log
	offset int64 // highest seen
}

// link is the way of one process to the log; other processes make steps while a call is on it.
type link struct {
	*memlog.Log
	h *history
	p *process
}

func (l *link) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	l.h.others()
	if l.p.cut {
		return 0, &logs.Error{Op: "append", Stream: name, Cause: memlog.ErrDown}
	}
	first, err := l.Log.Append(ctx, name, records)
	l.h.others()
	return first, err
}

func (l *link) Read(ctx context.Context, name string, from int64, limit int) (logs.Batch, error) {
	l.h.others()
	if l.p.cut {
		return logs.Batch{}, &logs.Error{Op: "read", Stream: name, Cause: memlog.ErrDown}
	}
	return l.Log.Read(ctx, name, from, min(limit, 7))
}

// history is one random run: processes, the log between them, and the naive version of what the log holds.
type history struct {
	*rapid.T
	ctx     context.Context
	log     *memlog.Log
	procs   []*process
	depth   int
	ids     uint64
	plain   []naive       // after each offset
	folded  []*fold.State // the same, folded from the first record on
	results []Result
	met     map[string]int
}

// TestHistories runs as many histories with each number of processes as rapid.checks says.
func TestHistories(t *testing.T) {
	met := map[string]int{}
	var mu sync.Mutex
	t.Run("group", func(t *testing.T) {
		for processes := 2; processes <= 5; processes++ {
			t.Run(fmt.Sprint(processes), func(t *testing.T) {
				t.Parallel()
				found := histories(t, processes)
				mu.Lock()
				defer mu.Unlock()
				for what, n := range found {
					met[what] += n
				}
			})
		}
	})
	t.Log(met)
	for what, least := range map[string]int{
		"histories": 2000, "accepted": 2000, "lost": 100, "invalid": 100, "notAccepted": 100, "unknown": 100,
		"settled": 100, "late": 100, "lostAnswer": 100, "trimmed": 100, "restored": 100, "unusable": 100,
		"replaced": 100, "damaged": 100, "offered": 100, "presetLost": 100, "fromPeer": 100, "duplicate": 100,
		"unchecked": 1000, "fold:invalid": 100, "fold:malformed": 100, "fold:conflict": 100, "fold:voided": 20,
		"fold:duplicate": 100, "fold:corrupt": 20, "fold:cut": 100, "fold:newerFormat": 100, "fold:settled": 1,
	} {
		if met[what] < least {
			t.Errorf("%q happened %d times, want %d", what, met[what], least)
		}
	}
}

func histories(t *testing.T, processes int) map[string]int {
	met := map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		// A bare *testing.T has a deadline, which a bubble refuses.
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			met["histories"]++
			time.Sleep(time.Second) // shrinking is bounded in virtual time
			h := &history{T: rt, ctx: t.Context(), log: memlog.New(), met: met}
			h.log.KeepHistory()
			for range processes {
				h.procs = append(h.procs, h.start())
			}
			for range historySteps {
				h.step()
				h.check()
			}
			h.finish()
		})
	})
	return met
}

func (h *history) start() *process {
	p := &process{offset: -1}
	way := &link{Log: h.log, h: h, p: p}
	h.ids++
	opt := feed.Options{Author: fmt.Sprint("p", h.ids), Rand: rand.New(rand.NewPCG(h.ids, 0)), RingBytes: 4000}
	p.feed = feed.New(way, opt, zap.NewNop())
	p.Publisher = New(way, p.feed, h.newID, zap.NewNop())
	return p
}

func (h *history) newID() uuid.UUID {
	h.ids++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], h.ids)
	return id
}

func (h *history) pick() *process { return h.procs[h.below(len(h.procs))] }

func (h *history) below(n int) int { return rapid.IntRange(0, n-1).Draw(h.T, "n") }

// others lets other processes make steps while one of them waits for the log.
func (h *history) others() {
	if h.depth >= maxDepth || h.depth == 0 || h.below(4) > 0 {
		return
	}
	h.step()
	h.check()
}

func (h *history) step() {
	h.depth++
	defer func() { h.depth-- }()
	steps := []func(){
		h.publish, h.publish, h.publish, h.publish, h.usePreset, h.usePreset, h.poll, h.poll, h.offer, h.offer,
		h.offerSnapshot, h.replace, h.cut, h.fault, h.fault, h.trim, h.garbage, h.writeSnapshot, h.again, h.settle,
		h.unchecked, h.unchecked,
	}
	steps[h.below(len(steps))]()
}

func (h *history) call(f func(context.Context)) {
	ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
	defer cancel()
	f(ctx)
}

func (h *history) publish() {
	p := h.pick()
	change := h.change(p.feed.Current())
	if h.below(4) == 0 {
		h.oldBase(&change)
	}
	h.call(func(ctx context.Context) {
		result, _ := p.Publish(ctx, "author", change)
		h.took(result)
	})
}

// unchecked appends a change as a publisher would that checks nothing, so that the fold must.
func (h *history) unchecked() {
	s := h.pick().feed.Current()
	change := h.change(s)
	if h.below(3) == 0 {
		h.oldBase(&change)
	}
	base := fillBase(s, change)
	if h.below(10) == 0 {
		clear(base)
	}
	body := record.ChangeBody{Set: change.Set, Remove: change.Remove}
	r, err := record.New(record.Change, record.NewNonce(s.Offset()+1, h.newID()), "author", 0, base, body)
	if err != nil {
		h.Fatal(err)
	}
	data, err := record.Encode(r)
	if err != nil {
		h.Fatal(err)
	}
	if _, err := h.log.Append(h.ctx, logs.ConfigStream, [][]byte{data}); err == nil {
		h.met["unchecked"]++
	}
}

func (h *history) usePreset() {
	p := h.pick()
	var opts []Option
	if h.below(2) == 0 {
		opts = append(opts, WithBase(h.pick().feed.Current().PresetSince().Revision))
	}
	h.call(func(ctx context.Context) {
		result, _ := p.UsePreset(ctx, "author", name("preset", h.below(3)), opts...)
		h.took(result)
		if result.Lost != nil {
			h.met["presetLost"]++
		}
	})
}

func (h *history) took(r Result) {
	h.results = append(h.results, r)
	h.met[string(r.State)]++
	if r.Lost != nil {
		h.met["lost"]++
	}
	if len(r.Problems) > 0 {
		h.met["invalid"]++
	}
}

func (h *history) settle() {
	if len(h.results) == 0 {
		return
	}
	nonce := h.results[h.below(len(h.results))].Nonce
	if nonce == "" {
		return
	}
	p := h.pick()
	h.call(func(ctx context.Context) {
		result, _ := p.Settle(ctx, nonce)
		h.results = append(h.results, result)
		if result.State != Unknown {
			h.met["settled"]++
		}
	})
}

func (h *history) poll() {
	h.call(func(ctx context.Context) { _ = h.pick().feed.Poll(ctx) })
}

func (h *history) offer() {
	from, to := h.pick(), h.pick()
	offsets, records, ok := from.feed.Since(to.feed.Current().Offset()-int64(h.below(2)), 1+h.below(8))
	if !ok || len(records) == 0 {
		return
	}
	if h.below(4) == 0 {
		i := h.below(len(records))
		records[i] = bytes.Clone(records[i])
		flip(records[i])
		h.met["damaged"]++
	}
	if h.below(4) == 0 {
		offsets, records = offsets[1:], records[1:]
	}
	h.met["offered"] += to.feed.Offer(offsets, records)
}

// flip changes one bit in the middle, if there is one.
func flip(data []byte) {
	if len(data) > 0 {
		data[len(data)/2] ^= 1
	}
}

func (h *history) offerSnapshot() {
	data, _, err := h.pick().feed.Snapshot()
	if err != nil {
		h.Fatal(err)
	}
	if h.below(4) == 0 {
		data[h.below(len(data))] ^= 1
	}
	took, _ := h.pick().feed.OfferSnapshot(data)
	if took {
		h.met["fromPeer"]++
	}
}

func (h *history) replace() {
	h.procs[h.below(len(h.procs))] = h.start()
	h.met["replaced"]++
}

func (h *history) cut() {
	p := h.pick()
	p.cut = !p.cut
}

func (h *history) fault() {
	switch h.below(6) {
	case 0:
		h.log.SetDown(h.below(2) == 0)
	case 1:
		h.log.LoseAnswers(1)
		h.met["lostAnswer"]++
	case 2:
		h.log.HoldAppends(1 + h.below(2))
	case 3:
		h.met["late"] += h.log.Release()
	case 4:
		h.log.FailReads(h.below(4))
	case 5:
		h.log.SetDown(false)
		h.log.FailReads(0)
	}
}

func (h *history) trim() {
	if n := len(h.log.History(logs.ConfigStream)); n > 0 {
		h.log.Trim(logs.ConfigStream, int64(h.below(n)))
		h.met["trimmed"]++
	}
}

func (h *history) garbage() {
	data := []byte("garbage")
	if all := h.log.History(logs.ConfigStream); len(all) > 0 {
		data = bytes.Clone(all[h.below(len(all))])
	}
	switch h.below(3) {
	case 0:
		data = h.newer()
	case 1:
		data = data[:h.below(len(data)+1)]
	case 2:
		flip(data)
	}
	_, _ = h.log.Append(h.ctx, logs.ConfigStream, [][]byte{data})
}

func (h *history) newer() []byte {
	r, err := record.New(record.Change, record.NewNonce(0, h.newID()), "author", 0, nil, record.PresetBody{})
	if err != nil {
		h.Fatal(err)
	}
	r.Format = record.Format + 1
	data, err := record.Encode(r)
	if err != nil {
		h.Fatal(err)
	}
	return data
}

// again appends a copy of an earlier record, as a resend by the transport would.
func (h *history) again() {
	if all := h.log.History(logs.ConfigStream); len(all) > 0 {
		_, _ = h.log.Append(h.ctx, logs.ConfigStream, [][]byte{all[h.below(len(all))]})
		h.met["duplicate"]++
	}
}

func (h *history) writeSnapshot() {
	h.call(func(ctx context.Context) { _ = h.pick().feed.WriteSnapshot(ctx) })
}

// check compares each process with the naive version at its offset.
func (h *history) check() {
	h.replay()
	for _, p := range h.procs {
		s := p.feed.Current()
		if s.Offset() < p.offset {
			h.Fatalf("offset went from %d back to %d", p.offset, s.Offset())
		}
		p.offset = s.Offset()
		if s.Offset() >= 0 && s.Digest() != h.folded[s.Offset()].Digest() {
			h.Fatalf("digest at offset %d differs from the full history", s.Offset())
		}
		if in := s.Config(); in.InForce != "" {
			if _, ok := in.Preset(); !ok {
				h.Fatalf("preset %q is in force but not declared", in.InForce)
			}
		}
	}
}

// replay folds the records that are new in the log, both ways.
func (h *history) replay() {
	records := h.log.History(logs.ConfigStream)
	for i := len(h.plain); i < len(records); i++ {
		plain, folded := newNaive(), fold.New()
		if i > 0 {
			plain, folded = h.plain[i-1], h.folded[i-1]
		}
		plain = plain.apply(int64(i), records[i])
		folded, rejection := folded.Apply(int64(i), records[i])
		h.metRejection(rejection)
		h.compare(plain, folded)
		h.plain = append(h.plain, plain)
		h.folded = append(h.folded, folded)
	}
}

func (h *history) metRejection(r *fold.Rejection) {
	if r != nil {
		h.met["fold:"+string(r.Code)]++
	}
}

func (h *history) compare(plain naive, s *fold.State) {
	want, got := asJSON(h, plain.set), asJSON(h, s.Config())
	if want != got {
		h.Fatalf("at offset %d the naive version has\n%s\nthe fold has\n%s", s.Offset(), want, got)
	}
	if plain.last != s.Revision() {
		h.Fatalf("revision is %d, naive %d", s.Revision(), plain.last)
	}
	for ref, revision := range plain.revisions {
		if s.Meta(ref).Revision != revision {
			h.Fatalf("revision of %s is %d, naive %d", ref, s.Meta(ref).Revision, revision)
		}
	}
	for nonce, accepted := range plain.decisions {
		if d, ok := s.Nonce(nonce); !ok || d.Accepted != accepted {
			h.Fatalf("decision on %s is %v, naive %v", nonce, d, accepted)
		}
	}
}

func asJSON(h *history, v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		h.Fatal(err)
	}
	return string(data)
}

// finish ends all faults and then checks that all processes agree and that every answer was true.
func (h *history) finish() {
	h.depth = maxDepth
	h.log.SetDown(false)
	h.log.FailReads(0)
	h.log.LoseAnswers(0)
	h.log.HoldAppends(0)
	h.met["late"] += h.log.Release()
	h.replay()
	for _, p := range h.procs {
		p.cut = false
		h.end(p)
	}
	for _, r := range h.results {
		h.answered(r)
	}
}

func (h *history) end(p *process) {
	before := p.feed.Current().Offset()
	err := p.feed.Poll(h.ctx)
	h.met["restored"] += int(p.feed.Stats().Restored)
	if err != nil {
		h.met["unusable"]++
		if p.feed.Current().Offset() != before {
			h.Fatalf("offset moved from %d to %d although %v", before, p.feed.Current().Offset(), err)
		}
		return
	}
	s := p.feed.Current()
	if want := int64(len(h.folded)) - 1; s.Offset() != want {
		h.Fatalf("process is at offset %d of %d", s.Offset(), want)
	}
	if s.Offset() < 0 {
		return
	}
	want, got := asJSON(h, h.folded[s.Offset()].Image()), asJSON(h, s.Image())
	if want != got {
		h.Fatalf("full history makes\n%s\nthe process has\n%s", want, got)
	}
}

func (h *history) answered(r Result) {
	if r.Nonce == "" || len(h.plain) == 0 {
		return
	}
	accepted, decided := h.plain[len(h.plain)-1].decisions[r.Nonce]
	switch r.State {
	case Accepted:
		if !accepted {
			h.Fatalf("%s was answered accepted and is not in the fold", r.Nonce)
		}
		if d, _ := h.folded[len(h.folded)-1].Nonce(r.Nonce); d.Offset != r.Revision {
			h.Fatalf("%s was answered at revision %d and is at %d", r.Nonce, r.Revision, d.Offset)
		}
	case Rejected, NotAccepted:
		if decided && accepted {
			h.Fatalf("%s was answered %s and is in force", r.Nonce, r.State)
		}
	}
}

func name(kind string, i int) string { return fmt.Sprintf("%s%d", kind, i) }

// change draws a change that is often valid.
func (h *history) change(s *fold.State) config.Change {
	if s.Size(config.Presets) == 0 && h.below(4) > 0 {
		return firstChange()
	}
	var c config.Change
	kinds := []func(*config.Change){h.setTeam, h.setTeam, h.setPool, h.setStage, h.setPipeline, h.setPreset, h.remove}
	for range 1 + h.below(2) {
		kinds[h.below(len(kinds))](&c)
	}
	return c
}

func firstChange() config.Change {
	yes := true
	var c config.Change
	c.Set.Pools = []pool.Spec{{Name: "pool0", Kind: pool.Stage}}
	c.Set.Stages = []stage.Spec{{Name: "stage0", Kind: stage.Encode, Pool: "pool0", Repeatable: &yes}}
	c.Set.Pipelines = []pipe.Spec{{Name: "pipe0", Stages: []string{"stage0"}, DeadlineMs: 1000}}
	lines := map[string]preset.Line{"pipe0": {}}
	c.Set.Presets = []preset.Spec{{Name: "preset0", Pipelines: lines}, {Name: "preset1", Pipelines: lines}}
	return c
}

func (h *history) setTeam(c *config.Change) {
	t := team.Spec{Name: name("team", h.below(4)), Share: float64(h.below(5)) / 10}
	t.TokenDigest = fmt.Sprintf("%064d", h.below(8))
	if h.below(4) == 0 {
		t.Pipelines = []string{name("pipe", h.below(2))}
	}
	if h.below(4) == 0 {
		t.RatePerSecond = 5
	}
	c.Set.Teams = append(c.Set.Teams, t)
}

func (h *history) setPool(c *config.Change) {
	kinds := []pool.Kind{pool.Stage, pool.Stage, pool.Service}
	c.Set.Pools = append(c.Set.Pools, pool.Spec{Name: name("pool", h.below(2)), Kind: kinds[h.below(3)]})
}

func (h *history) setStage(c *config.Change) {
	again := h.below(3) > 0
	kinds := []stage.Kind{stage.Encode, stage.Rerank, stage.Service}
	c.Set.Stages = append(c.Set.Stages, stage.Spec{
		Name:       name("stage", h.below(2)),
		Kind:       kinds[h.below(3)],
		Pool:       name("pool", h.below(2)),
		Repeatable: &again,
	})
}

func (h *history) setPipeline(c *config.Change) {
	p := pipe.Spec{Name: name("pipe", h.below(2)), DeadlineMs: int64(h.below(4) * 1000)}
	for i := range 1 + h.below(2) {
		p.Stages = append(p.Stages, name("stage", i))
	}
	c.Set.Pipelines = append(c.Set.Pipelines, p)
	lines := map[string]preset.Line{"pipe0": {}, p.Name: {}}
	for _, n := range []string{"preset0", "preset1"} {
		c.Set.Presets = append(c.Set.Presets, preset.Spec{Name: n, Pipelines: lines})
	}
}

func (h *history) setPreset(c *config.Change) {
	p := preset.Spec{Name: name("preset", h.below(3)), Pipelines: map[string]preset.Line{"pipe0": {}}}
	if h.below(2) == 0 {
		p.Shares = map[string]float64{name("team", h.below(4)): float64(h.below(8)) / 10}
	}
	c.Set.Presets = append(c.Set.Presets, p)
}

func (h *history) remove(c *config.Change) {
	kinds := config.Kinds()
	prefix := []string{"pool", "stage", "pipe", "preset", "team"}
	i := h.below(len(kinds))
	c.Remove = append(c.Remove, config.Ref{Kind: kinds[i], Name: name(prefix[i], h.below(3))})
}

// oldBase bases a change on what another process has read, as an operator's older view would.
func (h *history) oldBase(c *config.Change) {
	s := h.pick().feed.Current()
	c.Base = map[config.Ref]int64{}
	for _, ref := range c.Refs() {
		c.Base[ref] = s.Meta(ref).Revision
	}
}
