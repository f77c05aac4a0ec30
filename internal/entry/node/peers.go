package node

import (
	"context"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fleet/gossip"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/ops/report"
	"github.com/ragworthatch/ragworthatch/internal/route/subset"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Numbers of connections to the upstreams of one pool in the entry's own zone.
const (
	baseNear     = 16 // of a pool with one model
	nearPerModel = 4  // for each model after the first
	maxNear      = 64
)

// censusTimeout is the timeout of versions, which asks all entries.
const censusTimeout = 3 * time.Second

// gossipOptions returns the options for gossiping configuration, crash marks and demand with the other entries.
func (n *Node) gossipOptions() gossip.Options {
	return gossip.Options{
		Name:   n.opts.Name,
		Role:   gossip.Entry,
		Zone:   n.opts.Zone,
		Feed:   n.feed,
		Marks:  n.marks,
		Peers:  n.knownPeers,
		Dial:   gossip.Dial,
		Shares: n.quota,
		Rand:   newRand(),
		Log:    n.opts.Logger,
	}
}

// knownPeers returns the entries of the host list, and those of the settings that the list lacks.
func (n *Node) knownPeers() []gossip.Peer {
	return gossip.KnownPeers(n.links.View(), n.opts.Peers)
}

// recordStatus records the configuration version that a side reports.
func (n *Node) recordStatus(name string, st *sidepb.Status) {
	n.gossip.RecordVersion(gossip.Version{
		Process: name,
		Role:    gossip.Sidecar,
		Zone:    st.GetZone(),
		Offset:  st.GetOffset(),
		Digest:  gossip.ShortDigest(st.GetDigest()),
		Seen:    time.Now(),
	})
	n.gossip.NotifyOffset(st.GetOffset())
}

// versions asks all entries for the configuration versions that processes last reported. An entry that does not answer
// keeps its last known version.
func (n *Node) versions(ctx context.Context) []report.Version {
	ctx, cancel := context.WithTimeout(ctx, censusTimeout)
	defer cancel()
	known, silent := n.gossip.CollectVersions(ctx)
	out := make([]report.Version, 0, len(known)+len(silent))
	for _, v := range known {
		out = append(out, report.Version{
			Process: v.Process, Role: string(v.Role), Zone: v.Zone, Offset: v.Offset, Digest: v.Digest, Seen: v.Seen,
		})
	}
	for _, name := range silent {
		if !slices.ContainsFunc(known, func(v gossip.Version) bool { return v.Process == name }) {
			out = append(out, report.Version{Process: name, Role: string(gossip.Entry)})
		}
	}
	return out
}

// subset returns the upstreams to keep connections to; a pool with more models gets more connections.
func (n *Node) subset(v member.View) []string {
	pools := n.index.Load().Set.Pools
	var names []string
	for pool := range v.Pools {
		usable := v.Usable(pool)
		members := make([]subset.Member, len(usable))
		for i, u := range usable {
			members[i] = subset.Member{Name: u.Name, Zone: u.Zone, Region: u.Region}
		}
		spec := subset.Spec{Entry: n.opts.Name, Zone: n.opts.Zone, Region: n.opts.Region, Near: near(len(pools[pool].Models))}
		for _, i := range spec.Select(members) {
			names = append(names, usable[i].Name)
		}
	}
	return names
}

// near is the number of connections that an entry keeps to upstreams of its own zone, for a pool that serves the given
// number of models.
func near(models int) int {
	return min(maxNear, baseNear+nearPerModel*max(0, models-1))
}
