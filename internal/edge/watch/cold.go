package watch

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

// maxEntryAge is the age of the newest entry of an upstream in the list, which is written about every 1.2 s.
const maxEntryAge = 1500 * time.Millisecond

// coldTerm is the time for which an upstream is taken to be cold after the evacuation of its zone.
type coldTerm struct {
	since, until time.Time
}

// coldStart returns for how long upstreams of a pool are cold after their start; 0 if the pool has no cold ones.
func (w *Watcher) coldStart(pool string) time.Duration {
	p, _ := w.Rules().Pool(pool)
	return p.Cold.Start
}

// addReturned takes the upstreams of zones that are no longer evacuated to be cold, until they say otherwise. The caller
// holds mu.
func (w *Watcher) addReturned(was, now []string) {
	at := w.o.Now()
	for _, u := range w.hosts.Load().All() {
		if start := w.coldStart(u.Pool); start > 0 && slices.Contains(was, u.Zone) && !slices.Contains(now, u.Zone) {
			w.returned[u.Lifetime()] = coldTerm{since: at, until: at.Add(start)}
		}
	}
}

// returnedCold returns the Unix time in ms until which an upstream is taken to be cold after the evacuation of its zone;
// 0 if it is not. The caller holds mu.
func (w *Watcher) returnedCold(u hosts.Upstream) int64 {
	term, ok := w.returned[u.Lifetime()]
	if !ok {
		return 0
	}
	if !w.o.Now().Before(term.until) {
		delete(w.returned, u.Lifetime())
		return 0
	}
	return term.until.UnixMilli()
}

// coldNamed takes note of an entry of an upstream that says whether it is cold. It counts if it was written after the zone
// of the upstream came back.
func (w *Watcher) coldNamed(l hosts.Lifetime, asked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if term, ok := w.returned[l]; ok && asked.Sub(term.since) > maxEntryAge {
		delete(w.returned, l)
	}
}

// endReturned applies the leader's list, in which upstreams whose zone came back are cold until they have said otherwise.
func (w *Watcher) endReturned(t *hosts.Table) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for l, term := range w.returned {
		u, listed := t.Get(l.ID)
		if listed && u.Lifetime() == l && u.ColdUntilMs == 0 && t.Read().Sub(term.since) > maxEntryAge {
			delete(w.returned, l)
		}
	}
}
