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

// The connections kept to upstreams of one pool in the own zone.
const (
	baseNear     = 16
	nearPerModel = 4 // for each model after the first
	maxNear      = 64
)

// censusTimeout bounds the question to all entries.
const censusTimeout = 3 * time.Second

func (n *Node) gossipOptions() gossip.Options {
	return gossip.Options{
		Name:   n.o.Name,
		Role:   gossip.Entry,
		Zone:   n.o.Zone,
		Feed:   n.feed,
		Marks:  n.marks,
		Peers:  n.known,
		Dial:   gossip.Dial,
		Shares: n.quota,
		Rand:   newRand(),
		Log:    n.o.Zap,
	}
}

// known returns the entries of the host list, and those of the settings that it does not show.
func (n *Node) known() []gossip.Peer {
	return gossip.KnownPeers(n.links.View(), n.o.Peers)
}

// heard notes what a side says of its configuration.
func (n *Node) heard(name string, st *sidepb.Status) {
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

// versions asks all entries what processes last said of their configuration; one that does not answer
// stays as it was last heard of.
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

// subset chooses the upstreams to keep connections to, more of a pool whose runners hold different models.
func (n *Node) subset(v member.View) []string {
	pools := n.index.Load().Set.Pools
	var names []string
	for pool := range v.Pools {
		usable := v.Usable(pool)
		members := make([]subset.Member, len(usable))
		for i, u := range usable {
			members[i] = subset.Member{Name: u.Name, Zone: u.Zone, Region: u.Region}
		}
		spec := subset.Spec{Entry: n.o.Name, Zone: n.o.Zone, Region: n.o.Region, Near: near(len(pools[pool].Models))}
		for _, i := range spec.Select(members) {
			names = append(names, usable[i].Name)
		}
	}
	return names
}

// near is how many upstreams of the own zone are kept for a pool of so many models.
func near(models int) int {
	return min(maxNear, baseNear+nearPerModel*max(0, models-1))
}
