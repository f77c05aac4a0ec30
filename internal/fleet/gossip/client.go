package gossip

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

const (
	// bootstrapPeers is how many peers a process without a configuration asks at once.
	bootstrapPeers = 16
	// maxPages is how many replies with records one exchange takes.
	maxPages = 16
)

var errNoProgress = errors.New("peer holds a newer state but sent nothing usable of it")

func (n *Node) request(now time.Time) *peerpb.GossipRequest {
	s := n.o.Feed.Current()
	r := &peerpb.GossipRequest{
		From: n.o.Name, Role: string(n.o.Role), Zone: n.o.Zone,
		Offset: s.Offset(), Digest: ShortDigest(s.Digest()), ReadAgeMs: n.readAgeMs(now),
	}
	if n.o.Role == Entry {
		marks := n.o.Marks.Load()
		r.Marks = n.rumors.next(now, marks, n.rumors.takeDiffers())
		r.MarksDigest = n.rumors.digest(now, marks)
		r.Demands = n.o.Shares.Offer(now)
		r.Versions = n.census.some(now)
	}
	return r
}

// ShortDigest cuts a digest to the length that travels with each message.
func ShortDigest(digest string) string { return digest[:min(len(digest), digestBytes)] }

// readAgeMs is the age of the newest read of the log that the own state covers, 0 if unknown.
func (n *Node) readAgeMs(now time.Time) int64 {
	fresh := n.o.Feed.Fresh()
	if fresh.IsZero() {
		return 0
	}
	return max(1, now.Sub(fresh).Milliseconds())
}

func (n *Node) noteAge(offset, ageMs int64) {
	if ageMs > 0 {
		n.o.Feed.Heard(offset, time.Duration(ageMs)*time.Millisecond)
	}
}

// ask sends one request; a connection on which it fails is not used again.
func (n *Node) ask(ctx context.Context, p Peer, req *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	conn, err := n.conns.get(p.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	n.counters.sent(req)
	reply, err := conn.Gossip(ctx, req)
	if err != nil {
		n.counters.failed.Add(1)
		n.conns.drop(p.Address, conn)
		return nil, err
	}
	n.counters.received(reply)
	return reply, nil
}

// exchange swaps states with a peer until the own is as new as the peer's.
func (n *Node) exchange(ctx context.Context, p Peer) {
	for range maxPages {
		reply, err := n.ask(ctx, p, n.request(time.Now()))
		if err != nil {
			n.o.Log.Debug("peer does not answer", zap.String("peer", p.Name), zap.Error(err))
			return
		}
		more, err := n.take(ctx, p, reply)
		if err != nil {
			n.o.Log.Warn("state of a peer not taken", zap.String("peer", p.Name), zap.Error(err))
			return
		}
		if !more {
			return
		}
	}
}

// take uses a reply and says whether the peer has more.
func (n *Node) take(ctx context.Context, p Peer, reply *peerpb.GossipReply) (bool, error) {
	now := time.Now()
	n.takeMarks(now, reply.GetMarks())
	if n.o.Role == Entry {
		n.rumors.compare(reply.GetMarksDigest(), n.rumors.digest(now, n.o.Marks.Load()))
	}
	n.o.Shares.Settle(reply.GetDemands(), now)
	n.census.told(now, reply.GetVersions())
	n.census.heard(Version{Process: p.Name, Role: Entry, Zone: p.Zone, Offset: reply.GetOffset(), Digest: reply.GetDigest(), Seen: now})
	before := n.o.Feed.Current().Offset()
	if len(reply.GetRecords()) > 0 {
		n.o.Feed.Offer(reply.GetOffsets(), reply.GetRecords())
	}
	after := n.o.Feed.Current()
	if after.Offset() < reply.GetOffset() && (reply.GetFetch() || after.Offset() == before) {
		if err := n.fetch(ctx, p); err != nil {
			return false, err
		}
		after = n.o.Feed.Current()
	}
	n.noteAge(reply.GetOffset(), reply.GetReadAgeMs())
	n.compare(p.Name, after.Offset(), ShortDigest(after.Digest()), reply.GetOffset(), reply.GetDigest())
	if after.Offset() < reply.GetOffset() && after.Offset() == before {
		return false, errNoProgress
	}
	return after.Offset() < reply.GetOffset(), nil
}

// compare reports a peer that holds another state at the same offset.
func (n *Node) compare(peer string, offset int64, digest string, theirOffset int64, theirDigest string) {
	if offset != theirOffset || digest == theirDigest || theirDigest == "" {
		return
	}
	n.counters.diverged.Add(1)
	n.o.Log.Error("configuration differs from a peer's at the same offset", zap.String("peer", peer),
		zap.Int64("offset", offset), zap.String("digest", digest), zap.String("theirs", theirDigest))
}

func (n *Node) fetch(ctx context.Context, p Peer) error {
	conn, err := n.conns.get(p.Address)
	if err != nil {
		return err
	}
	ctx, cancel := withCallTimeout(ctx)
	defer cancel()
	req := &peerpb.FetchRequest{}
	n.counters.sent(req)
	reply, err := conn.Fetch(ctx, req)
	if err != nil {
		n.counters.failed.Add(1)
		n.conns.drop(p.Address, conn)
		return fmt.Errorf("fetch from peer %s: %w", p.Name, err)
	}
	n.counters.received(reply)
	n.counters.fetches.Add(1)
	taken, err := n.o.Feed.OfferSnapshot(reply.GetSnapshot())
	if err != nil {
		return fmt.Errorf("snapshot of peer %s: %w", p.Name, err)
	}
	n.o.Log.Info("snapshot of a peer", zap.String("peer", p.Name), zap.Int64("offset", reply.GetOffset()), zap.Bool("taken", taken))
	return nil
}

type offer struct {
	peer   Peer
	offset int64
}

// bootstrap polls several peers and takes the newest state among their answers.
func (n *Node) bootstrap(ctx context.Context, peers []Peer) {
	offers, lastErr := n.poll(ctx, peers)
	if ctx.Err() != nil || n.o.Feed.Ready() == nil {
		return
	}
	if len(offers) == 0 {
		n.setWhy(noOffers(len(peers), lastErr))
		return
	}
	slices.SortFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.offset, a.offset), cmp.Compare(a.peer.Name, b.peer.Name))
	})
	for _, o := range offers {
		if err := n.fetch(ctx, o.peer); err == nil {
			n.setWhy("")
			n.o.Log.Info("configuration taken from peers", zap.String("peer", o.peer.Name),
				zap.Int64("offset", o.offset), zap.Int("answers", len(offers)))
			return
		} else {
			lastErr = err
		}
	}
	n.setWhy(noOffers(len(peers), lastErr))
}

func noOffers(asked int, lastErr error) string {
	if asked == 0 {
		return "the host list shows no entry to ask"
	}
	return fmt.Sprintf("asked %d entries and none had a configuration; last answer: %v", asked, lastErr)
}

func (n *Node) poll(ctx context.Context, peers []Peer) ([]offer, error) {
	var mu sync.Mutex
	var offers []offer
	var lastErr error
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() {
			reply, err := n.ask(ctx, p, n.request(time.Now()))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			n.takeMarks(time.Now(), reply.GetMarks())
			offers = append(offers, offer{peer: p, offset: reply.GetOffset()})
		})
	}
	wg.Wait()
	return offers, lastErr
}

// CollectVersions asks all entries for the versions that they heard at first hand, and returns all of them with the names of the
// entries that did not answer.
func (n *Node) CollectVersions(ctx context.Context) (versions []Version, silent []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, bootstrapPeers)
	for _, p := range n.o.Peers() {
		if p.Name == n.o.Name {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			req := n.request(time.Now())
			req.Census = true
			reply, err := n.ask(ctx, p, req)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				silent = append(silent, p.Name)
				return
			}
			n.census.told(time.Now(), reply.GetVersions())
		})
	}
	wg.Wait()
	slices.Sort(silent)
	return n.Versions(time.Now()), silent
}
