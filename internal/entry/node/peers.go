package node

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fleet/gossip"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

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
