package origin

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/cursor"
	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
	"github.com/ragworthatch/ragworthatch/platform"
)

// Run reads and writes the records until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.writeAll(ctx)
	}()
	cur := cursor.New(k.o.Store, topic, 0, callTimeout)
	retry := pause.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	var retryAt time.Time
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-k.wakeReader:
		case <-ticker.C:
		}
		k.observe()
		k.expire()
		if waiting, stale := k.readsNeeded(); !waiting && (!stale || k.o.Now().Before(retryAt)) {
			continue
		}
		if err := k.sync(ctx, cur); err != nil {
			retryAt = k.o.Now().Add(retry.Next())
			continue
		}
		retry.Reset()
		if err := k.moveBases(ctx, cur.Position()); err != nil {
			k.o.Log.Warn("can't write the base versions", zap.Error(err))
			retryAt = k.o.Now().Add(retry.Next())
		}
	}
	<-done
}

// observe records which versions are listed.
func (k *Keeper) observe() {
	table, now := k.o.Hosts(), k.o.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	leads := k.o.Leads()
	k.complete = k.complete && leads
	switch {
	case !leads:
		k.ledSince = time.Time{}
	case k.ledSince.IsZero():
		k.ledSince = now
		k.readAgain() // the leader before may have written records since the last read
	}
	if read := table.Read(); read.After(k.listReadAt) {
		gap := read.Sub(k.listReadAt)
		if gap > maxListGap {
			k.policy.Restart(now)
		}
		if gap > maxRestoreGap {
			k.readAt, k.knownTo = time.Time{}, time.Time{}
			k.synced = false
		}
		k.listReadAt = read
	}
	for pool := range k.o.Pools() {
		counts := table.Versions(pool)
		if k.policy.Observe(pool, counts, now) {
			k.synced = false // another process may have moved the base
			k.o.Log.Info("versions in service", zap.String("pool", pool), zap.Any("engines", counts),
				zap.String("base", k.bases[pool].version))
		}
		b := k.bases[pool]
		if _, due := k.nextBase(pool, b, now); due || (b.version == "" && now.After(k.pollAt)) {
			k.synced = false
		}
	}
	if now.Before(k.doubtedTo) && k.lacksNothing() {
		k.doubtedTo = time.Time{}
		k.o.Log.Info("store lacks no origins of streams, as only the base versions were listed", zap.Int64("era", k.era))
	}
	if k.o.Store.Era() != k.era {
		k.synced = false
	}
}

// lacksNothing reports whether the copy that the store came back from can't lack a record: since this entry last read
// them, only engines of the base versions were listed, and their streams need none. The caller holds mu.
func (k *Keeper) lacksNothing() bool {
	if k.knownTo.IsZero() || k.listReadAt.Sub(k.restoredAt) < restoreSettleTime {
		return false
	}
	for pool, b := range k.bases {
		if !k.policy.IsOnly(pool, b.version, k.knownTo) {
			return false
		}
	}
	return true
}

// nextBase returns the base version that this entry should write for a pool. The caller holds mu.
func (k *Keeper) nextBase(pool string, b base, now time.Time) (version string, due bool) {
	if k.ledSince.IsZero() || now.Before(k.doubtedTo) || now.Sub(k.o.Hosts().Read()) > maxListAge {
		return "", false
	}
	if slices.ContainsFunc(k.unwritten, (*record).isDeferred) {
		return "", false // the base says that the store has all records
	}
	if version, moves := k.policy.Next(pool, b.version, k.ledSince, now); moves {
		return version, true
	}
	return b.version, b.version != "" && !b.current
}

// expire forgets streams that can't be taken up any more, and ends what has waited too long.
func (k *Keeper) expire() {
	k.mu.Lock()
	now := k.o.Now()
	maps.DeleteFunc(k.streams, func(_ uint64, s stream) bool { return now.After(s.expires) })
	var late []func()
	k.lookups = slices.DeleteFunc(k.lookups, func(l lookup) bool {
		found := k.sole(l.pool, l.since, now)
		if now.Before(l.until) && (l.needsStore || !found.IsKnown()) {
			return false
		}
		k.counted(found)
		late = append(late, func() { l.done(found) })
		return true
	})
	k.unwritten = slices.DeleteFunc(k.unwritten, func(r *record) bool {
		if r.isDeferred() {
			_, known := k.streams[r.key]
			return !known
		}
		if now.Sub(r.at) < recordTimeout {
			return false
		}
		late = append(late, func() { r.done(false) })
		return true
	})
	if len(k.recordKeys) > 0 && k.o.Leads() {
		wake(k.wakeWriter)
	}
	k.mu.Unlock()
	for _, f := range late {
		f()
	}
}

// readsNeeded reports whether lookups wait for a read, and whether the topic should be read anyway.
func (k *Keeper) readsNeeded() (waiting, stale bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	waiting = slices.ContainsFunc(k.lookups, func(l lookup) bool { return l.needsStore })
	return waiting, !k.synced && len(k.o.Pools()) > 0
}

// sync reads the topic up to its end and answers the lookups that came before.
func (k *Keeper) sync(ctx context.Context, cur *cursor.Cursor) error {
	k.mu.Lock()
	lookups, begun, observed := len(k.lookups), k.o.Now(), !k.listReadAt.IsZero()
	k.mu.Unlock()
	for read := true; read && ctx.Err() == nil; {
		isSnapshot := !cur.Synced()
		records, snapshot, err := cur.Read(ctx)
		if errors.Is(err, platform.ErrTrimmed) || errors.Is(err, platform.ErrRestored) {
			k.o.Log.Info("origins of streams are read anew", zap.Error(err))
			continue
		}
		k.o.Stats.StoreCall(string(topic), err == nil)
		k.mu.Lock()
		if err != nil {
			if k.readFail.IsZero() {
				k.o.Log.Warn("can't read the origins of streams", zap.Error(err))
			}
			k.readFail = k.o.Now()
			k.mu.Unlock()
			return err
		}
		k.apply(records, snapshot, cur.Position().Era, snapshot && cur.Restored())
		k.mu.Unlock()
		// A read returns a part of many records; a snapshot misses those that were written meanwhile.
		read = isSnapshot || len(records) > 0
	}
	if observed {
		k.mu.Lock()
		k.readAt = begun
		k.mu.Unlock()
	}
	k.answer(lookups)
	return ctx.Err()
}

// answer answers those of the first n lookups that a read has decided. The others wait for a list.
func (k *Keeper) answer(n int) {
	k.mu.Lock()
	now := k.o.Now()
	k.synced, k.readFail, k.pollAt = true, time.Time{}, now.Add(pollInterval)
	k.complete = k.o.Leads() && !now.Before(k.doubtedTo)
	var answers []func()
	rest := k.lookups[:0]
	for i, l := range k.lookups {
		s := k.streams[l.key]
		b, hasBase := k.bases[l.pool]
		var found Found
		switch {
		case i >= n || l.key == 0:
			rest = append(rest, l)
			continue
		case s.passedOn || s.recorded:
			found = Found{s.Origin, SourceRecord}
		case hasBase && !now.Before(k.doubtedTo):
			found = Found{Origin{l.pool, b.version}, SourceBase}
		default:
			if found = k.sole(l.pool, l.since, now); !found.IsKnown() && k.maySoonBeSole(l.pool, now) {
				l.needsStore = false
				rest = append(rest, l)
				continue
			}
		}
		k.counted(found)
		answers = append(answers, func() { l.done(found) })
	}
	k.lookups = rest
	k.mu.Unlock()
	for _, f := range answers {
		f()
	}
}

// apply takes records on. The first snapshot after the store came back from an older copy may lack records, and hold base
// versions of before. An entry that knows all records writes them again, then the base versions, which tells the others
// that the store has them; without such an entry, absent records prove nothing until streams of before are over. The
// caller holds mu.
func (k *Keeper) apply(records []platform.Record, snapshot bool, era int64, restored bool) {
	now := k.o.Now()
	if restored {
		for pool, b := range k.bases {
			k.bases[pool] = base{version: b.version}
		}
	}
	if snapshot {
		k.recordKeys = map[string]time.Time{}
		slices.SortFunc(records, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	}
	for _, r := range records {
		if pool, ok := poolOf(r.Key); ok {
			k.applyBase(pool, r, era, restored)
			continue
		}
		if !strings.HasPrefix(r.Key, streamsPrefix) {
			continue
		}
		if len(r.Value) == 0 {
			delete(k.recordKeys, r.Key)
			continue
		}
		if _, seen := k.recordKeys[r.Key]; !seen {
			k.recordKeys[r.Key] = now
		}
		k.applyStreams(r, now)
	}
	k.era = era
	if restored {
		if !now.Before(k.doubtedTo) {
			k.knownTo = k.readAt
		}
		k.restoredAt = now
		k.rewrite(now)
	}
	isOld := slices.ContainsFunc(slices.Collect(maps.Values(k.bases)), base.isOld)
	if len(k.bases) == 0 {
		isOld = era > 0 && !k.o.FirstStart
	}
	switch {
	case !isOld:
		k.doubtedTo = time.Time{}
	case snapshot && !k.complete && (restored || k.doubtedTo.IsZero()):
		k.doubtedTo = now.Add(k.longestRetention())
		k.o.Log.Warn("store lacks origins of streams", zap.Int64("era", era), zap.Time("until", k.doubtedTo))
	}
}

// applyStreams takes a record of streams on. The caller holds mu.
func (k *Keeper) applyStreams(r platform.Record, now time.Time) {
	streams, err := decodeStreams(r.Value)
	writer, number, keyErr := writerOf(r.Key)
	if err = cmp.Or(err, keyErr); err != nil {
		k.o.Log.Warn("can't decode the origins of streams", zap.Int64("offset", r.Offset), zap.Error(err))
		return
	}
	for key, rec := range streams {
		s, p := k.streams[key], recordPlace{rec.repeats, writer, number}
		if !s.passedOn && !p.isBefore(s.place) {
			k.remember(key, stream{Origin: rec.Origin, recorded: true, stored: true, place: p}, now)
		}
	}
}

// rewrite has what this entry knows written again, if it leads. The caller holds mu.
func (k *Keeper) rewrite(now time.Time) {
	if !k.o.Leads() {
		return
	}
	for key, s := range k.streams {
		if s.recorded {
			k.enqueue(&record{key: key, origin: s.Origin, repeats: s.place.repeats, at: now})
		}
	}
}

// applyBase takes the record of a base version on, unless it is older than what is known. The caller holds mu.
func (k *Keeper) applyBase(pool string, r platform.Record, era int64, restored bool) {
	value, err := decodeBase(r.Value)
	if err != nil {
		k.o.Log.Warn("can't decode a base version", zap.String("pool", pool), zap.Int64("offset", r.Offset), zap.Error(err))
		return
	}
	before, known := k.bases[pool]
	if known && restored && value.Era != era {
		return
	}
	if before.version != value.Version {
		k.o.Log.Info("base version", zap.String("pool", pool), zap.String("software", value.Version),
			zap.String("before", before.version), zap.Int64("offset", r.Offset), zap.Int64("era", value.Era))
	}
	k.bases[pool] = base{version: value.Version, current: value.Era == era}
}
