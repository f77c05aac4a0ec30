package pick_test

import (
	"fmt"
	"testing"

	"github.com/ragworthatch/ragworthatch/internal/route/pick"
	"github.com/ragworthatch/ragworthatch/internal/route/spill"
)

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 660} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := pick.NewSet(upstreams(n))
			p := newPicker(pick.Options{Spill: spill.New(0.5), Affinity: holders{"p": {"runner-3"}}})
			q := pick.Query{Zone: "zone-0", Model: "large", Prefix: "p"}
			b.ReportAllocs()
			for b.Loop() {
				p.Choose(q, set, start)
			}
		})
	}
}

func BenchmarkNewSet(b *testing.B) {
	for _, n := range []int{20, 660} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := upstreams(n)
			for b.Loop() {
				pick.NewSet(all)
			}
		})
	}
}
