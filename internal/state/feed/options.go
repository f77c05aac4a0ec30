package feed

import (
	"math/rand/v2"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// Defaults of Options.
const (
	defaultSilentAfter     = 4 * time.Second
	defaultMaxBackoff      = 8 * time.Second
	defaultCallTimeout     = 5 * time.Second
	defaultSnapshotEvery   = time.Hour
	defaultSnapshotRecords = 500
	defaultSnapshotJitter  = 30 * time.Second
	defaultRingBytes       = 2 << 20
)

// readLimit is the maximum number of records in one read of the log.
const readLimit = 256

// Options configures a feed; zero values mean the defaults.
type Options struct {
	// Author is the name of the process, written into its snapshots.
	Author string
	// Interval is the time between two reads of the log by an active reader.
	Interval time.Duration
	// SilentAfter is the age of the newest known read of the log after which a process that is not an active reader
	// reads the log itself.
	SilentAfter time.Duration
	// MaxBackoff is the maximum backoff after failed reads.
	MaxBackoff time.Duration
	// CallTimeout is the timeout of one call to the log.
	CallTimeout time.Duration
	// SnapshotEvery is the age of the last snapshot at which the next is due; the log must retain records for at least
	// twice that time.
	SnapshotEvery time.Duration
	// SnapshotRecords is how many records may follow the last snapshot before the next is due.
	SnapshotRecords int64
	// SnapshotJitter is the maximum random delay of a snapshot that is due, so that usually only one reader writes it.
	SnapshotJitter time.Duration
	// RingBytes is the maximum size of the records kept for peers, in bytes.
	RingBytes int
	// Rand is the source of all jitter; nil means a random seed.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	o.Interval = orDefault(o.Interval, timing.FeedInterval)
	o.SilentAfter = orDefault(o.SilentAfter, defaultSilentAfter)
	o.MaxBackoff = orDefault(o.MaxBackoff, defaultMaxBackoff)
	o.CallTimeout = orDefault(o.CallTimeout, defaultCallTimeout)
	o.SnapshotEvery = orDefault(o.SnapshotEvery, defaultSnapshotEvery)
	o.SnapshotRecords = orDefault(o.SnapshotRecords, int64(defaultSnapshotRecords))
	o.SnapshotJitter = orDefault(o.SnapshotJitter, defaultSnapshotJitter)
	o.RingBytes = orDefault(o.RingBytes, defaultRingBytes)
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
