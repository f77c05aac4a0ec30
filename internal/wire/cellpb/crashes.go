package cellpb

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
)

// CrashedOf converts a report of a crash; its times become ages.
func CrashedOf(r crash.Report, now time.Time) *Crashed {
	return &Crashed{
		Fingerprint: r.Fingerprint, AgeUs: now.Sub(r.Sent).Microseconds(), Lifetime: r.Lifetime, Parts: r.Parts,
		BrokeAgeUs: now.Sub(r.Broke).Microseconds(), Begun: r.Begun,
	}
}

// Report converts a crash that another process reports.
func (m *Crashed) Report(now time.Time) crash.Report {
	return crash.Report{
		Fingerprint: m.Fingerprint, Sent: before(now, m.AgeUs), Lifetime: m.Lifetime, Parts: m.Parts,
		Broke: before(now, m.BrokeAgeUs), Begun: m.Begun,
	}
}

// BlocksOf converts blocks of prompt parts.
func BlocksOf(blocks []crash.Block, now time.Time) []*Block {
	var out []*Block
	for _, b := range blocks {
		out = append(out, &Block{
			Parts: b.Parts, AgeUs: now.Sub(b.First).Microseconds(), LeftUs: b.Until.Sub(now).Microseconds(),
			PauseUs: b.Pause.Microseconds(),
		})
	}
	return out
}

// CrashBlocks converts blocks of prompt parts of another process.
func CrashBlocks(blocks []*Block, now time.Time) []crash.Block {
	var out []crash.Block
	for _, m := range blocks {
		out = append(out, crash.Block{
			Parts: m.Parts, First: before(now, m.AgeUs), Until: now.Add(time.Duration(m.LeftUs) * time.Microsecond),
			Pause: time.Duration(m.PauseUs) * time.Microsecond,
		})
	}
	return out
}

// CrashesOf converts what a process has learned of crashes.
func CrashesOf(changes []crash.Change, now time.Time) *Crashes {
	m := &Crashes{}
	for _, c := range changes {
		if c.Report != nil {
			m.Crashed = append(m.Crashed, CrashedOf(*c.Report, now))
			continue
		}
		m.Answered = append(m.Answered, &Answered{Fingerprint: c.Answered, Part: c.Begun, AgeUs: now.Sub(c.At).Microseconds()})
	}
	return m
}

// Changes converts what another process has learned of crashes.
func (m *Crashes) Changes(now time.Time) []crash.Change {
	var out []crash.Change
	for _, r := range m.Crashed {
		report := r.Report(now)
		out = append(out, crash.Change{Report: &report})
	}
	for _, a := range m.Answered {
		out = append(out, crash.Change{Answered: a.Fingerprint, Begun: a.Part, At: before(now, a.AgeUs)})
	}
	return out
}

func before(now time.Time, us int64) time.Time { return now.Add(-time.Duration(us) * time.Microsecond) }
