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

// List returns hosts as they were a lag ago; its methods are safe for concurrent use.
type List struct {
	lag time.Duration

	mu       sync.Mutex
	down     bool
	versions []version // oldest first
}

// version is the content of the list from a time on.
type version struct {
	at    time.Time
	hosts map[string]host.Host
}

// New returns an empty list whose reads lag behind its changes.
func New(lag time.Duration) *List {
	return &List{lag: lag, versions: []version{{hosts: map[string]host.Host{}}}}
}

// Put adds or replaces a host.
func (l *List) Put(h host.Host) {
	l.change(func(hosts map[string]host.Host) { hosts[h.Name] = h })
}

// Remove removes a host by name.
func (l *List) Remove(name string) {
	l.change(func(hosts map[string]host.Host) { delete(hosts, name) })
}

// SetDown makes reads fail until it is called with false.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Hosts returns the hosts as of the lag ago, sorted by name.
func (l *List) Hosts(context.Context) ([]host.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.New("host list is down")
	}
	now := time.Now()
	visible := l.versions[0]
	for _, v := range l.versions {
		if now.Sub(v.at) >= l.lag {
			visible = v
		}
	}
	return slices.SortedFunc(maps.Values(visible.hosts), func(a, b host.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	}), nil
}

// change adds a version that differs from the newest by an edit.
func (l *List) change(edit func(map[string]host.Host)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := maps.Clone(l.versions[len(l.versions)-1].hosts)
	edit(hosts)
	l.versions = append(l.versions, version{at: time.Now(), hosts: hosts})
}
