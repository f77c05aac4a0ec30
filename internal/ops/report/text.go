package report

import (
	"fmt"
	"strings"
	"time"
)

// Text formats the report for display.
func (r Report) Text() string {
	p := printer{now: r.At}
	p.line("handover at %s, as seen by %s", formatTime(r.At), r.Process)
	if r.NotReady != "" {
		p.line("this process is NOT READY: %s", r.NotReady)
	}
	p.preset(r.Preset)
	p.line("revision %s, read up to offset %s, %s",
		formatOffset(r.Revision), formatOffset(r.Offset), formatLogAge(r.LogAgeMs))
	p.line("digest %s, spoken %q", r.Digest, r.Proquint)
	p.processes(r)
	p.changes(r.Changes)
	printSection(&p, "publishes that are not settled", r.Unsettled, func(u UnsettledPublish) string {
		return fmt.Sprintf("%s by %s, %s; settle it: ragworthatch publish --settle %s",
			u.Nonce, u.Author, p.ago(u.Since), u.Nonce)
	})
	printSection(&p, "upstreams that are draining, ejected or suspect", r.Upstreams, func(u Upstream) string {
		return fmt.Sprintf("%s (pool %s, zone %s) %s, %s%s",
			u.Name, u.Pool, u.Zone, u.State, p.ago(u.Since), reasonSuffix(u.Reason))
	})
	printSection(&p, "quarantined requests", r.Quarantined, func(m Mark) string {
		return fmt.Sprintf("%s until %s, after crashes of %s",
			m.Fingerprint, formatTime(m.Until), strings.Join(m.Crashes, ", "))
	})
	printSection(&p, "actions that may have run", r.Actions, func(a Action) string {
		return fmt.Sprintf("%s on %s, %s%s", a.Key, a.Service, p.ago(a.Since), reasonSuffix(a.Reason))
	})
	return p.b.String()
}

// printer formats a report; now is the time that ages are relative to.
type printer struct {
	b   strings.Builder
	now time.Time
}

// line prints one line.
func (p *printer) line(format string, args ...any) { fmt.Fprintf(&p.b, format+"\n", args...) }

// preset prints the preset in force.
func (p *printer) preset(in Preset) {
	if in.Name == "" {
		p.line("no preset has been chosen yet")
		return
	}
	p.line("preset %q in force since %s (%s), chosen by %s at revision %d",
		in.Name, formatTime(in.Since), p.ago(in.Since), in.Author, in.Revision)
}

// processes prints how many processes have the configuration of this one, and those that don't.
func (p *printer) processes(r Report) {
	same := r.Processes - len(r.Laggards)
	p.line("%d of %d processes have this configuration", same, r.Processes)
	for _, l := range r.Laggards {
		p.line("  %s (%s, zone %s) %s: offset %d, heard %s",
			l.Process, l.Role, l.Zone, l.describeLag(), l.Offset, p.ago(l.Seen))
	}
}

// describeLag describes how the process differs from the reporting process.
func (l Laggard) describeLag() string {
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

// changes prints the last changes of the configuration.
func (p *printer) changes(list []Change) {
	printSection(p, "last changes", list, func(c Change) string {
		more := ""
		if c.Count > len(c.Names) {
			more = fmt.Sprintf(" and %d more", c.Count-len(c.Names))
		}
		return fmt.Sprintf("revision %d, %s, by %s: %s %s%s",
			c.Revision, formatTime(c.At), c.Author, c.Kind, strings.Join(c.Names, ", "), more)
	})
}

// printSection prints a title and the items of a list, one a line.
func printSection[T any](p *printer, title string, list []T, render func(T) string) {
	if len(list) == 0 {
		p.line("%s: none", title)
		return
	}
	p.line("%s:", title)
	for _, item := range list {
		p.line("  %s", render(item))
	}
}

// ago formats the time since t, which may be zero.
func (p *printer) ago(t time.Time) string {
	if t.IsZero() {
		return "for an unknown time"
	}
	return p.now.Sub(t).Round(time.Second).String() + " ago"
}

// formatOffset formats an offset; it is negative before the first record.
func formatOffset(offset int64) string {
	if offset < 0 {
		return "none"
	}
	return fmt.Sprint(offset)
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }

// reasonSuffix formats an optional reason for the end of a line.
func reasonSuffix(text string) string {
	if text == "" {
		return ""
	}
	return ": " + text
}

// formatLogAge formats the time since the latest read of the log, in milliseconds; it is negative if unknown.
func formatLogAge(ms int64) string {
	if ms < 0 {
		return "the log has not been read"
	}
	return fmt.Sprintf("log last read %.1f s ago", float64(ms)/1000)
}
