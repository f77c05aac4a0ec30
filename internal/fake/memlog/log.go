package memlog

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
)

// ErrDown and ErrAnswerLost are the causes of failed calls.
var (
	ErrDown       = errors.New("log service is down")
	ErrAnswerLost = errors.New("answer of the log service was lost")
)

// Log is an in-memory logs.Service; its methods are safe for concurrent use.
type Log struct {
	mu          sync.Mutex
	streams     map[string]*stream
	down        bool
	loseAnswers int // remaining appends whose answers are lost
	holdAppends int // remaining appends to hold
	failReads   int // remaining reads to refuse
	appendDelay time.Duration
	readDelay   time.Duration
	retain      int // records of each stream; 0 keeps all
	retainFor   time.Duration
	held        []heldAppend
	appends     int
	reads       int
	history     map[string][][]byte // by stream; nil until KeepHistory
}

// stream holds the retained records of one stream.
type stream struct {
	oldest  int64 // offset of the first retained record
	records [][]byte
	times   []time.Time // when each record was appended
}

// heldAppend is an append that takes effect at Release.
type heldAppend struct {
	stream  string
	records [][]byte
}

// New returns an empty log service that is up and retains all records.
func New() *Log {
	return &Log{streams: map[string]*stream{}}
}

// SetDown makes all calls fail until it is called with false; a failed append has not taken effect.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseAnswers makes the next n appends take effect but fail with ErrAnswerLost.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAnswers = n
}

// HoldAppends makes the next n appends fail with ErrAnswerLost and take effect only at Release.
func (l *Log) HoldAppends(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdAppends = n
}

// Release applies the held appends, oldest first, and returns their number.
func (l *Log) Release() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.held)
	for _, h := range l.held {
		l.put(h.stream, h.records)
	}
	l.held = nil
	return n
}

// FailReads makes the next n reads fail with ErrDown.
func (l *Log) FailReads(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failReads = n
}

// DelayAppend delays each append by d; it takes effect even if its caller gives up before.
func (l *Log) DelayAppend(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendDelay = d
}

// DelayRead delays each read by d.
func (l *Log) DelayRead(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readDelay = d
}

// Retain limits each stream to its last n records; 0 keeps all.
func (l *Log) Retain(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retain = n
	l.trimAll()
}

// RetainFor limits the age of records to d; 0 keeps all.
func (l *Log) RetainFor(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retainFor = d
	l.trimAll()
}

// Trim drops the records of a stream before an offset.
func (l *Log) Trim(name string, oldest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.drop(int(min(oldest-s.oldest, int64(len(s.records)))))
}

// KeepHistory makes History return all records from now on, including those that are trimmed.
func (l *Log) KeepHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = map[string][][]byte{}
}

// History returns all records of a stream since KeepHistory, in order.
func (l *Log) History(name string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.history[name])
}

// Appends returns the number of append calls that took effect or may still do so.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Reads returns the number of read calls, including those that failed.
func (l *Log) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Append implements logs.Service.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	records = cloneAll(records)
	l.mu.Lock()
	delay := l.appendDelay
	if l.down {
		l.mu.Unlock()
		return 0, &logs.Error{Op: "append", Stream: name, Cause: ErrDown}
	}
	l.appends++
	if delay == 0 {
		defer l.mu.Unlock()
		return l.apply(name, records)
	}
	l.mu.Unlock()
	return l.applyLater(ctx, delay, name, records)
}

// appendResult is the result of a delayed append.
type appendResult struct {
	first int64
	err   error
}

// applyLater applies an append after a delay, even if ctx ends before.
func (l *Log) applyLater(ctx context.Context, delay time.Duration, name string, records [][]byte) (int64, error) {
	done := make(chan appendResult, 1)
	time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		first, err := l.apply(name, records)
		done <- appendResult{first: first, err: err}
	})
	select {
	case a := <-done:
		return a.first, a.err
	case <-ctx.Done():
		return 0, &logs.Error{Op: "append", Stream: name, MayHaveAppended: true, Cause: ctx.Err()}
	}
}

// apply holds an append or makes it take effect, and may lose its answer.
func (l *Log) apply(name string, records [][]byte) (int64, error) {
	lost := &logs.Error{Op: "append", Stream: name, MayHaveAppended: true, Cause: ErrAnswerLost}
	if l.holdAppends > 0 {
		l.holdAppends--
		l.held = append(l.held, heldAppend{stream: name, records: records})
		return 0, lost
	}
	first := l.put(name, records)
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, lost
	}
	return first, nil
}

// Read implements logs.Service.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int) (logs.Batch, error) {
	l.mu.Lock()
	delay := l.readDelay
	l.reads++
	l.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return logs.Batch{}, &logs.Error{Op: "read", Stream: name, Cause: ctx.Err()}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failReads > 0 {
		l.failReads--
		return logs.Batch{}, &logs.Error{Op: "read", Stream: name, Cause: ErrDown}
	}
	if l.down {
		return logs.Batch{}, &logs.Error{Op: "read", Stream: name, Cause: ErrDown}
	}
	l.trimAll()
	return l.stream(name).read(from, limit), nil
}

func (s *stream) read(from int64, limit int) logs.Batch {
	next := s.oldest + int64(len(s.records))
	first := min(max(from, s.oldest), next)
	end := min(first+int64(limit), next)
	return logs.Batch{
		First:   first,
		Records: cloneAll(s.records[first-s.oldest : end-s.oldest]),
		Oldest:  s.oldest,
		Next:    next,
	}
}

// stream returns a stream by name, and creates it if needed.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// put adds records to a stream and returns the offset of the first.
func (l *Log) put(name string, records [][]byte) int64 {
	s := l.stream(name)
	first := s.oldest + int64(len(s.records))
	now := time.Now()
	for _, r := range records {
		s.records = append(s.records, r)
		s.times = append(s.times, now)
	}
	if l.history != nil {
		l.history[name] = append(l.history[name], records...)
	}
	l.trimAll()
	return first
}

// trimAll drops the records beyond the retention limits.
func (l *Log) trimAll() {
	now := time.Now()
	for _, s := range l.streams {
		if l.retain > 0 {
			s.drop(len(s.records) - l.retain)
		}
		if l.retainFor > 0 {
			expired := 0
			for expired < len(s.times) && now.Sub(s.times[expired]) > l.retainFor {
				expired++
			}
			s.drop(expired)
		}
	}
}

// drop removes the n oldest records.
func (s *stream) drop(n int) {
	if n <= 0 {
		return
	}
	s.oldest += int64(n)
	s.records = slices.Clone(s.records[n:])
	s.times = slices.Clone(s.times[n:])
}

func cloneAll(records [][]byte) [][]byte {
	out := make([][]byte, len(records))
	for i, r := range records {
		out[i] = slices.Clone(r)
	}
	return out
}
