package main

import (
	"fmt"
	"os"
	"time"
)

// meshDuration is how long each mesh is measured.
const meshDuration = 12 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run() error {
	if err := measureProcesses(); err != nil {
		return err
	}
	for _, sides := range []int{6, 24} {
		for _, rate := range []float64{25, 250} {
			fmt.Println(measureAppends(sides, rate))
		}
	}
	local, err := measureLocal()
	if err != nil {
		return err
	}
	local.print()
	var meshes []meshCost
	for _, size := range []meshSize{{12, 12}, {12, 48}, {48, 48}, {48, 192}} {
		cost, err := measureMesh(size)
		if err != nil {
			return err
		}
		fmt.Println(cost)
		meshes = append(meshes, cost)
	}
	printTable(local, meshes)
	return nil
}
