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
	// maxRecords limits the records of one reply.
	maxRecords = 64
	// maxRecordBytes limits their total size; a larger record is sent alone.
	maxRecordBytes = 64 << 10
)

// Gossip answers a peer; it fails with codes.Unavailable while this process has no configuration.
func (n *Node) Gossip(_ context.Context, req *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	now := time.Now()
	n.counters.received(req)
	n.mergeMarks(now, req.GetMarks())
	n.versions.merge(now, req.GetVersions())
	if err := n.o.Feed.Ready(); err != nil {
		return nil, status.Errorf(codes.Unavailable, "%s has no configuration: %v", n.o.Name, err)
	}
	n.versions.record(Version{
		Process: req.GetFrom(), Role: Role(req.GetRole()), Zone: req.GetZone(),
		Offset: req.GetOffset(), Digest: req.GetDigest(), Seen: now,
	})
	n.recordReadAge(req.GetOffset(), req.GetReadAgeMs())
	reply := n.reply(now, req)
	n.counters.sent(reply)
	return reply, nil
}

// reply builds the reply to a request. Only entries get more than records, as sidecars keep no marks, demands or
// versions.
func (n *Node) reply(now time.Time, req *peerpb.GossipRequest) *peerpb.GossipReply {
	s := n.o.Feed.Current()
	reply := &peerpb.GossipReply{Offset: s.Offset(), Digest: ShortDigest(s.Digest()), ReadAgeMs: n.readAgeMs(now)}
	n.checkDigest(req.GetFrom(), s.Offset(), reply.Digest, req.GetOffset(), req.GetDigest())
	if req.GetOffset() < s.Offset() {
		n.addRecords(reply, req.GetOffset())
	}
	if req.GetRole() != string(Entry) {
		return reply
	}
	if req.GetOffset() > s.Offset() {
		n.requestPull(req.GetFrom())
	}
	marks := n.o.Marks.Load()
	reply.MarksDigest = n.rumors.digest(now, marks)
	reply.Marks = n.rumors.nextMarks(now, marks, req.GetMarksDigest() != reply.MarksDigest)
	reply.Demands = n.o.Shares.Answer(req.GetDemands(), now)
	if req.GetCensus() {
		reply.Versions = append(n.versions.heardDirectly(now), encodeVersion(n.version(now)))
	} else {
		reply.Versions = n.versions.nextBatch(now)
	}
	return reply
}

// addRecords adds the records after an offset, or tells the peer to fetch a snapshot if the feed no longer holds them.
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

// requestPull asks the loop of Run for an exchange with a peer; it is dropped if too many are pending.
func (n *Node) requestPull(name string) {
	select {
	case n.pullRequests <- name:
	default:
	}
}

// Fetch returns a snapshot of the configuration state; it fails with codes.Unavailable while there is none.
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

// cachedSnapshot caches the encoded state, as many processes that start together fetch the same one.
type cachedSnapshot struct {
	mu   sync.Mutex
	last *peerpb.FetchReply
}

// reply returns a reply with the current state, encoded again only if its offset has changed.
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
