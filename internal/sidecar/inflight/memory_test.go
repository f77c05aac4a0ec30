package inflight

import (
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
)

// BenchmarkRemembered reports the memory of one remembered attempt.
func BenchmarkRemembered(b *testing.B) {
	const attempts = 32768
	for b.Loop() {
		before := heap()
		table := New(attempts)
		for range attempts {
			r, err := table.Begin(attempt(uuid.Must(uuid.NewV7()).String()), start, start.Add(time.Minute), func() {})
			if err != nil {
				b.Fatal(err)
			}
			r.Dispatch()
			r.Finish()
		}
		b.ReportMetric(float64(heap()-before)/attempts, "B/attempt")
		runtime.KeepAlive(table)
	}
}

// heap returns the bytes of heap in use after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
