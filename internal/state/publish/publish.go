package publish

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

// Timeouts and intervals of a publish.
const (
	refreshTimeout       = 2 * time.Second        // read of the log before a publish
	decisionPollInterval = 200 * time.Millisecond // between reads while waiting for a decision
	decisionTimeout      = 2 * time.Second        // wait for the decision on a record that may have been appended
)

// maxUnsettled is the maximum number of publishes kept for Unsettled.
const maxUnsettled = 256

// Publisher appends changes to the log and reads back the decisions on them.
type Publisher struct {
	log   logs.Service
	feed  *feed.Feed
	newID func() uuid.UUID
	lg    *zap.Logger

	mu        sync.Mutex
	unsettled map[string]Pending // by nonce
}

// Pending is a publish whose outcome is not known.
type Pending struct {
	Nonce  string
	Author string
	Since  time.Time
}

// New returns a publisher; newID generates the random part of nonces.
func New(log logs.Service, f *feed.Feed, newID func() uuid.UUID, lg *zap.Logger) *Publisher {
	return &Publisher{log: log, feed: f, newID: newID, lg: lg, unsettled: map[string]Pending{}}
}

// Option configures one publish.
type Option func(*callOptions)

// WithNonce sets a nonce that the caller got from NewNonce, so that it can settle the publish if the answer is lost.
func WithNonce(nonce string) Option { return func(c *callOptions) { c.nonce = nonce } }

// WithBase sets the revision of the preset in force that a preset switch is based on.
func WithBase(revision int64) Option { return func(c *callOptions) { c.base = &revision } }

// callOptions holds the options of one publish.
type callOptions struct {
	nonce string // see WithNonce; empty for a new one
	base  *int64 // see WithBase; nil for the current revision
}

// proposal is the content of a record to append, with the specs that it would set.
type proposal struct {
	kind  record.Kind
	base  map[config.Ref]int64
	body  any
	specs map[config.Ref]any
}

// Unsettled returns the publishes of this process whose outcome is unknown and that have not been decided since, in the
// order of their nonces.
func (p *Publisher) Unsettled() []Pending {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.feed.Current()
	var list []Pending
	for nonce, pending := range p.unsettled {
		if _, decided := state.Decision(nonce); decided {
			delete(p.unsettled, nonce)
			continue
		}
		list = append(list, pending)
	}
	slices.SortFunc(list, func(a, b Pending) int { return cmp.Compare(a.Nonce, b.Nonce) })
	return list
}

// NewNonce returns a nonce for the next publish.
func (p *Publisher) NewNonce() string {
	return record.NewNonce(p.feed.Current().Offset()+1, p.newID())
}

// Publish appends a change and waits for the decision on it; the error is nil only if it was accepted, else an *Error
// with the same result.
func (p *Publisher) Publish(ctx context.Context, author string, change config.Change, opts ...Option) (Result, error) {
	state, err := p.refresh(ctx)
	if err != nil {
		return notAccepted("", err)
	}
	return p.submit(ctx, author, proposal{
		kind:  record.Change,
		base:  fillBase(state, change),
		body:  record.ChangeBody{Set: change.Set, Remove: change.Remove},
		specs: specsOf(change),
	}, opts)
}

// UsePreset appends a switch of the preset in force and waits for the decision on it, like Publish.
func (p *Publisher) UsePreset(ctx context.Context, author, name string, opts ...Option) (Result, error) {
	state, err := p.refresh(ctx)
	if err != nil {
		return notAccepted("", err)
	}
	before := state.PresetInForce()
	base := before.Revision
	if c := applyOptions(opts); c.base != nil {
		base = *c.base
	}
	ref := config.InForceRef()
	result, err := p.submit(ctx, author, proposal{
		kind:  record.Preset,
		base:  map[config.Ref]int64{ref: base},
		body:  record.PresetBody{Name: name},
		specs: map[config.Ref]any{ref: name},
	}, opts)
	if result.State == Accepted && before.Name != "" {
		result.Replaced = &Replaced{
			Name:     before.Name,
			Author:   before.Author,
			Since:    time.UnixMilli(before.TimeMs).UTC(),
			Revision: before.Revision,
		}
	}
	return result, err
}

// refresh tries to read the log and returns the current state, which may be stale; it fails only if the feed is not
// ready.
func (p *Publisher) refresh(ctx context.Context) (*fold.State, error) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := p.feed.Poll(ctx); err != nil {
		p.lg.Info("log cannot be read before a publish, the state may be stale", zap.Error(err))
	}
	return p.feed.Current(), p.feed.Ready()
}

func applyOptions(opts []Option) callOptions {
	var c callOptions
	for _, o := range opts {
		o(&c)
	}
	return c
}

// submit checks a proposal against the local state, appends it if it is valid there, and waits for the decision on it.
func (p *Publisher) submit(ctx context.Context, author string, prop proposal, opts []Option) (Result, error) {
	nonce := applyOptions(opts).nonce
	if nonce == "" {
		nonce = p.NewNonce()
	}
	if author == "" {
		return notAccepted(nonce, errors.New("no author"))
	}
	r, err := record.New(prop.kind, nonce, author, time.Now().UnixMilli(), prop.base, prop.body)
	if err != nil {
		return notAccepted(nonce, err)
	}
	data, err := record.Encode(r)
	if err != nil {
		return notAccepted(nonce, err)
	}
	state := p.feed.Current()
	if err := checkNotBehind(state, nonce, prop.base); err != nil {
		return notAccepted(nonce, err)
	}
	if _, rejection := state.Apply(state.Offset()+1, data); rejection != nil {
		return p.rejectionResult(state, prop, nonce, rejection)
	}
	d, ok, err := p.append(ctx, nonce, data)
	if err != nil || !ok {
		result, err := p.settleUndecided(ctx, prop, nonce, err)
		p.addUnsettled(result, author)
		return result, err
	}
	return p.resultOf(prop, d)
}

// addUnsettled keeps a publish whose outcome is unknown for Unsettled.
func (p *Publisher) addUnsettled(r Result, author string) {
	if r.State != Unknown {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unsettled) < maxUnsettled {
		p.unsettled[r.Nonce] = Pending{Nonce: r.Nonce, Author: author, Since: time.Now()}
	}
}

// checkNotBehind returns an error if the author has seen a later offset than this process, which then cannot check the
// change.
func checkNotBehind(state *fold.State, nonce string, base map[config.Ref]int64) error {
	next, err := record.NonceOffset(nonce)
	if err != nil {
		return err
	}
	seen := next - 1
	for _, revision := range base {
		seen = max(seen, revision)
	}
	if seen <= state.Offset() {
		return nil
	}
	return fmt.Errorf("the change is based on offset %d, and this process has read up to %d only", seen, state.Offset())
}

// append appends the record, reads the log up to it and returns the decision, false if there is none.
func (p *Publisher) append(ctx context.Context, nonce string, data []byte) (fold.Decision, bool, error) {
	first, err := p.log.Append(ctx, logs.ConfigStream, [][]byte{data})
	if err != nil {
		return fold.Decision{}, false, err
	}
	p.feed.Offer([]int64{first}, [][]byte{data})
	if err := p.feed.ReadTo(ctx, first); err != nil {
		return fold.Decision{}, false, fmt.Errorf("record is at offset %d but cannot be read back: %w", first, err)
	}
	d, ok := p.feed.Current().Decision(nonce)
	return d, ok, nil
}

// settleUndecided determines the outcome of a record that was or may have been appended and has no known decision: the
// answer to the append was lost, or the record could not be read back or was read without a decision. It waits for a
// decision and voids the nonce if there is none. If the append certainly failed, the result is NotAccepted.
func (p *Publisher) settleUndecided(ctx context.Context, prop proposal, nonce string, cause error) (Result, error) {
	var e *logs.Error
	if errors.As(cause, &e) && e.Op == "append" && !e.MayHaveAppended {
		return notAccepted(nonce, cause)
	}
	p.lg.Warn("publish may be in the log but its decision is not known",
		zap.String("nonce", nonce), zap.Error(cause))
	if d, ok := p.waitForDecision(ctx, nonce); ok {
		return p.resultOf(prop, d)
	}
	d, err := p.voidNonce(ctx, nonce)
	if err != nil {
		return unknown(nonce, errors.Join(cause, err))
	}
	return p.resultOf(prop, d)
}

// waitForDecision polls the log for up to decisionTimeout until there is a decision on a nonce.
func (p *Publisher) waitForDecision(ctx context.Context, nonce string) (fold.Decision, bool) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	for {
		_ = p.feed.Poll(ctx) // the state shows whether it helped
		if d, ok := p.feed.Current().Decision(nonce); ok {
			return d, true
		}
		select {
		case <-ctx.Done():
			return fold.Decision{}, false
		case <-time.After(decisionPollInterval):
		}
	}
}

// voidNonce appends a void record for a nonce and returns the decision on the nonce, which is then final either way.
func (p *Publisher) voidNonce(ctx context.Context, nonce string) (fold.Decision, error) {
	if !p.feed.Current().Remembers(nonce) {
		return fold.Decision{},
			fmt.Errorf("decisions as old as %s are forgotten: compare the objects themselves", nonce)
	}
	r, err := record.New(record.Void, p.NewNonce(), "settle", time.Now().UnixMilli(), nil,
		record.VoidBody{Nonce: nonce})
	if err != nil {
		return fold.Decision{}, err
	}
	data, err := record.Encode(r)
	if err != nil {
		return fold.Decision{}, err
	}
	if _, _, err := p.append(ctx, r.Nonce, data); err != nil {
		return fold.Decision{}, err
	}
	d, ok := p.feed.Current().Decision(nonce)
	if !ok {
		return d, fmt.Errorf("the void of %s was not taken", nonce)
	}
	return d, nil
}

// Settle determines the outcome of a publish whose answer was lost; if its record is not in the log yet, its nonce is
// voided, so that it can never take effect.
func (p *Publisher) Settle(ctx context.Context, nonce string) (Result, error) {
	if _, err := record.NonceOffset(nonce); err != nil {
		return notAccepted(nonce, err)
	}
	if _, err := p.refresh(ctx); err != nil {
		return unknown(nonce, err)
	}
	if d, ok := p.feed.Current().Decision(nonce); ok {
		return p.resultOf(proposal{}, d)
	}
	d, err := p.voidNonce(ctx, nonce)
	if err != nil {
		return unknown(nonce, err)
	}
	return p.resultOf(proposal{}, d)
}

// resultOf logs the decision on a proposal and returns it as a result; the error is nil only if it was accepted.
func (p *Publisher) resultOf(prop proposal, d fold.Decision) (Result, error) {
	state := p.feed.Current()
	result := newResult(state, d.Nonce)
	p.lg.Info("publish decided", zap.String("nonce", d.Nonce), zap.Bool("accepted", d.Accepted),
		zap.Int64("offset", d.Offset), zap.String("code", string(d.Code)))
	switch {
	case d.Accepted:
		result.State = Accepted
		result.Revision = d.Offset
		return result, nil
	case d.Code == fold.Voided:
		result.State = NotAccepted
		result.Message = fmt.Sprintf("it had not come by offset %d and is forbidden since", d.Offset)
	default:
		result.State = Rejected
		result.Message = d.Message
		result.Conflict = findConflict(state, prop, d.Offset)
	}
	return result, &Error{Result: result}
}

// rejectionResult returns the result for a record that the local state already rejects and that is not appended.
func (p *Publisher) rejectionResult(state *fold.State, prop proposal, nonce string, r *fold.Rejection) (Result, error) {
	if d, ok := state.Decision(nonce); ok {
		return p.resultOf(prop, d)
	}
	result := newResult(state, nonce)
	result.State = Rejected
	result.Message = r.Message
	result.Problems = r.Problems
	if r.Code == fold.Conflict {
		result.Conflict = findConflict(state, prop, state.Offset()+1)
	}
	return result, &Error{Result: result}
}

func newResult(state *fold.State, nonce string) Result {
	return Result{Nonce: nonce, Revision: -1, Offset: state.Offset(), Digest: state.Digest()}
}

// notAccepted returns the result and the error of a publish that certainly had no effect.
func notAccepted(nonce string, cause error) (Result, error) {
	result := Result{
		State:    NotAccepted,
		Nonce:    nonce,
		Revision: -1,
		Offset:   -1,
		Message:  "nothing was taken: " + cause.Error(),
	}
	return result, &Error{Result: result, Cause: cause}
}

// unknown returns the result and the error of a publish that may take effect.
func unknown(nonce string, cause error) (Result, error) {
	result := Result{
		State:    Unknown,
		Nonce:    nonce,
		Revision: -1,
		Offset:   -1,
		Message:  "it may be in force now or later: " + cause.Error(),
		Settle:   "ragworthatch publish --settle " + nonce,
	}
	return result, &Error{Result: result, Cause: cause}
}

// fillBase returns the base revisions of a change; those that the author did not give are the current ones.
func fillBase(state *fold.State, change config.Change) map[config.Ref]int64 {
	base := maps.Clone(change.Base)
	if base == nil {
		base = map[config.Ref]int64{}
	}
	for _, ref := range change.Refs() {
		if _, ok := base[ref]; !ok {
			base[ref] = state.Meta(ref).Revision
		}
	}
	return base
}

// specsOf returns the specs that a change sets.
func specsOf(change config.Change) map[config.Ref]any {
	specs := map[config.Ref]any{}
	for _, p := range change.Set.Pools {
		specs[config.Ref{Kind: config.Pools, Name: p.Name}] = p
	}
	for _, s := range change.Set.Stages {
		specs[config.Ref{Kind: config.Stages, Name: s.Name}] = s
	}
	for _, l := range change.Set.Pipelines {
		specs[config.Ref{Kind: config.Pipelines, Name: l.Name}] = l
	}
	for _, s := range change.Set.Presets {
		specs[config.Ref{Kind: config.Presets, Name: s.Name}] = s
	}
	for _, t := range change.Set.Teams {
		specs[config.Ref{Kind: config.Teams, Name: t.Name}] = t
	}
	return specs
}

// findConflict returns the objects of a proposal that others changed up to an offset, nil if there are none.
func findConflict(state *fold.State, prop proposal, offset int64) *Conflict {
	var l Conflict
	for ref, base := range prop.base {
		now := state.Meta(ref)
		if now.Revision == base || now.Revision > offset {
			continue
		}
		c := ConflictingObject{Ref: ref, Base: base, Current: now}
		if theirs, ok := state.Spec(ref); ok {
			c.Differences = config.Differences(prop.specs[ref], theirs)
		}
		l.Objects = append(l.Objects, c)
	}
	if len(l.Objects) == 0 {
		return nil
	}
	sortConflictingObjects(l.Objects)
	return &l
}
