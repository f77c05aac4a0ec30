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
	// bootstrapPeers is how many peers a process without a configuration asks concurrently.
	bootstrapPeers = 16
	// maxPages is how many replies with records one exchange processes.
	maxPages = 16
)

// errNoProgress ends an exchange that would otherwise repeat the same request.
var errNoProgress = errors.New("peer holds a newer state but sent nothing usable of it")

// newRequest returns a request with this process's offset and, for an entry, its marks, demands and versions.
func (n *Node) newRequest(now time.Time) *peerpb.GossipRequest {
	s := n.o.Feed.Current()
	r := &peerpb.GossipRequest{
		From: n.o.Name, Role: string(n.o.Role), Zone: n.o.Zone,
		Offset: s.Offset(), Digest: ShortDigest(s.Digest()), ReadAgeMs: n.readAgeMs(now),
	}
	if n.o.Role == Entry {
		marks := n.o.Marks.Load()
		r.Marks = n.rumors.nextMarks(now, marks, n.rumors.takePeerDiffers())
		r.MarksDigest = n.rumors.digest(now, marks)
		r.Demands = n.o.Shares.Offer(now)
		r.Versions = n.versions.nextBatch(now)
	}
	return r
}

// ShortDigest truncates a digest to the length that messages carry.
func ShortDigest(digest string) string { return digest[:min(len(digest), shortDigestBytes)] }

// readAgeMs returns the age of the latest read of the log that the current state covers, 0 if unknown.
func (n *Node) readAgeMs(now time.Time) int64 {
	readAt := n.o.Feed.Fresh()
	if readAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(readAt).Milliseconds())
}

// recordReadAge tells the feed how old the log read behind a peer's offset is.
func (n *Node) recordReadAge(offset, ageMs int64) {
	if ageMs > 0 {
		n.o.Feed.Heard(offset, time.Duration(ageMs)*time.Millisecond)
	}
}

// call sends one request; a connection on which it fails is closed.
func (n *Node) call(ctx context.Context, p Peer, req *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
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

// exchange exchanges states with a peer until this process is as up to date as the peer.
func (n *Node) exchange(ctx context.Context, p Peer) {
	for range maxPages {
		reply, err := n.call(ctx, p, n.newRequest(time.Now()))
		if err != nil {
			n.o.Log.Debug("peer does not answer", zap.String("peer", p.Name), zap.Error(err))
			return
		}
		more, err := n.handleReply(ctx, p, reply)
		if err != nil {
			n.o.Log.Warn("state of a peer not taken", zap.String("peer", p.Name), zap.Error(err))
			return
		}
		if !more {
			return
		}
	}
}

// handleReply applies a reply and reports whether the peer has more records.
func (n *Node) handleReply(ctx context.Context, p Peer, reply *peerpb.GossipReply) (bool, error) {
	now := time.Now()
	n.mergeMarks(now, reply.GetMarks())
	if n.o.Role == Entry {
		n.rumors.compareDigests(reply.GetMarksDigest(), n.rumors.digest(now, n.o.Marks.Load()))
	}
	n.o.Shares.Settle(reply.GetDemands(), now)
	n.versions.merge(now, reply.GetVersions())
	n.versions.record(Version{Process: p.Name, Role: Entry, Zone: p.Zone,
		Offset: reply.GetOffset(), Digest: reply.GetDigest(), Seen: now})
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
	n.recordReadAge(reply.GetOffset(), reply.GetReadAgeMs())
	n.checkDigest(p.Name, after.Offset(), ShortDigest(after.Digest()), reply.GetOffset(), reply.GetDigest())
	if after.Offset() < reply.GetOffset() && after.Offset() == before {
		return false, errNoProgress
	}
	return after.Offset() < reply.GetOffset(), nil
}

// checkDigest logs and counts a peer that holds another state at the same offset.
func (n *Node) checkDigest(peer string, offset int64, digest string, theirOffset int64, theirDigest string) {
	if offset != theirOffset || digest == theirDigest || theirDigest == "" {
		return
	}
	n.counters.diverged.Add(1)
	n.o.Log.Error("configuration differs from a peer's at the same offset", zap.String("peer", peer),
		zap.Int64("offset", offset), zap.String("digest", digest), zap.String("theirs", theirDigest))
}

// fetch replaces the configuration state by a snapshot from a peer if that is newer.
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
	n.o.Log.Info("snapshot of a peer", zap.String("peer", p.Name),
		zap.Int64("offset", reply.GetOffset()), zap.Bool("taken", taken))
	return nil
}

// candidate is a peer that has a configuration.
type candidate struct {
	peer   Peer
	offset int64
}

// bootstrap polls several peers and fetches the newest state that they offer.
func (n *Node) bootstrap(ctx context.Context, peers []Peer) {
	candidates, lastErr := n.poll(ctx, peers)
	if ctx.Err() != nil || n.o.Feed.Ready() == nil {
		return
	}
	if len(candidates) == 0 {
		n.setNotReadyReason(bootstrapFailure(len(peers), lastErr))
		return
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.offset, a.offset), cmp.Compare(a.peer.Name, b.peer.Name))
	})
	for _, c := range candidates {
		if err := n.fetch(ctx, c.peer); err == nil {
			n.setNotReadyReason("")
			n.o.Log.Info("configuration taken from peers", zap.String("peer", c.peer.Name),
				zap.Int64("offset", c.offset), zap.Int("answers", len(candidates)))
			return
		} else {
			lastErr = err
		}
	}
	n.setNotReadyReason(bootstrapFailure(len(peers), lastErr))
}

// bootstrapFailure describes why no configuration was found.
func bootstrapFailure(asked int, lastErr error) string {
	if asked == 0 {
		return "the host list shows no entry to ask"
	}
	return fmt.Sprintf("asked %d entries and none had a configuration; last answer: %v", asked, lastErr)
}

// poll asks the peers concurrently and returns those that have a configuration, with the last error.
func (n *Node) poll(ctx context.Context, peers []Peer) ([]candidate, error) {
	var mu sync.Mutex
	var candidates []candidate
	var lastErr error
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() {
			reply, err := n.call(ctx, p, n.newRequest(time.Now()))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			n.mergeMarks(time.Now(), reply.GetMarks())
			candidates = append(candidates, candidate{peer: p, offset: reply.GetOffset()})
		})
	}
	wg.Wait()
	return candidates, lastErr
}

// CollectVersions asks all entries for the versions that they heard directly from processes. It returns all versions
// known, and the names of the entries that did not answer.
func (n *Node) CollectVersions(ctx context.Context) (versions []Version, silent []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, bootstrapPeers)
	for _, p := range n.o.Peers() {
		if p.Name == n.o.Name {
			continue
		}
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			req := n.newRequest(time.Now())
			req.Census = true
			reply, err := n.call(ctx, p, req)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				silent = append(silent, p.Name)
				return
			}
			n.versions.merge(time.Now(), reply.GetVersions())
		})
	}
	wg.Wait()
	slices.Sort(silent)
	return n.Versions(time.Now()), silent
}
