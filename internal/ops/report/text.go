package report

import (
	"fmt"
	"strings"
	"time"
)

// Text renders the report for people.
func (r Report) Text() string {
	p := printer{now: r.At}
	p.line("handover at %s, as seen by %s", stamp(r.At), r.Process)
	if r.NotReady != "" {
		p.line("this process is NOT READY: %s", r.NotReady)
	}
	p.preset(r.Preset)
	p.line("revision %s, read up to offset %s, %s", number(r.Revision), number(r.Offset), logAge(r.LogAgeMs))
	p.line("digest %s, spoken %q", r.Digest, r.Spoken)
	p.processes(r)
	p.changes(r.Changes)
	section(&p, "publishes that are not settled", r.Unsettled, func(u Publish) string {
		return fmt.Sprintf("%s by %s, %s; settle it: ragworthatch publish --settle %s", u.Nonce, u.Author, p.ago(u.Since), u.Nonce)
	})
	section(&p, "upstreams that are draining, ejected or suspect", r.Upstreams, func(u Upstream) string {
		return fmt.Sprintf("%s (pool %s, zone %s) %s, %s%s", u.Name, u.Pool, u.Zone, u.State, p.ago(u.Since), reason(u.Reason))
	})
	section(&p, "quarantined requests", r.Quarantined, func(m Mark) string {
		return fmt.Sprintf("%s until %s, after crashes of %s", m.Fingerprint, stamp(m.Until), strings.Join(m.Crashes, ", "))
	})
	section(&p, "actions that may have run", r.Actions, func(a Action) string {
		return fmt.Sprintf("%s on %s, %s%s", a.Key, a.Service, p.ago(a.Since), reason(a.Reason))
	})
	return p.b.String()
}

type printer struct {
	b   strings.Builder
	now time.Time
}

func (p *printer) line(format string, args ...any) { fmt.Fprintf(&p.b, format+"\n", args...) }

func (p *printer) preset(in Preset) {
	if in.Name == "" {
		p.line("no preset has been chosen yet")
		return
	}
	p.line("preset %q in force since %s (%s), chosen by %s at revision %d",
		in.Name, stamp(in.Since), p.ago(in.Since), in.Author, in.Revision)
}

func (p *printer) processes(r Report) {
	same := r.Processes - len(r.Laggards)
	p.line("%d of %d processes have this configuration", same, r.Processes)
	for _, l := range r.Laggards {
		p.line("  %s (%s, zone %s) %s: offset %d, heard %s", l.Process, l.Role, l.Zone, l.meaning(), l.Offset, p.ago(l.Seen))
	}
}

// meaning says in words how the process differs from the reporting one.
func (l Laggard) meaning() string {
	switch l.Lag {
	case Behind:
		return fmt.Sprintf("lags by %d records", l.Missed)
	case Ahead:
		return "has read more, THIS PROCESS LAGS"
	case Diverged:
		return "HAS DIVERGED, a fault to report"
	}
	return "is silent"
}

func (p *printer) changes(list []Change) {
	section(p, "last changes", list, func(c Change) string {
		more := ""
		if c.Count > len(c.Names) {
			more = fmt.Sprintf(" and %d more", c.Count-len(c.Names))
		}
		return fmt.Sprintf("revision %d, %s, by %s: %s %s%s", c.Revision, stamp(c.At), c.Author, c.Kind, strings.Join(c.Names, ", "), more)
	})
}

func section[T any](p *printer, title string, list []T, render func(T) string) {
	if len(list) == 0 {
		p.line("%s: none", title)
		return
	}
	p.line("%s:", title)
	for _, item := range list {
		p.line("  %s", render(item))
	}
}

func (p *printer) ago(t time.Time) string {
	if t.IsZero() {
		return "for an unknown time"
	}
	return p.now.Sub(t).Round(time.Second).String() + " ago"
}

// number renders an offset; before the first record there is none.
func number(offset int64) string {
	if offset < 0 {
		return "none"
	}
	return fmt.Sprint(offset)
}

func stamp(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }

func reason(text string) string {
	if text == "" {
		return ""
	}
	return ": " + text
}

func logAge(ms int64) string {
	if ms < 0 {
		return "the log has not been read"
	}
	return fmt.Sprintf("log last read %.1f s ago", float64(ms)/1000)
}
