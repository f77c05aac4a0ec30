package gossip

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

const (
	// maxRecords bounds the records of one reply.
	maxRecords = 64
	// maxRecordBytes bounds their size together; a larger record goes alone.
	maxRecordBytes = 64 << 10
)

// Gossip answers a peer; it fails with codes.Unavailable while this process has no configuration itself.
func (n *Node) Gossip(_ context.Context, req *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	now := time.Now()
	n.counters.received(req)
	n.takeMarks(now, req.GetMarks())
	n.census.told(now, req.GetVersions())
	if err := n.o.Feed.Ready(); err != nil {
		return nil, status.Errorf(codes.Unavailable, "%s has no configuration: %v", n.o.Name, err)
	}
	n.census.heard(Version{
		Process: req.GetFrom(), Role: Role(req.GetRole()), Zone: req.GetZone(),
		Offset: req.GetOffset(), Digest: req.GetDigest(), Seen: now,
	})
	n.noteAge(req.GetOffset(), req.GetReadAgeMs())
	reply := n.reply(now, req)
	n.counters.sent(reply)
	return reply, nil
}

func (n *Node) reply(now time.Time, req *peerpb.GossipRequest) *peerpb.GossipReply {
	s := n.o.Feed.Current()
	reply := &peerpb.GossipReply{Offset: s.Offset(), Digest: ShortDigest(s.Digest()), ReadAgeMs: n.readAgeMs(now)}
	n.compare(req.GetFrom(), s.Offset(), reply.Digest, req.GetOffset(), req.GetDigest())
	if req.GetOffset() < s.Offset() {
		n.addRecords(reply, req.GetOffset())
	}
	if req.GetRole() != string(Entry) {
		return reply
	}
	if req.GetOffset() > s.Offset() {
		n.wantPull(req.GetFrom())
	}
	marks := n.o.Marks.Load()
	reply.MarksDigest = n.rumors.digest(now, marks)
	reply.Marks = n.rumors.next(now, marks, req.GetMarksDigest() != reply.MarksDigest)
	reply.Demands = n.o.Shares.Answer(req.GetDemands(), now)
	if req.GetCensus() {
		reply.Versions = append(n.census.firstHand(now), wire(n.version(now)))
	} else {
		reply.Versions = n.census.some(now)
	}
	return reply
}

func (n *Node) addRecords(reply *peerpb.GossipReply, after int64) {
	offsets, records, ok := n.o.Feed.Since(after, maxRecords)
	if !ok {
		reply.Fetch = true
		return
	}
	size := 0
	for i, r := range records {
		size += len(r)
		if size > maxRecordBytes && i > 0 {
			return
		}
		reply.Offsets = append(reply.Offsets, offsets[i])
		reply.Records = append(reply.Records, r)
	}
}

func (n *Node) wantPull(name string) {
	select {
	case n.pulls <- name:
	default:
	}
}

// Fetch returns the whole configuration state; it fails with codes.Unavailable while there is none.
func (n *Node) Fetch(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	if err := n.o.Feed.Ready(); err != nil {
		return nil, status.Errorf(codes.Unavailable, "%s has no configuration: %v", n.o.Name, err)
	}
	reply, err := n.snapshot.reply(n.o.Feed)
	if err != nil {
		return nil, status.Errorf(codes.Internal, "encode snapshot: %v", err)
	}
	n.counters.sent(reply)
	return reply, nil
}

// cachedSnapshot spares encoding the same state for each of many processes that start together.
type cachedSnapshot struct {
	mu   sync.Mutex
	last *peerpb.FetchReply
}

func (c *cachedSnapshot) reply(f Feed) (*peerpb.FetchReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := f.Current()
	if c.last != nil && c.last.GetOffset() == s.Offset() {
		return c.last, nil
	}
	data, offset, err := f.Snapshot()
	if err != nil {
		return nil, err
	}
	c.last = &peerpb.FetchReply{Offset: offset, Snapshot: data, Digest: ShortDigest(s.Digest())}
	return c.last, nil
}
