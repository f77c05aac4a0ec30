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
	historySteps         = 16
	maxInterleavingDepth = 2 // nested steps of other processes during a call to the log
)

// process is an entry in a history; a failed one is replaced by a new one, never restarted.
type process struct {
	*Publisher
	feed         *feed.Feed
	disconnected bool  // no connection to the log
	maxOffset    int64 // highest offset seen
}

// processLog is the log as seen by one process; steps of other processes are interleaved with its calls.
type processLog struct {
	*memlog.Log
	h *history
	p *process
}

func (l *processLog) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	l.h.interleave()
	if l.p.disconnected {
		return 0, &logs.Error{Op: "append", Stream: name, Cause: memlog.ErrDown}
	}
	first, err := l.Log.Append(ctx, name, records)
	l.h.interleave()
	return first, err
}

func (l *processLog) Read(ctx context.Context, name string, from int64, limit int) (logs.Batch, error) {
	l.h.interleave()
	if l.p.disconnected {
		return logs.Batch{}, &logs.Error{Op: "read", Stream: name, Cause: memlog.ErrDown}
	}
	return l.Log.Read(ctx, name, from, min(limit, 7))
}

// history is one random run of several processes on a log, with the reference states of the log's content.
type history struct {
	*rapid.T
	ctx         context.Context
	log         *memlog.Log
	procs       []*process
	depth       int           // steps in progress, one interleaved with another
	ids         uint64        // last number used for a process or nonce
	naiveStates []naiveState  // reference state after each offset
	foldStates  []*fold.State // fold.State after each offset, from the first record on
	results     []Result
	counts      map[string]int // events by kind
}

// TestRandomHistories runs rapid.checks random histories for each number of processes. After each step, every process
// must have the state that follows from the log's full content; at the end, all results must have been true. The counts
// make sure that each kind of event happens often enough to be tested.
func TestRandomHistories(t *testing.T) {
	counts := map[string]int{}
	var mu sync.Mutex
	t.Run("group", func(t *testing.T) {
		for processes := 2; processes <= 5; processes++ {
			t.Run(fmt.Sprint(processes), func(t *testing.T) {
				t.Parallel()
				groupCounts := runHistories(t, processes)
				mu.Lock()
				defer mu.Unlock()
				for what, n := range groupCounts {
					counts[what] += n
				}
			})
		}
	})
	t.Log(counts)
	for what, want := range map[string]int{
		"histories": 2000, "accepted": 2000, "lost": 100, "invalid": 100, "notAccepted": 100, "unknown": 100,
		"settled": 100, "late": 100, "lostAnswer": 100, "trimmed": 100, "restored": 100, "unusable": 100,
		"replaced": 100, "damaged": 100, "offered": 100, "presetLost": 100, "fromPeer": 100, "duplicate": 100,
		"unchecked": 1000, "fold:invalid": 100, "fold:malformed": 100, "fold:conflict": 100, "fold:voided": 20,
		"fold:duplicate": 100, "fold:corrupt": 20, "fold:cut": 100, "fold:newerFormat": 100, "fold:settled": 1,
	} {
		if counts[what] < want {
			t.Errorf("%q happened %d times, want %d", what, counts[what], want)
		}
	}
}

func runHistories(t *testing.T, processes int) map[string]int {
	counts := map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		// rapid would call Deadline on a plain *testing.T, which panics in a synctest bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			counts["histories"]++
			time.Sleep(time.Second) // shrinking is limited by virtual time
			h := &history{T: rt, ctx: t.Context(), log: memlog.New(), counts: counts}
			h.log.KeepHistory()
			for range processes {
				h.procs = append(h.procs, h.start())
			}
			for range historySteps {
				h.step()
				h.checkAll()
			}
			h.finish()
		})
	})
	return counts
}

func (h *history) start() *process {
	p := &process{maxOffset: -1}
	wrappedLog := &processLog{Log: h.log, h: h, p: p}
	h.ids++
	opt := feed.Options{Author: fmt.Sprint("p", h.ids), Rand: rand.New(rand.NewPCG(h.ids, 0)), RingBytes: 4000}
	p.feed = feed.New(wrappedLog, opt, zap.NewNop())
	p.Publisher = New(wrappedLog, p.feed, h.newID, zap.NewNop())
	return p
}

func (h *history) newID() uuid.UUID {
	h.ids++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], h.ids)
	return id
}

func (h *history) pickProcess() *process { return h.procs[h.intN(len(h.procs))] }

func (h *history) intN(n int) int { return rapid.IntRange(0, n-1).Draw(h.T, "n") }

// interleave sometimes makes a step of a random process while another one waits for the log.
func (h *history) interleave() {
	if h.depth >= maxInterleavingDepth || h.depth == 0 || h.intN(4) > 0 {
		return
	}
	h.step()
	h.checkAll()
}

func (h *history) step() {
	h.depth++
	defer func() { h.depth-- }()
	steps := []func(){
		h.publish, h.publish, h.publish, h.publish, h.usePreset, h.usePreset, h.poll, h.poll, h.offer, h.offer,
		h.offerSnapshot, h.replaceProcess, h.toggleConnection, h.injectFault, h.injectFault, h.trim,
		h.appendDamaged, h.writeSnapshot, h.resendRecord, h.settle,
		h.appendUnchecked, h.appendUnchecked,
	}
	steps[h.intN(len(steps))]()
}

func (h *history) withTimeout(f func(context.Context)) {
	ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
	defer cancel()
	f(ctx)
}

func (h *history) publish() {
	p := h.pickProcess()
	change := h.drawChange(p.feed.Current())
	if h.intN(4) == 0 {
		h.setOlderBase(&change)
	}
	h.withTimeout(func(ctx context.Context) {
		result, _ := p.Publish(ctx, "author", change)
		h.recordResult(result)
	})
}

// appendUnchecked appends a change without the publisher's checks, so that the fold has to reject invalid ones.
func (h *history) appendUnchecked() {
	s := h.pickProcess().feed.Current()
	change := h.drawChange(s)
	if h.intN(3) == 0 {
		h.setOlderBase(&change)
	}
	base := fillBase(s, change)
	if h.intN(10) == 0 {
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
		h.counts["unchecked"]++
	}
}

func (h *history) usePreset() {
	p := h.pickProcess()
	var opts []Option
	if h.intN(2) == 0 {
		opts = append(opts, WithBase(h.pickProcess().feed.Current().PresetInForce().Revision))
	}
	h.withTimeout(func(ctx context.Context) {
		result, _ := p.UsePreset(ctx, "author", name("preset", h.intN(3)), opts...)
		h.recordResult(result)
		if result.Conflict != nil {
			h.counts["presetLost"]++
		}
	})
}

func (h *history) recordResult(r Result) {
	h.results = append(h.results, r)
	h.counts[string(r.State)]++
	if r.Conflict != nil {
		h.counts["lost"]++
	}
	if len(r.Problems) > 0 {
		h.counts["invalid"]++
	}
}

func (h *history) settle() {
	if len(h.results) == 0 {
		return
	}
	nonce := h.results[h.intN(len(h.results))].Nonce
	if nonce == "" {
		return
	}
	p := h.pickProcess()
	h.withTimeout(func(ctx context.Context) {
		result, _ := p.Settle(ctx, nonce)
		h.results = append(h.results, result)
		if result.State != Unknown {
			h.counts["settled"]++
		}
	})
}

func (h *history) poll() {
	h.withTimeout(func(ctx context.Context) { _ = h.pickProcess().feed.Poll(ctx) })
}

func (h *history) offer() {
	from, to := h.pickProcess(), h.pickProcess()
	offsets, records, ok := from.feed.Since(to.feed.Current().Offset()-int64(h.intN(2)), 1+h.intN(8))
	if !ok || len(records) == 0 {
		return
	}
	if h.intN(4) == 0 {
		i := h.intN(len(records))
		records[i] = bytes.Clone(records[i])
		flip(records[i])
		h.counts["damaged"]++
	}
	if h.intN(4) == 0 {
		offsets, records = offsets[1:], records[1:]
	}
	h.counts["offered"] += to.feed.Offer(offsets, records)
}

// flip flips one bit in the middle of data, if data is not empty.
func flip(data []byte) {
	if len(data) > 0 {
		data[len(data)/2] ^= 1
	}
}

func (h *history) offerSnapshot() {
	data, _, err := h.pickProcess().feed.Snapshot()
	if err != nil {
		h.Fatal(err)
	}
	if h.intN(4) == 0 {
		data[h.intN(len(data))] ^= 1
	}
	restored, _ := h.pickProcess().feed.OfferSnapshot(data)
	if restored {
		h.counts["fromPeer"]++
	}
}

func (h *history) replaceProcess() {
	h.procs[h.intN(len(h.procs))] = h.start()
	h.counts["replaced"]++
}

func (h *history) toggleConnection() {
	p := h.pickProcess()
	p.disconnected = !p.disconnected
}

func (h *history) injectFault() {
	switch h.intN(6) {
	case 0:
		h.log.SetDown(h.intN(2) == 0)
	case 1:
		h.log.LoseAnswers(1)
		h.counts["lostAnswer"]++
	case 2:
		h.log.HoldAppends(1 + h.intN(2))
	case 3:
		h.counts["late"] += h.log.Release()
	case 4:
		h.log.FailReads(h.intN(4))
	case 5:
		h.log.SetDown(false)
		h.log.FailReads(0)
	}
}

func (h *history) trim() {
	if n := len(h.log.History(logs.ConfigStream)); n > 0 {
		h.log.Trim(logs.ConfigStream, int64(h.intN(n)))
		h.counts["trimmed"]++
	}
}

// appendDamaged appends a record that is truncated, has a flipped bit or is of a newer format.
func (h *history) appendDamaged() {
	data := []byte("garbage")
	if all := h.log.History(logs.ConfigStream); len(all) > 0 {
		data = bytes.Clone(all[h.intN(len(all))])
	}
	switch h.intN(3) {
	case 0:
		data = h.newerFormatRecord()
	case 1:
		data = data[:h.intN(len(data)+1)]
	case 2:
		flip(data)
	}
	_, _ = h.log.Append(h.ctx, logs.ConfigStream, [][]byte{data})
}

func (h *history) newerFormatRecord() []byte {
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

// resendRecord appends a copy of an earlier record, like a retry by the transport.
func (h *history) resendRecord() {
	if all := h.log.History(logs.ConfigStream); len(all) > 0 {
		_, _ = h.log.Append(h.ctx, logs.ConfigStream, [][]byte{all[h.intN(len(all))]})
		h.counts["duplicate"]++
	}
}

func (h *history) writeSnapshot() {
	h.withTimeout(func(ctx context.Context) { _ = h.pickProcess().feed.WriteSnapshot(ctx) })
}

// checkAll compares the state of each process with the reference state at its offset.
func (h *history) checkAll() {
	h.replay()
	for _, p := range h.procs {
		s := p.feed.Current()
		if s.Offset() < p.maxOffset {
			h.Fatalf("offset went from %d back to %d", p.maxOffset, s.Offset())
		}
		p.maxOffset = s.Offset()
		if s.Offset() >= 0 && s.Digest() != h.foldStates[s.Offset()].Digest() {
			h.Fatalf("digest at offset %d differs from the full history", s.Offset())
		}
		if in := s.Config(); in.InForce != "" {
			if _, ok := in.Preset(); !ok {
				h.Fatalf("preset %q is in force but not declared", in.InForce)
			}
		}
	}
}

// replay applies the new records of the log to both reference states and compares these.
func (h *history) replay() {
	records := h.log.History(logs.ConfigStream)
	for i := len(h.naiveStates); i < len(records); i++ {
		naive, folded := newNaiveState(), fold.New()
		if i > 0 {
			naive, folded = h.naiveStates[i-1], h.foldStates[i-1]
		}
		naive = naive.apply(int64(i), records[i])
		folded, rejection := folded.Apply(int64(i), records[i])
		h.countRejection(rejection)
		h.compare(naive, folded)
		h.naiveStates = append(h.naiveStates, naive)
		h.foldStates = append(h.foldStates, folded)
	}
}

func (h *history) countRejection(r *fold.Rejection) {
	if r != nil {
		h.counts["fold:"+string(r.Code)]++
	}
}

func (h *history) compare(naive naiveState, s *fold.State) {
	want, got := asJSON(h, naive.set), asJSON(h, s.Config())
	if want != got {
		h.Fatalf("at offset %d the naive version has\n%s\nthe fold has\n%s", s.Offset(), want, got)
	}
	if naive.last != s.Revision() {
		h.Fatalf("revision is %d, naive %d", s.Revision(), naive.last)
	}
	for ref, revision := range naive.revisions {
		if s.Meta(ref).Revision != revision {
			h.Fatalf("revision of %s is %d, naive %d", ref, s.Meta(ref).Revision, revision)
		}
	}
	for nonce, accepted := range naive.decisions {
		if d, ok := s.Decision(nonce); !ok || d.Accepted != accepted {
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

// finish ends all faults, then checks that all processes agree and that every result was true.
func (h *history) finish() {
	h.depth = maxInterleavingDepth
	h.log.SetDown(false)
	h.log.FailReads(0)
	h.log.LoseAnswers(0)
	h.log.HoldAppends(0)
	h.counts["late"] += h.log.Release()
	h.replay()
	for _, p := range h.procs {
		p.disconnected = false
		h.checkProcess(p)
	}
	for _, r := range h.results {
		h.checkAnswer(r)
	}
}

// checkProcess checks that a process reaches the end of the log, or keeps its offset if its read of the log fails.
func (h *history) checkProcess(p *process) {
	before := p.feed.Current().Offset()
	err := p.feed.Poll(h.ctx)
	h.counts["restored"] += int(p.feed.Stats().Restored)
	if err != nil {
		h.counts["unusable"]++
		if p.feed.Current().Offset() != before {
			h.Fatalf("offset moved from %d to %d although %v", before, p.feed.Current().Offset(), err)
		}
		return
	}
	s := p.feed.Current()
	if want := int64(len(h.foldStates)) - 1; s.Offset() != want {
		h.Fatalf("process is at offset %d of %d", s.Offset(), want)
	}
	if s.Offset() < 0 {
		return
	}
	want, got := asJSON(h, h.foldStates[s.Offset()].Image()), asJSON(h, s.Image())
	if want != got {
		h.Fatalf("full history makes\n%s\nthe process has\n%s", want, got)
	}
}

// checkAnswer checks a result that a publisher returned against the decision in the full log.
func (h *history) checkAnswer(r Result) {
	if r.Nonce == "" || len(h.naiveStates) == 0 {
		return
	}
	accepted, decided := h.naiveStates[len(h.naiveStates)-1].decisions[r.Nonce]
	switch r.State {
	case Accepted:
		if !accepted {
			h.Fatalf("%s was answered accepted and is not in the fold", r.Nonce)
		}
		if d, _ := h.foldStates[len(h.foldStates)-1].Decision(r.Nonce); d.Offset != r.Revision {
			h.Fatalf("%s was answered at revision %d and is at %d", r.Nonce, r.Revision, d.Offset)
		}
	case Rejected, NotAccepted:
		if decided && accepted {
			h.Fatalf("%s was answered %s and is in force", r.Nonce, r.State)
		}
	}
}

func name(kind string, i int) string { return fmt.Sprintf("%s%d", kind, i) }

// drawChange draws a random change that is often valid.
func (h *history) drawChange(s *fold.State) config.Change {
	if s.Size(config.Presets) == 0 && h.intN(4) > 0 {
		return initialChange()
	}
	var c config.Change
	kinds := []func(*config.Change){h.setTeam, h.setTeam, h.setPool, h.setStage, h.setPipeline, h.setPreset, h.remove}
	for range 1 + h.intN(2) {
		kinds[h.intN(len(kinds))](&c)
	}
	return c
}

// initialChange returns a valid change of an empty configuration.
func initialChange() config.Change {
	yes := true
	var c config.Change
	c.Set.Pools = []pool.Spec{{Name: "pool0", Kind: pool.Stage}}
	c.Set.Stages = []stage.Spec{{Name: "stage0", Kind: stage.Encode, Pool: "pool0", Repeatable: &yes}}
	c.Set.Pipelines = []pipe.Spec{{Name: "pipe0", Stages: []string{"stage0"}, DeadlineMs: 1000}}
	lines := map[string]preset.PipelineSettings{"pipe0": {}}
	c.Set.Presets = []preset.Spec{{Name: "preset0", Pipelines: lines}, {Name: "preset1", Pipelines: lines}}
	return c
}

func (h *history) setTeam(c *config.Change) {
	t := team.Spec{Name: name("team", h.intN(4)), Share: float64(h.intN(5)) / 10}
	t.TokenDigest = fmt.Sprintf("%064d", h.intN(8))
	if h.intN(4) == 0 {
		t.Pipelines = []string{name("pipe", h.intN(2))}
	}
	if h.intN(4) == 0 {
		t.RatePerSecond = 5
	}
	c.Set.Teams = append(c.Set.Teams, t)
}

func (h *history) setPool(c *config.Change) {
	kinds := []pool.Kind{pool.Stage, pool.Stage, pool.Service}
	c.Set.Pools = append(c.Set.Pools, pool.Spec{Name: name("pool", h.intN(2)), Kind: kinds[h.intN(3)]})
}

func (h *history) setStage(c *config.Change) {
	repeatable := h.intN(3) > 0
	kinds := []stage.Kind{stage.Encode, stage.Rerank, stage.Service}
	c.Set.Stages = append(c.Set.Stages, stage.Spec{
		Name:       name("stage", h.intN(2)),
		Kind:       kinds[h.intN(3)],
		Pool:       name("pool", h.intN(2)),
		Repeatable: &repeatable,
	})
}

func (h *history) setPipeline(c *config.Change) {
	p := pipe.Spec{Name: name("pipe", h.intN(2)), DeadlineMs: int64(h.intN(4) * 1000)}
	for i := range 1 + h.intN(2) {
		p.Stages = append(p.Stages, name("stage", i))
	}
	c.Set.Pipelines = append(c.Set.Pipelines, p)
	lines := map[string]preset.PipelineSettings{"pipe0": {}, p.Name: {}}
	for _, n := range []string{"preset0", "preset1"} {
		c.Set.Presets = append(c.Set.Presets, preset.Spec{Name: n, Pipelines: lines})
	}
}

func (h *history) setPreset(c *config.Change) {
	p := preset.Spec{Name: name("preset", h.intN(3)), Pipelines: map[string]preset.PipelineSettings{"pipe0": {}}}
	if h.intN(2) == 0 {
		p.Shares = map[string]float64{name("team", h.intN(4)): float64(h.intN(8)) / 10}
	}
	c.Set.Presets = append(c.Set.Presets, p)
}

func (h *history) remove(c *config.Change) {
	kinds := config.Kinds()
	prefix := []string{"pool", "stage", "pipe", "preset", "team"}
	i := h.intN(len(kinds))
	c.Remove = append(c.Remove, config.Ref{Kind: kinds[i], Name: name(prefix[i], h.intN(3))})
}

// setOlderBase bases a change on the state of a random process, like an operator with an older view.
func (h *history) setOlderBase(c *config.Change) {
	s := h.pickProcess().feed.Current()
	c.Base = map[config.Ref]int64{}
	for _, ref := range c.Refs() {
		c.Base[ref] = s.Meta(ref).Revision
	}
}
