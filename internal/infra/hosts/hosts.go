package hosts

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

// List shows live and leaving hosts, with a lag.
type List interface {
	Hosts(ctx context.Context) ([]host.Host, error)
}

// Weighed is a list that tells how many bytes its last answer took, 0 when nothing had changed.
type Weighed interface {
	LastBytes() int
}

const (
	// smallList is the size in bytes up to which a list is read at the base interval.
	smallList = 8 << 10
	// bytesPerSecond is what a process may spend on reading a larger one.
	bytesPerSecond = 2000
	// maxInterval bounds the wait between two reads.
	maxInterval = 60 * time.Second
)

// Interval is how long to wait after a read of l: base, or longer when the answers are large.
func Interval(l List, base time.Duration) time.Duration {
	w, ok := l.(Weighed)
	if !ok || w.LastBytes() <= smallList {
		return base
	}
	affordable := time.Duration(w.LastBytes()) * time.Second / bytesPerSecond
	return min(max(base, affordable), maxInterval)
}
