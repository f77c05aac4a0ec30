package member

import (
	"maps"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Options configure the rules; a zero field takes its default.
type Options struct {
	// SuspectAfter is how long a connected sidecar may be silent before it is suspect.
	SuspectAfter time.Duration
	// GoneAfter is how long a host must be missing from the list before it is gone.
	GoneAfter time.Duration
	// HoldFor is how long hosts that vanished together are kept although the list lacks them.
	HoldFor time.Duration
	// MaxVanishedFraction is the fraction of a pool, or of its hosts in one zone, that may vanish from the list at once
	// and be believed.
	MaxVanishedFraction float64
	// StatusTTL is how long after its arrival the last status of a sidecar counts while no connection to it is up.
	StatusTTL time.Duration
	// ForgetAfter is how long a gone host stays in the table for operators to see.
	ForgetAfter time.Duration
}

const (
	defaultGoneAfter           = 10 * time.Second
	defaultHoldFor             = 10 * time.Minute
	defaultMaxVanishedFraction = 0.25
	defaultStatusTTL           = time.Minute
	defaultForgetAfter         = 10 * time.Minute
)

func (o Options) withDefaults() Options {
	o.SuspectAfter = valueOr(o.SuspectAfter, timing.SuspectAfter)
	o.GoneAfter = valueOr(o.GoneAfter, defaultGoneAfter)
	o.HoldFor = valueOr(o.HoldFor, defaultHoldFor)
	o.MaxVanishedFraction = valueOr(o.MaxVanishedFraction, defaultMaxVanishedFraction)
	o.StatusTTL = valueOr(o.StatusTTL, defaultStatusTTL)
	o.ForgetAfter = valueOr(o.ForgetAfter, defaultForgetAfter)
	return o
}

func valueOr[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Table is an immutable record of what each source last reported of each host.
type Table struct {
	options   Options
	rows      map[string]*row // immutable once they are in the table
	listAt    time.Time       // last reply of the host list
	heldCount int             // hosts whose absence is held back
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

// WithList returns a copy after a reply of the host list; an empty list says nothing about the hosts and is ignored.
func (t *Table) WithList(now time.Time, list []host.Host) *Table {
	if len(list) == 0 {
		return t
	}
	c := t.clone()
	c.listAt = now
	listed := make(map[string]bool, len(list))
	nameByAddress := make(map[string]string, len(list))
	for _, h := range list {
		listed[h.Name] = true
		nameByAddress[h.Address] = h.Name
		if r, ok := c.rows[h.Name]; ok {
			c.put(r.withHost(h))
		} else {
			c.put(row{host: h})
		}
	}
	for name, old := range c.rows {
		if listed[name] {
			continue
		}
		r := *old
		if r.absentSince.IsZero() {
			r.absentSince = now
		}
		r.addressReused = nameByAddress[r.host.Address] != ""
		c.put(r)
	}
	c.holdMassAbsence(now)
	return c
}

// WithStatus returns a copy after a status that arrived over a connection to the named host.
func (t *Table) WithStatus(now time.Time, name string, st *sidepb.Status) *Table {
	r, ok := t.rows[name]
	if !ok || st == nil {
		return t
	}
	c := t.clone()
	c.put(r.withStatus(now, st))
	return c
}

// WithLeaving returns a copy after the named host refused a call because it is leaving; an empty incarnation stands for
// the last one known.
func (t *Table) WithLeaving(now time.Time, name, incarnation string) *Table {
	r, ok := t.rows[name]
	if !ok {
		return t
	}
	c := t.clone()
	c.put(r.withLeaving(now, incarnation))
	return c
}

// WithConnection returns a copy after a connection to the named host came up, failed or could not be made.
func (t *Table) WithConnection(now time.Time, name string, up bool) *Table {
	r, ok := t.rows[name]
	if !ok {
		return t
	}
	c := t.clone()
	c.put(r.withConnection(now, up))
	return c
}

// WithoutConnection returns a copy in which no connection to the named host is expected, so that its silence has no
// effect.
func (t *Table) WithoutConnection(name string) *Table {
	r, ok := t.rows[name]
	if !ok {
		return t
	}
	next := *r
	next.conn = connUnknown
	next.connSince = time.Time{}
	c := t.clone()
	c.put(next)
	return c
}

// Tick returns a copy that notes which hosts are gone now and lacks those that have been gone for ForgetAfter. It
// returns t itself if nothing changes.
func (t *Table) Tick(now time.Time) *Table {
	c := t
	for name, old := range t.rows {
		state, _ := old.evaluate(now, t.options)
		if state != Gone && old.goneSince.IsZero() ||
			state == Gone && !old.goneSince.IsZero() && now.Sub(old.goneSince) < t.options.ForgetAfter {
			continue
		}
		if c == t {
			c = t.clone()
		}
		r := *old
		switch {
		case state != Gone:
			r.goneSince = time.Time{}
			c.put(r)
		case r.goneSince.IsZero():
			r.goneSince = now
			c.put(r)
		default:
			delete(c.rows, name)
		}
	}
	return c
}

// put stores a row in a table that is not published yet.
func (t *Table) put(r row) { t.rows[r.host.Name] = &r }
