package lead

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

const (
	tallyInterval = 1 * time.Second // between log lines on the same callers
	maxTallyLines = 32              // in one interval; the rest is counted in the metrics only
)

// rival names the callers whose refusals are logged in one line.
type rival struct {
	route, team, pool string
	rank              int
}

// refusals counts what a rival was refused since the last log line.
type refusals struct {
	count               int
	reason              sched.Reason  // of the last one
	earliest, latest    time.Duration // retry times
	example             string        // ID of a request
	servedSince, lateOf int           // of the same route, team and rank
}

// tally counts who gets stages and who is refused while callers compete by rank, and logs the refusals.
type tally struct {
	stats   *stats.Stats
	log     *zap.Logger
	refuses map[rival]*refusals
	serves  map[rival]*refusals // pool is empty
	flushed time.Time
}

func newTally(s *stats.Stats, log *zap.Logger) *tally {
	return &tally{stats: s, log: log, refuses: map[rival]*refusals{}, serves: map[rival]*refusals{}}
}

func (t *tally) granted(j sched.Job, late bool) {
	result := "inTime"
	if late {
		result = "late"
	}
	t.stats.StageOrder(j.Route, j.Team, j.Rank, "", result)
	n := entryOf(t.serves, rival{route: j.Route, team: j.Team, rank: j.Rank})
	n.servedSince++
	if late {
		n.lateOf++
	}
}

func (t *tally) refused(j sched.Job, r sched.Refusal) {
	t.stats.StageOrder(j.Route, j.Team, j.Rank, r.Pool, "refused")
	n := entryOf(t.refuses, rival{route: j.Route, team: j.Team, rank: j.Rank, pool: r.Pool})
	if n.count == 0 || r.RetryAfter < n.earliest {
		n.earliest = r.RetryAfter
	}
	n.count, n.reason, n.example = n.count+1, r.Reason, j.RequestID
	n.latest = max(n.latest, r.RetryAfter)
}

func entryOf(m map[rival]*refusals, k rival) *refusals {
	if m[k] == nil {
		m[k] = &refusals{}
	}
	return m[k]
}

// flush logs what was refused since the last call, at most every tallyInterval.
func (t *tally) flush(now time.Time) {
	if now.Sub(t.flushed) < tallyInterval {
		return
	}
	t.flushed = now
	var all []rival
	for k := range t.refuses {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b rival) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(t.refuses[b].count, t.refuses[a].count),
			strings.Compare(a.route, b.route), strings.Compare(a.team, b.team), strings.Compare(a.pool, b.pool))
	})
	for _, k := range all[:min(len(all), maxTallyLines)] {
		n, served := t.refuses[k], &refusals{}
		if s := t.serves[rival{route: k.route, team: k.team, rank: k.rank}]; s != nil {
			served = s
		}
		t.log.Info("stage orders refused", zap.String("route", k.route), zap.String("team", k.team), zap.Int("rank", k.rank),
			zap.String("pool", k.pool), zap.Int("refused", n.count), zap.Int("granted", served.servedSince),
			zap.Int("grantedLate", served.lateOf), zap.String("reason", string(n.reason)),
			zap.Duration("retryFrom", n.earliest), zap.Duration("retryUntil", n.latest), zap.String("example", n.example))
	}
	clear(t.refuses)
	clear(t.serves)
}
