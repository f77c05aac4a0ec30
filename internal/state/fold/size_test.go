package fold

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

// teamList returns a list of the i-th team only.
func teamList(i int, share float64) []team.Spec { return []team.Spec{newTeam(i, share)} }

// unrestrictedTeam returns a list of one team that may call all pipelines.
func unrestrictedTeam(i int) []team.Spec {
	t := newTeam(i, 0.1)
	t.Pipelines = nil
	return []team.Spec{t}
}

// maxStateBytes bounds the heap of the configuration state: it is the memory budget of a whole daemon in
// docs/CAPACITY.md.
const maxStateBytes = 32 << 20

// heapBytes returns the result of make and the heap that it retains, in bytes.
func heapBytes(make func() *State) (*State, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return s, after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

func TestStateAtTargetSizeFits(t *testing.T) {
	c := qt.New(t)
	s, bytes := heapBytes(func() *State {
		s := stateWithTeams(c, targetTeams)
		s = withTeamChanges(c, s, 2*generationSize) // a full history of decisions
		s.Config()
		s.Digest()
		return s
	})
	t.Logf("%d teams, %d decisions: %d bytes", targetTeams, s.decisions.recent.Len()+s.decisions.older.Len(), bytes)
	c.Assert(bytes < maxStateBytes, qt.IsTrue)
	runtime.KeepAlive(s)
}

// withTeamChanges applies n changes, each to one of ten teams.
func withTeamChanges(c testingC, s *State, n int) *State {
	for i := range n {
		s = mustApply(c, s, change(c, s, config.Objects{Teams: teamList(i%10, 0.0001*float64(1+i%2))}))
	}
	return s
}

// bytesPerApply returns the average number of bytes allocated when a change of one team is applied.
func bytesPerApply(c testingC, s *State) uint64 {
	const n = 64
	records := make([][]byte, n)
	for i := range records {
		records[i] = change(c, s, config.Objects{Teams: teamList(i, 0.0001)})
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, data := range records {
		next, _ := s.Apply(s.Offset()+1, data)
		next.Digest()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / n
}

// A change must not copy all teams: with ten times the teams it would then allocate ten times as much.
func TestOneChangeDoesNotCopyAllTeams(t *testing.T) {
	c := qt.New(t)
	few, many := bytesPerApply(c, stateWithTeams(c, targetTeams/10)), bytesPerApply(c, stateWithTeams(c, targetTeams))
	t.Logf("bytes allocated by one change: %d at %d teams, %d at %d", few, targetTeams/10, many, targetTeams)
	c.Assert(many < 2*few, qt.IsTrue)
}

func BenchmarkApply(b *testing.B) {
	c := qt.New(b)
	for _, teams := range []int{35, 350, 1750, 3500} {
		s := stateWithTeams(c, teams)
		data := change(c, s, config.Objects{Teams: teamList(7, 0.0001)})
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				next, _ := s.Apply(s.Offset()+1, data)
				next.Digest()
			}
		})
	}
}

// BenchmarkPreset measures a change of a preset, after which the whole configuration is validated.
func BenchmarkPreset(b *testing.B) {
	c := qt.New(b)
	for _, teams := range []int{350, 3500} {
		s := stateWithTeams(c, teams)
		spec := s.Config().Presets["peak"]
		spec.RatePerSecond = 9
		var o config.Objects
		o.Presets = append(o.Presets, spec)
		data := change(c, s, o)
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				next, _ := s.Apply(s.Offset()+1, data)
				next.Digest()
			}
		})
	}
}

// BenchmarkConfig measures the cost of rebuilding the map of all teams, once per change.
func BenchmarkConfig(b *testing.B) {
	c := qt.New(b)
	for _, teams := range []int{350, 3500} {
		s := stateWithTeams(c, teams)
		data := change(c, s, config.Objects{Teams: teamList(7, 0.0001)})
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				next, _ := s.Apply(s.Offset()+1, data)
				next.Config()
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	c := qt.New(b)
	for _, teams := range []int{350, 3500} {
		data, err := json.Marshal(stateWithTeams(c, teams).Image())
		c.Assert(err, qt.IsNil)
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var im Image
				c.Assert(json.Unmarshal(data, &im), qt.IsNil)
				_, err := FromImage(im)
				c.Assert(err, qt.IsNil)
			}
			b.ReportMetric(float64(len(data)), "JSONbytes")
		})
	}
}
