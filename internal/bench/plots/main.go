package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/ragworthatch/ragworthatch/internal/bench/trial"
)

const (
	scenarios = "internal/bench/testdata"
	width     = 16 * vg.Centimeter
	height    = 10 * vg.Centimeter
	bucket    = 2 // seconds of virtual time per point
)

func main() {
	out := flag.String("out", "docs", "directory of the plots")
	flag.Parse()
	for _, draw := range []func(string) error{attainmentAgainstLoad, overloadOverTime} {
		if err := draw(*out); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// attainmentAgainstLoad runs the steady scenario at several loads and plots the attainment.
func attainmentAgainstLoad(out string) error {
	s, err := trial.Load(filepath.Join(scenarios, "steady.yaml"))
	if err != nil {
		return err
	}
	loads := []float64{0.3, 0.5, 0.7, 0.8, 0.9, 1, 1.1, 1.3, 1.6, 2}
	ours, naive := make(plotter.XYs, len(loads)), make(plotter.XYs, len(loads))
	var group errgroup.Group
	group.SetLimit(2)
	for i, load := range loads {
		group.Go(func() error {
			one := s
			one.Load = []trial.LoadStep{{Load: load}}
			whole := trial.Expect{Metric: "attainment"}
			ours[i] = plotter.XY{X: load, Y: trial.Run(one, trial.Ours()).Value(whole)}
			naive[i] = plotter.XY{X: load, Y: trial.Run(one, trial.Naive()).Value(whole)}
			return nil
		})
	}
	_ = group.Wait()
	p := plot.New()
	p.Title.Text = "Attainment against load"
	p.X.Label.Text = "offered load, in parts of the capacity"
	p.Y.Label.Text = "requests answered whole in their deadline"
	p.Y.Min, p.Y.Max = 0, 1.05
	return save(p, filepath.Join(out, "attainment.svg"), ours, naive)
}

// overloadOverTime runs the overload scenario and plots the goodput per bucket.
func overloadOverTime(out string) error {
	s, err := trial.Load(filepath.Join(scenarios, "overload.yaml"))
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = "2 times overload from 10 s to 70 s"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "useful work, in parts of the capacity"
	p.Y.Min = 0
	return save(p, filepath.Join(out, "overload.svg"), goodput(s, trial.Ours()), goodput(s, trial.Naive()))
}

func goodput(s trial.Scenario, policy trial.Policy) plotter.XYs {
	result := trial.Run(s, policy)
	var points plotter.XYs
	for at := 0.0; at < s.Seconds; at += bucket {
		e := trial.Expect{Metric: "goodput", Pool: "generate", From: at, To: at + bucket}
		points = append(points, plotter.XY{X: at + bucket/2, Y: result.Value(e)})
	}
	return points
}

func save(p *plot.Plot, file string, ours, naive plotter.XYs) error {
	if err := plotutil.AddLinePoints(p, "ours", ours, "naive", naive); err != nil {
		return err
	}
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	return p.Save(width, height, file)
}
