package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/cursor"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/leader/basis"
	"github.com/ragworthatch/ragworthatch/platform"
)

const (
	topic         = platform.TopicOrigins
	checkInterval = 200 * time.Millisecond // between looks at the list of upstreams
	callTimeout   = 600 * time.Millisecond // of a call of the store
	findTimeout   = 700 * time.Millisecond // for a lookup
	recordTimeout = 900 * time.Millisecond // for the store to acknowledge a record
	failureTTL    = 1 * time.Second        // after a failed read, lookups that need the store fail at once
	writeInterval = 25 * time.Millisecond  // between the starts of two calls that write
	minWriteRetry = 50 * time.Millisecond  // after a failed write; doubles up to maxWriteRetry
	maxWriteRetry = 800 * time.Millisecond
	minRetryDelay = 250 * time.Millisecond // after a failed read that no lookup waits for
	maxRetryDelay = 2 * time.Second
	pollInterval  = 2 * time.Second // between reads by entries that don't lead, until the base versions are known

	minRetention      = 15 * time.Second
	retentionTimeouts = 2               // the retention in timeouts of a route
	maxListAge        = 3 * time.Second // of a list that says which versions serve
	maxListGap        = 2 * time.Second // between two lists, in which no engine joins, begins a stream and leaves
	maxRestoreGap     = 5 * time.Second // the same while the store comes back from a copy, and engines can't leave
	restoreSettleTime = 3 * time.Second // for engines to write their entries again after that
	maxPerRecord      = 4000            // streams
	maxDeletions      = 500             // records in one call
	latencySmoothing  = 0.2
)

// Origin is the pool and the version of its software at which a stream began.
type Origin struct {
	Pool    string
	Version string
}

// Source says how the origin of a stream was found.
type Source string

// Sources of origins.
const (
	SourceMemory  Source = "memory"  // an entry that passed it on remembers it, or told this one
	SourceRecord  Source = "record"  // of the stream in the store
	SourceBase    Source = "base"    // there is no record, so it is the base version
	SourceSole    Source = "sole"    // no other version has been listed for long, nor since it was taken up
	SourceUnknown Source = "unknown" // it was not found
)

// Found is the result of a lookup; the origin is empty if the source is SourceUnknown.
type Found struct {
	Origin
	Source Source
}

// IsKnown reports whether the origin was found.
func (f Found) IsKnown() bool { return f.Version != "" }

// Key identifies the stream of a team's attempt; teams don't share IDs.
func Key(team, attempt string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(team)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(attempt)
	return d.Sum64()
}

// Store holds the records.
type Store interface {
	cursor.Store
	Append(ctx context.Context, topic platform.Topic, records ...platform.Record) error
	AppendAt(ctx context.Context, topic platform.Topic, end platform.Position, records ...platform.Record) error
	Era() int64
}

// Options are the dependencies of a Keeper.
type Options struct {
	Store Store
	Hosts func() *hosts.Table
	// Pools returns the pools whose streams may be taken up, with the longest timeout of their routes.
	Pools func() map[string]time.Duration
	Leads func() bool // reports whether this entry leads others or is alone
	// FirstStart says that the whole system starts for the first time, so that a store without records lacks none.
	FirstStart bool
	Stats      *stats.Stats
	Now        func() time.Time
	Log        *zap.Logger
}

// Keeper finds the version at which a stream began, and records it before a stream begins at a version that can't be
// told otherwise. It is safe for concurrent use; nothing is read or written before Run.
type Keeper struct {
	o          Options
	wakeReader chan struct{} // holds a value while there are lookups to read for
	wakeWriter chan struct{} // holds a value while there are records to write

	mu         sync.Mutex
	policy     *basis.Policy
	streams    map[uint64]stream
	bases      map[string]base
	lookups    []lookup
	unwritten  []*record
	recordKeys map[string]time.Time // keys of records of streams in the store, and when this process first saw each
	synced     bool                 // the topic was read since the versions changed
	era        int64                // of the store, as of the last read
	doubtedTo  time.Time            // until then, the store may lack records of streams
	restoredAt time.Time            // of the read that found the present era
	readAt     time.Time            // when the last read began, provided that lists were known; zero if there was a gap in them
	knownTo    time.Time            // readAt as of the last read before the records in doubt; zero if there was none
	// complete says that this entry has led since it read the store, so that it knows all records.
	complete   bool
	ledSince   time.Time     // when this entry took the lead; zero while it has not
	listReadAt time.Time     // of the last list whose versions were observed
	pollAt     time.Time     // when base versions that are unknown are read again
	readFail   time.Time     // time of the last failed read; zero after a success
	writeFails bool          // the last call that writes failed
	latency    time.Duration // of writes, smoothed
	name       string        // prefix of the keys of records of this process
	count      int           // records so far
}

// stream is what is known of one stream.
type stream struct {
	Origin
	expires  time.Time
	passedOn bool        // an entry passed its first event on; else it was only placed
	own      bool        // that was this entry
	recorded bool        // the store may have a record of it, or will before it begins
	stored   bool        // the store has acknowledged the record
	place    recordPlace // of the record; zero if it was not read or written yet
}

// recordPlace tells which of several records of a stream is the last one. The store may execute a write late, so their
// order in the store does not.
type recordPlace struct {
	repeats int // see lead.Stream
	writer  string
	number  int // among the records of its writer
}

// isBefore reports whether a later record replaces this one.
func (p recordPlace) isBefore(other recordPlace) bool {
	return p.repeats < other.repeats || (p.repeats == other.repeats && p.writer == other.writer && p.number < other.number)
}

// base is the base version of a pool.
type base struct {
	version string
	current bool // the store has it, with the present era, and all records
}

// lookup is a call of Find that waits for a read of the records, of the list, or both.
type lookup struct {
	key        uint64
	pool       string
	since      time.Time // when the stream was taken up
	until      time.Time
	needsStore bool // waits for a read of the records
	done       func(Found)
}

// record is a stream that is to be recorded.
type record struct {
	key     uint64
	origin  Origin
	repeats int
	at      time.Time  // of its call of Begin
	done    func(bool) // nil if nobody waits
}

// isOld reports whether the store may lack records of the pool.
func (b base) isOld() bool { return !b.current }

// isDeferred reports whether the stream does not wait for the record: it began while records could not be written, or its
// record is written again.
func (r *record) isDeferred() bool { return r.done == nil }

// New returns a Keeper that knows nothing; name is unique among all processes.
func New(name string, o Options) *Keeper {
	k := &Keeper{
		o: o, name: name, wakeReader: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1), streams: map[uint64]stream{},
		bases: map[string]base{}, recordKeys: map[string]time.Time{},
	}
	k.policy = basis.New(k.retention, o.Now())
	return k
}

// retention returns how long after its beginning a stream of a pool may be taken up.
func (k *Keeper) retention(pool string) time.Duration {
	return max(minRetention, retentionTimeouts*k.o.Pools()[pool])
}

// longestRetention returns the longest retention of all pools.
func (k *Keeper) longestRetention() time.Duration {
	longest := minRetention
	for pool := range k.o.Pools() {
		longest = max(longest, k.retention(pool))
	}
	return longest
}

// Placement says which engines a stream may begin at.
type Placement struct {
	// Version is the only version to use while records can't be written, empty if any may be used.
	Version string
	// Base is the version that needs no record; streams at others wait for RecordTime.
	Base       string
	RecordTime time.Duration
}

// Placement returns where a stream may begin. While records can't be written, that is the version that it has a record
// of, or the base version if engines of it are listed.
func (k *Keeper) Placement(key uint64, pool string) Placement {
	k.mu.Lock()
	defer k.mu.Unlock()
	b, known := k.bases[pool]
	p := Placement{Base: b.version, RecordTime: k.latency}
	if !k.writeFails {
		return p
	}
	if s := k.streams[key]; s.recorded && s.Pool == pool {
		p.Version = s.Version
	} else if known && k.policy.IsListed(pool, b.version) {
		p.Version = b.version
	}
	return p
}

// Begin records that a stream is to begin. It returns true if it may begin at once. If not, done is called once the
// store has the record, with false if it does not acknowledge it in time; the stream must not begin then. Other leaders may
// have recorded it before, as its order is decided on after so many repeats.
func (k *Keeper) Begin(key uint64, o Origin, repeats int, done func(recorded bool)) (atOnce bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Now()
	b, known := k.bases[o.Pool]
	before, has := k.streams[key]
	isBase := known && b.version == o.Version
	elsewhere := has && before.recorded && before.Origin != o
	if has && before.Origin != o {
		k.unwritten = slices.DeleteFunc(k.unwritten, func(r *record) bool { return r.key == key && r.isDeferred() })
	}
	switch {
	case has && before.stored && before.Origin == o:
		return true
	case isBase && repeats == 0 && !elsewhere:
		k.remember(key, stream{Origin: o}, now)
		return true
	case k.writeFails && !elsewhere && (isBase || k.mayBeginAnywhere(o.Pool)):
		k.remember(key, stream{Origin: o}, now)
		k.enqueue(&record{key: key, origin: o, repeats: repeats, at: now})
		return true
	}
	k.remember(key, stream{Origin: o, recorded: true}, now)
	k.enqueue(&record{key: key, origin: o, repeats: repeats, at: now, done: done})
	return false
}

// mayBeginAnywhere reports whether streams of a pool may begin at any version while records can't be written: a stream
// without a record is then taken for one of a base that has left. The caller holds mu.
func (k *Keeper) mayBeginAnywhere(pool string) bool {
	if b, known := k.bases[pool]; known {
		return !k.policy.IsListed(pool, b.version)
	}
	return k.o.FirstStart || k.policy.Listed(pool) <= 1
}

// enqueue has a record written. The caller holds mu.
func (k *Keeper) enqueue(r *record) {
	k.unwritten = append(k.unwritten, r)
	wake(k.wakeWriter)
}

// remember keeps in memory what is known of a stream. The caller holds mu.
func (k *Keeper) remember(key uint64, s stream, now time.Time) {
	s.expires = now.Add(k.retention(s.Pool))
	k.streams[key] = s
}

// Begun records that this entry has passed the first event of a stream on.
func (k *Keeper) Begun(key uint64, o Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirm(key, o, true)
}

// Learn takes on what an entry says of the streams that it has passed on.
func (k *Keeper) Learn(streams map[uint64]Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, o := range streams {
		k.confirm(key, o, false)
	}
}

// confirm remembers a stream whose first event was passed on. The caller holds mu.
func (k *Keeper) confirm(key uint64, o Origin, own bool) {
	s := k.streams[key]
	if s.Origin != o {
		s.recorded, s.stored = false, false
	}
	s.Origin, s.passedOn, s.own = o, true, s.own || own
	k.remember(key, s, k.o.Now())
}

// Joined records that an entry has connected to follow this one. Until now it may have followed another leader, which may
// have written records that this entry has not read.
func (k *Keeper) Joined() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.ledSince.IsZero() { // else it reads them once it leads
		k.readAgain()
	}
}

// readAgain has the records read, and doubts until then that this entry knows them all. The caller holds mu.
func (k *Keeper) readAgain() { k.complete, k.synced = false, false }

// Own returns the streams that this entry passed on and that may be taken up.
func (k *Keeper) Own() map[uint64]Origin {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[uint64]Origin{}
	now := k.o.Now()
	for key, s := range k.streams {
		if s.own && now.Before(s.expires) {
			out[key] = s.Origin
		}
	}
	return out
}

// Remembered returns where a stream began that this entry or another one has passed on, if this process knows.
func (k *Keeper) Remembered(key uint64) (o Origin, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.remembered(key, k.o.Now())
}

// remembered is Remembered for a caller that holds mu.
func (k *Keeper) remembered(key uint64, now time.Time) (o Origin, known bool) {
	s := k.streams[key]
	return s.Origin, s.passedOn && now.Before(s.expires)
}

// Find looks up where a stream of a pool began that was taken up at since; a key of 0 stands for an unknown stream. If it
// must wait for a read of the records or of the list, it returns false and calls done with the result.
func (k *Keeper) Find(key uint64, pool string, since time.Time, done func(Found)) (found Found, atOnce bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Now()
	if o, known := k.remembered(key, now); known {
		return k.counted(Found{o, SourceMemory}), true
	}
	if key != 0 && now.Sub(k.readFail) >= failureTTL {
		k.lookups = append(k.lookups, lookup{key: key, pool: pool, since: since, until: now.Add(findTimeout), needsStore: true,
			done: done})
		wake(k.wakeReader)
		return Found{}, false
	}
	found = k.sole(pool, since, now)
	if until := since.Add(findTimeout); !found.IsKnown() && now.Before(until) && k.maySoonBeSole(pool, now) {
		k.lookups = append(k.lookups, lookup{key: key, pool: pool, since: since, until: until, done: done})
		return Found{}, false
	}
	return k.counted(found), true
}

// sole returns the only version that a stream can have begun at which was taken up at since, if there is one. Only a list
// that was read later names all versions that it may have begun at. The caller holds mu.
func (k *Keeper) sole(pool string, since, now time.Time) Found {
	if k.listReadAt.After(since) {
		if version, ok := k.policy.Sole(pool, now); ok {
			return Found{Origin{pool, version}, SourceSole}
		}
	}
	return Found{Source: SourceUnknown}
}

// maySoonBeSole reports whether the next list may say that a pool has had only one version. The caller holds mu.
func (k *Keeper) maySoonBeSole(pool string, now time.Time) bool {
	_, ok := k.policy.Sole(pool, now)
	return ok && now.Sub(k.listReadAt) < maxListAge
}

// counted counts a lookup and returns it.
func (k *Keeper) counted(f Found) Found {
	k.o.Stats.OriginLookedUp(string(f.Source))
	return f
}

// wake makes the receiver of c run once more.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
