package node

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/limit/shed"
)

const (
	waitInterval   = 50 * time.Millisecond // between measurements of the wait for the processor
	usagePeriod    = 20                    // waits measured between measurements of memory and descriptors
	minCores       = 0.01                  // a smaller share in the settings counts as this
	descriptorsDir = "/proc/self/fd"
)

// measure measures what this process is short of until ctx ends, and logs each change of it.
func (n *Node) measure(ctx context.Context) {
	cores := max(minCores, n.settings.Load().Cores)
	timer := time.NewTimer(waitInterval)
	defer timer.Stop()
	last := shed.None
	usedAt, used := time.Now(), processorTime()
	for i := 0; ; i++ {
		due := time.Now().Add(waitInterval)
		timer.Reset(waitInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		n.shed.ObserveWait(time.Since(due))
		if i%usagePeriod != 0 {
			continue
		}
		memory, descriptors := memoryUsage(), descriptorUsage()
		now, total := time.Now(), processorTime()
		busy := float64(total-used) / (float64(now.Sub(usedAt)) * cores)
		usedAt, used = now, total
		n.shed.ObserveUsage(busy, memory, descriptors)
		if short := n.shed.Short(); short != last {
			last = short
			n.log.Info("process short", zap.String("short", string(short)), zap.Duration("wait", n.shed.Wait()), zap.Float64("busy", busy),
				zap.Int64("memory", memory.Used), zap.Int64("memoryLimit", memory.Limit),
				zap.Int64("descriptors", descriptors.Used), zap.Int64("descriptorLimit", descriptors.Limit))
		}
	}
}

// processorTime returns the processor time that this process has used; 0 if it can't be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryUsage returns the memory that a garbage collection would leave, against the limit of the runtime, if it has one.
func memoryUsage() shed.Usage {
	limit := debug.SetMemoryLimit(-1) // only reads it
	if limit == math.MaxInt64 {
		return shed.Usage{}
	}
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	used := int64(0)
	for _, s := range samples {
		if s.Value.Kind() == metrics.KindUint64 {
			used += int64(s.Value.Uint64())
		}
	}
	return shed.Usage{Used: used, Limit: limit}
}

// descriptorUsage returns the number of open descriptors against the limit of the process; without a limit if it can't be
// read.
func descriptorUsage() shed.Usage {
	var limit syscall.Rlimit
	dir, err := os.Open(descriptorsDir)
	if err != nil {
		return shed.Usage{}
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	if err != nil || syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return shed.Usage{}
	}
	return shed.Usage{Used: int64(len(names)), Limit: int64(limit.Cur)}
}

// leadsOthers reports whether other entries follow this one.
func (n *Node) leadsOthers() bool {
	service := n.service.Load()
	return service != nil && service.Entries() > 0
}
