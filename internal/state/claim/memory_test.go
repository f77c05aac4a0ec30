package claim

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// BenchmarkMemoryPerAction reports the heap retained per action that ran, in bytes.
func BenchmarkMemoryPerAction(b *testing.B) {
	const actions = 20000
	for b.Loop() {
		before := heapBytes()
		f := New()
		for i := range actions {
			k := Key{Team: "treasury", Key: uuid.Must(uuid.NewV7()).String()}
			apply(b, f, Record{Kind: Claim, Nonce: fmt.Sprint(i), Key: k, Owner: "orders-1", BodyDigest: testKey.Key + testKey.Key})
			apply(b, f, Record{Kind: Outcome, Nonce: fmt.Sprint(i), Key: k, Verdict: fault.Ran, Answer: []byte(`{"receipt":1}`), AnswerDigest: testKey.Key + testKey.Key})
		}
		b.ReportMetric(float64(heapBytes()-before)/actions, "B/action")
		runtime.KeepAlive(f)
	}
}

func apply(b *testing.B, f *Fold, r Record) {
	data, err := r.Encode()
	if err != nil {
		b.Fatal(err)
	}
	f.Apply(f.Next(), data)
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
