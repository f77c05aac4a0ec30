package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sync/errgroup"

	"github.com/ragworthatch/ragworthatch/internal/bench/trial"
)

func main() {
	seeds := flag.Int("seeds", 10, "seeds to run, from the scenario's own on")
	flag.Parse()
	if err := sweep(flag.Args(), *seeds); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func sweep(files []string, seeds int) error {
	if len(files) == 0 {
		var err error
		if files, err = filepath.Glob("internal/bench/testdata/*.yaml"); err != nil {
			return err
		}
	}
	for _, file := range files {
		s, err := trial.Load(file)
		if err != nil {
			return err
		}
		fmt.Printf("%s\n", s.Name)
		for i, row := range measure(s, seeds) {
			fmt.Printf("  %-70s %s\n", s.Expect[i], row)
		}
	}
	return nil
}

// row summarizes the values of one target over all seeds.
type row struct {
	met             int
	seeds           int
	lowest, highest float64
	sum, naive      float64
}

func (r row) String() string {
	n := float64(r.seeds)
	return fmt.Sprintf("met %d of %d, mean %.4f (%.4f to %.4f), naive %.4f",
		r.met, r.seeds, r.sum/n, r.lowest, r.highest, r.naive/n)
}

func measure(s trial.Scenario, seeds int) []row {
	ours := make([][]float64, seeds)
	naive := make([][]float64, seeds)
	var group errgroup.Group
	group.SetLimit(4)
	for i := range seeds {
		group.Go(func() error {
			one := s
			one.Seed += uint64(i)
			ours[i], naive[i] = trial.Compare(one, trial.Ours())
			return nil
		})
	}
	_ = group.Wait()
	rows := make([]row, len(s.Expect))
	for e, expect := range s.Expect {
		r := row{seeds: seeds, lowest: ours[0][e], highest: ours[0][e]}
		for i := range seeds {
			v := ours[i][e]
			if expect.Holds(v) {
				r.met++
			}
			r.lowest, r.highest = min(r.lowest, v), max(r.highest, v)
			r.sum += v
			r.naive += naive[i][e]
		}
		rows[e] = r
	}
	return rows
}
