package hosts

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

// List returns the live and the leaving hosts; it lags behind their real state.
type List interface {
	Hosts(ctx context.Context) ([]host.Host, error)
}

// Sized is a list that knows the size of its last answer in bytes, 0 if nothing had changed.
type Sized interface {
	LastBytes() int
}

const (
	// smallListBytes is the size up to which a list is read at the base interval.
	smallListBytes = 8 << 10
	// bytesPerSecond is the mean rate at which a process may read a larger list.
	bytesPerSecond = 2000
	// maxInterval bounds the wait between two reads.
	maxInterval = 60 * time.Second
)

// Interval returns how long to wait after a read of l: base, or longer if the last answer was large.
func Interval(l List, base time.Duration) time.Duration {
	w, ok := l.(Sized)
	if !ok || w.LastBytes() <= smallListBytes {
		return base
	}
	affordable := time.Duration(w.LastBytes()) * time.Second / bytesPerSecond
	return min(max(base, affordable), maxInterval)
}
