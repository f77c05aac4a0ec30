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
	// maxVersions limits the number of processes remembered.
	maxVersions = 4096
	// versionsPerMessage is how many versions each message carries.
	versionsPerMessage = 2
	// versionTTL is how long a process is remembered after it was last heard of.
	versionTTL = 5 * time.Minute
	// shortDigestBytes is the length of the digests that messages carry.
	shortDigestBytes = 16
)

// Version is the configuration version that a process last reported.
type Version struct {
	Process string    `json:"process"`
	Role    Role      `json:"role"`
	Zone    string    `json:"zone"`
	Offset  int64     `json:"offset"`
	Digest  string    `json:"digest"` // shortened digest
	Seen    time.Time `json:"seen"`
}

// versionTable holds the last known version of each process, and which of them this process heard directly.
type versionTable struct {
	mu       sync.Mutex
	versions map[string]Version
	heardAt  map[string]time.Time // when each process last reported directly to this one
	cursor   string               // process whose version nextBatch returned last
}

func newVersionTable() *versionTable {
	return &versionTable{versions: map[string]Version{}, heardAt: map[string]time.Time{}}
}

// record records a version that a process reported to this one.
func (t *versionTable) record(v Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.put(v) {
		t.heardAt[v.Process] = v.Seen
	}
}

// merge adds versions that peers report of other processes; a time in the future counts as now.
func (t *versionTable) merge(now time.Time, list []*peerpb.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range list {
		v := Version{
			Process: m.GetProcess(), Role: Role(m.GetRole()), Zone: m.GetZone(),
			Offset: m.GetOffset(), Digest: m.GetDigest(), Seen: time.UnixMilli(m.GetSeenUnixMs()),
		}
		if v.Seen.After(now) {
			v.Seen = now
		}
		if now.Sub(v.Seen) < versionTTL {
			t.put(v)
		}
	}
}

// put stores a version if it is newer than the known one and there is room, and reports whether it did.
func (t *versionTable) put(v Version) bool {
	if v.Process == "" {
		return false
	}
	old, known := t.versions[v.Process]
	if known && !v.Seen.After(old.Seen) || !known && len(t.versions) >= maxVersions {
		return false
	}
	v.Digest = v.Digest[:min(len(v.Digest), shortDigestBytes)]
	t.versions[v.Process] = v
	return true
}

// list returns the versions that have not expired, sorted by process.
func (t *versionTable) list(now time.Time) []Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := slices.Collect(maps.Values(t.versions))
	slices.SortFunc(out, func(a, b Version) int { return cmp.Compare(a.Process, b.Process) })
	return out
}

// expire drops the processes not heard of for versionTTL.
func (t *versionTable) expire(now time.Time) {
	maps.DeleteFunc(t.versions, func(_ string, v Version) bool { return now.Sub(v.Seen) >= versionTTL })
	maps.DeleteFunc(t.heardAt, func(_ string, at time.Time) bool { return now.Sub(at) >= versionTTL })
}

// nextBatch returns the versions for the next message, in turn.
func (t *versionTable) nextBatch(now time.Time) []*peerpb.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	names := slices.Sorted(maps.Keys(t.versions))
	start, _ := slices.BinarySearch(names, t.cursor+"\x00")
	var out []*peerpb.Version
	for i := range min(versionsPerMessage, len(names)) {
		t.cursor = names[(start+i)%len(names)]
		out = append(out, encodeVersion(t.versions[t.cursor]))
	}
	return out
}

// heardDirectly returns all versions that processes reported directly to this one.
func (t *versionTable) heardDirectly(now time.Time) []*peerpb.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []*peerpb.Version
	for _, name := range slices.Sorted(maps.Keys(t.heardAt)) {
		if v, ok := t.versions[name]; ok {
			out = append(out, encodeVersion(v))
		}
	}
	return out
}

func encodeVersion(v Version) *peerpb.Version {
	return &peerpb.Version{
		Process: v.Process, Role: string(v.Role), Zone: v.Zone,
		Offset: v.Offset, Digest: v.Digest, SeenUnixMs: v.Seen.UnixMilli(),
	}
}
