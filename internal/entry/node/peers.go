package node

import (
	"context"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fleet/gossip"
	"github.com/ragworthatch/ragworthatch/internal/oper/report"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
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
	return gossip.Known(n.links.View(), n.o.Peers)
}

// heard notes what a side says of its configuration.
func (n *Node) heard(name string, st *sidepb.Status) {
	n.gossip.Heard(gossip.Version{
		Process: name,
		Role:    gossip.Side,
		Zone:    st.GetZone(),
		Offset:  st.GetOffset(),
		Digest:  gossip.Shorten(st.GetDigest()),
		Seen:    time.Now(),
	})
	n.gossip.Ahead(st.GetOffset())
}

// versions asks all entries what processes last said of their configuration; one that does not answer
// stays as it was last heard of.
func (n *Node) versions(ctx context.Context) []report.Version {
	ctx, cancel := context.WithTimeout(ctx, censusTimeout)
	defer cancel()
	known, silent := n.gossip.Census(ctx)
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
