package trial

import (
	"fmt"
	"testing"
)

func TestX(t *testing.T) {
	for _, f := range []string{"steady", "zone", "stale", "overload", "long", "greedy"} {
		for v := 1; v < 2; v++ {
			s, _ := Load("../testdata/" + f + ".yaml")
			base := s.Seed
			ex := append(s.Expect, Expect{Metric: "attainment"}, Expect{Metric: "farCalls"})
			n := len(ex)
			sum := make([]float64, n)
			mn := make([]float64, n)
			mx := make([]float64, n)
			const N = 8
			for i := range N {
				s.Seed = base + uint64(i)
				p := Ours()
				p.Zone = v > 0
				r := Run(s, p)
				for j, e := range ex {
					v := r.Value(e)
					sum[j] += v / N
					if i == 0 || v < mn[j] {
						mn[j] = v
					}
					if i == 0 || v > mx[j] {
						mx[j] = v
					}
				}
			}
			fmt.Printf("%v %s ", v, f)
			for j := range n {
				fmt.Printf("  %.4f (%.4f %.4f)", sum[j], mn[j], mx[j])
			}
			fmt.Println()
		}
	}
}
