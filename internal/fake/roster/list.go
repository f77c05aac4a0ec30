package roster

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

// List shows hosts as they were a while ago.
type List struct {
	lag time.Duration

	mu       sync.Mutex
	down     bool
	versions []version
}

type version struct {
	at    time.Time
	hosts map[string]host.Host
}

// New returns an empty list with a lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, versions: []version{{hosts: map[string]host.Host{}}}}
}

// Put adds or replaces a host.
func (l *List) Put(h host.Host) {
	l.change(func(hosts map[string]host.Host) { hosts[h.Name] = h })
}

// Remove drops a host by name.
func (l *List) Remove(name string) {
	l.change(func(hosts map[string]host.Host) { delete(hosts, name) })
}

// SetDown makes reads fail.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Hosts returns the hosts that the lag lets through, by name.
func (l *List) Hosts(context.Context) ([]host.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.New("host list is down")
	}
	now := time.Now()
	shown := l.versions[0]
	for _, v := range l.versions {
		if now.Sub(v.at) >= l.lag {
			shown = v
		}
	}
	return slices.SortedFunc(maps.Values(shown.hosts), func(a, b host.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	}), nil
}

func (l *List) change(edit func(map[string]host.Host)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := maps.Clone(l.versions[len(l.versions)-1].hosts)
	edit(hosts)
	l.versions = append(l.versions, version{at: time.Now(), hosts: hosts})
}
