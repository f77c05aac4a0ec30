package gossip

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

const (
	// maxVersions bounds the processes remembered.
	maxVersions = 4096
	// versionsPerMessage bounds the versions passed on with each message.
	versionsPerMessage = 2
	// versionFor is how long a process is remembered that nobody hears of.
	versionFor = 5 * time.Minute
	// digestBytes is how much of a digest is passed on.
	digestBytes = 16
)

// Version is what a process last said of its configuration.
type Version struct {
	Process string    `json:"process"`
	Role    Role      `json:"role"`
	Zone    string    `json:"zone"`
	Offset  int64     `json:"offset"`
	Digest  string    `json:"digest"` // start of the digest
	Seen    time.Time `json:"seen"`
}

// census remembers the versions of processes, its own reports apart from hearsay.
type census struct {
	mu     sync.Mutex
	all    map[string]Version
	direct map[string]time.Time // when this process itself heard the other
	cursor string
}

func newCensus() *census {
	return &census{all: map[string]Version{}, direct: map[string]time.Time{}}
}

// heard notes what a process said to this one.
func (c *census) heard(v Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.put(v) {
		c.direct[v.Process] = v.Seen
	}
}

// told notes what peers say of others; a time in the future counts as now.
func (c *census) told(now time.Time, list []*peerpb.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range list {
		v := Version{
			Process: w.GetProcess(), Role: Role(w.GetRole()), Zone: w.GetZone(),
			Offset: w.GetOffset(), Digest: w.GetDigest(), Seen: time.UnixMilli(w.GetSeenUnixMs()),
		}
		if v.Seen.After(now) {
			v.Seen = now
		}
		if now.Sub(v.Seen) < versionFor {
			c.put(v)
		}
	}
}

func (c *census) put(v Version) bool {
	if v.Process == "" {
		return false
	}
	old, known := c.all[v.Process]
	if known && !v.Seen.After(old.Seen) || !known && len(c.all) >= maxVersions {
		return false
	}
	v.Digest = v.Digest[:min(len(v.Digest), digestBytes)]
	c.all[v.Process] = v
	return true
}

// list returns the versions not yet forgotten, sorted by process.
func (c *census) list(now time.Time) []Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	out := slices.Collect(maps.Values(c.all))
	slices.SortFunc(out, func(a, b Version) int { return cmp.Compare(a.Process, b.Process) })
	return out
}

func (c *census) forget(now time.Time) {
	maps.DeleteFunc(c.all, func(_ string, v Version) bool { return now.Sub(v.Seen) >= versionFor })
	maps.DeleteFunc(c.direct, func(_ string, at time.Time) bool { return now.Sub(at) >= versionFor })
}

// some returns the next few versions in turn, for a message.
func (c *census) some(now time.Time) []*peerpb.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	names := slices.Sorted(maps.Keys(c.all))
	start, _ := slices.BinarySearch(names, c.cursor+"\x00")
	var out []*peerpb.Version
	for i := range min(versionsPerMessage, len(names)) {
		c.cursor = names[(start+i)%len(names)]
		out = append(out, wire(c.all[c.cursor]))
	}
	return out
}

// firstHand returns all versions that were heard directly.
func (c *census) firstHand(now time.Time) []*peerpb.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	var out []*peerpb.Version
	for _, name := range slices.Sorted(maps.Keys(c.direct)) {
		if v, ok := c.all[name]; ok {
			out = append(out, wire(v))
		}
	}
	return out
}

func wire(v Version) *peerpb.Version {
	return &peerpb.Version{
		Process: v.Process, Role: string(v.Role), Zone: v.Zone,
		Offset: v.Offset, Digest: v.Digest, SeenUnixMs: v.Seen.UnixMilli(),
	}
}
