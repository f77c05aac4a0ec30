package sched_test

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
)

// noLimits returns a limiter without limits.
func noLimits() *pace.Limiter[hosts.Lifetime] {
	return pace.New[hosts.Lifetime](pace.Options{Share: func() float64 { return 1 }, Now: time.Now})
}
