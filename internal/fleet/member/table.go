package member

import (
	"maps"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Options are the bounds of the rules; a zero field takes its default.
type Options struct {
	// SuspectAfter is the silence of a connected side after which it is suspect.
	SuspectAfter time.Duration
	// GoneAfter is how long a host must be missing from the list before it is gone.
	GoneAfter time.Duration
	// HoldFor is how long the absence of hosts that vanished together is not believed.
	HoldFor time.Duration
	// MaxVanishedFraction is the fraction of a pool, or of a pool's part in one zone, that a list may drop and be believed.
	MaxVanishedFraction float64
	// StatusTTL is how long the word of a side counts that no connection watches.
	StatusTTL time.Duration
	// ForgetAfter is how long a gone host is kept for the operators.
	ForgetAfter time.Duration
}

const (
	defaultGoneAfter   = 10 * time.Second
	defaultHoldFor     = 10 * time.Minute
	defaultVanishCap   = 0.25
	defaultStatusFor   = time.Minute
	defaultForgetAfter = 10 * time.Minute
)

func (o Options) withDefaults() Options {
	o.SuspectAfter = orElse(o.SuspectAfter, timing.SuspectAfter)
	o.GoneAfter = orElse(o.GoneAfter, defaultGoneAfter)
	o.HoldFor = orElse(o.HoldFor, defaultHoldFor)
	o.MaxVanishedFraction = orElse(o.MaxVanishedFraction, defaultVanishCap)
	o.StatusTTL = orElse(o.StatusTTL, defaultStatusFor)
	o.ForgetAfter = orElse(o.ForgetAfter, defaultForgetAfter)
	return o
}

func orElse[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Table is an immutable record of what each source last said of each host.
type Table struct {
	options Options
	rows    map[string]*row // never changed once they are in the table
	listAt  time.Time
	missing int // hosts whose absence is held
}

// New returns an empty table.
func New(o Options) *Table {
	return &Table{options: o.withDefaults(), rows: map[string]*row{}}
}

func (t *Table) clone() *Table {
	c := *t
	c.rows = maps.Clone(t.rows)
	return &c
}

// WithList returns a copy after an answer of the host list; an empty list tells nothing and is ignored.
func (t *Table) WithList(now time.Time, list []host.Host) *Table {
	if len(list) == 0 {
		return t
	}
	c := t.clone()
	c.listAt = now
	listed := make(map[string]bool, len(list))
	owner := make(map[string]string, len(list))
	for _, h := range list {
		listed[h.Name] = true
		owner[h.Address] = h.Name
		if r, ok := c.rows[h.Name]; ok {
			c.put(r.relisted(h))
		} else {
			c.put(row{host: h})
		}
	}
	for name, old := range c.rows {
		if listed[name] {
			continue
		}
		r := *old
		if r.absentFrom.IsZero() {
			r.absentFrom = now
		}
		r.reused = owner[r.host.Address] != ""
		c.put(r)
	}
	c.holdVanished(now)
	return c
}

// WithStatus returns a copy after a status that came over a connection to the named host.
func (t *Table) WithStatus(now time.Time, name string, st *sidepb.Status) *Table {
	r, ok := t.rows[name]
	if !ok || st == nil {
		return t
	}
	c := t.clone()
	c.put(r.withStatus(now, st))
	return c
}

// WithLeaving returns a copy after the named host refused a call because it is leaving; an empty incarnation means the
// one last heard of.
func (t *Table) WithLeaving(now time.Time, name, incarnation string) *Table {
	r, ok := t.rows[name]
	if !ok {
		return t
	}
	c := t.clone()
	c.put(r.withLeaving(now, incarnation))
	return c
}

// WithConnection returns a copy after a connection to the named host came up, or could not be made or kept.
func (t *Table) WithConnection(now time.Time, name string, up bool) *Table {
	r, ok := t.rows[name]
	if !ok {
		return t
	}
	c := t.clone()
	c.put(r.withLink(now, up))
	return c
}

// WithoutConnection returns a copy in which the named host is no longer watched, so that its silence tells nothing.
func (t *Table) WithoutConnection(name string) *Table {
	r, ok := t.rows[name]
	if !ok {
		return t
	}
	next := *r
	next.link = linkUnknown
	next.linkFrom = time.Time{}
	c := t.clone()
	c.put(next)
	return c
}

// Tick returns a copy without the hosts that have been gone for long.
func (t *Table) Tick(now time.Time) *Table {
	c := t
	for name, old := range t.rows {
		state, _ := old.judge(now, t.options)
		if state != Gone && old.goneFrom.IsZero() || state == Gone && !old.goneFrom.IsZero() && now.Sub(old.goneFrom) < t.options.ForgetAfter {
			continue
		}
		if c == t {
			c = t.clone()
		}
		r := *old
		switch {
		case state != Gone:
			r.goneFrom = time.Time{}
			c.put(r)
		case r.goneFrom.IsZero():
			r.goneFrom = now
			c.put(r)
		default:
			delete(c.rows, name)
		}
	}
	return c
}

// put replaces a row of a table that is not yet published.
func (t *Table) put(r row) { t.rows[r.host.Name] = &r }
