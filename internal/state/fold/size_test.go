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

func oneTeams(i int, share float64) []team.Spec { return []team.Spec{oneTeam(i, share)} }

// oneTeamsFree is a team that may call all pipelines.
func oneTeamsFree(i int) []team.Spec {
	t := oneTeam(i, 0.1)
	t.Pipelines = nil
	return []team.Spec{t}
}

// maxStateBytes is what a daemon may spend on control, from the target.
const maxStateBytes = 32 << 20

// heapBytes is the heap that make's result keeps, in bytes.
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
		s := sized(c, allTeams)
		s = decided(c, s, 2*generation) // a full memory of decisions
		s.Config()
		s.Digest()
		return s
	})
	t.Logf("%d teams, %d decisions: %d bytes", allTeams, s.memory.recent.Len()+s.memory.older.Len(), bytes)
	c.Assert(bytes < maxStateBytes, qt.IsTrue)
	runtime.KeepAlive(s)
}

// decided changes one team n times.
func decided(c testingC, s *State, n int) *State {
	for i := range n {
		s = mustApply(c, s, change(c, s, config.Objects{Teams: oneTeams(i%10, 0.0001*float64(1+i%2))}))
	}
	return s
}

// appliedBytes is what folding one change of a team allocates on average.
func appliedBytes(c testingC, s *State) uint64 {
	const n = 64
	records := make([][]byte, n)
	for i := range records {
		records[i] = change(c, s, config.Objects{Teams: oneTeams(i, 0.0001)})
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

// Copying all teams would make one change ten times as dear at ten times the teams.
func TestOneChangeDoesNotCopyAllTeams(t *testing.T) {
	c := qt.New(t)
	few, many := appliedBytes(c, sized(c, allTeams/10)), appliedBytes(c, sized(c, allTeams))
	t.Logf("bytes allocated by one change: %d at %d teams, %d at %d", few, allTeams/10, many, allTeams)
	c.Assert(many < 2*few, qt.IsTrue)
}

func BenchmarkApply(b *testing.B) {
	c := qt.New(b)
	for _, teams := range []int{35, 350, 1750, 3500} {
		s := sized(c, teams)
		data := change(c, s, config.Objects{Teams: oneTeams(7, 0.0001)})
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				next, _ := s.Apply(s.Offset()+1, data)
				next.Digest()
			}
		})
	}
}

// BenchmarkPreset measures a change that is checked as a whole.
func BenchmarkPreset(b *testing.B) {
	c := qt.New(b)
	for _, teams := range []int{350, 3500} {
		s := sized(c, teams)
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

// BenchmarkConfig measures what a reader pays once per change to have all teams in one map.
func BenchmarkConfig(b *testing.B) {
	c := qt.New(b)
	for _, teams := range []int{350, 3500} {
		s := sized(c, teams)
		data := change(c, s, config.Objects{Teams: oneTeams(7, 0.0001)})
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
		data, err := json.Marshal(sized(c, teams).Image())
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
