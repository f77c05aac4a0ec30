package gossip

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// Stats counts the messages of a process and their encoded sizes without the framing of the transport.
type Stats struct {
	SentMessages     int64 `json:"sentMessages"`
	SentBytes        int64 `json:"sentBytes"`
	ReceivedMessages int64 `json:"receivedMessages"`
	ReceivedBytes    int64 `json:"receivedBytes"`
	Fetches          int64 `json:"fetches"`  // snapshots fetched from peers
	Failed           int64 `json:"failed"`   // failed calls to peers
	Diverged         int64 `json:"diverged"` // peers with another state at the same offset
}

// counters holds the counts that Stats returns.
type counters struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes atomic.Int64
	fetches, failed, diverged                                atomic.Int64
}

func (c *counters) sent(m proto.Message) {
	c.sentMessages.Add(1)
	c.sentBytes.Add(int64(proto.Size(m)))
}

func (c *counters) received(m proto.Message) {
	c.receivedMessages.Add(1)
	c.receivedBytes.Add(int64(proto.Size(m)))
}

// Stats returns the current counts.
func (n *Node) Stats() Stats {
	c := &n.counters
	return Stats{
		SentMessages: c.sentMessages.Load(), SentBytes: c.sentBytes.Load(),
		ReceivedMessages: c.receivedMessages.Load(), ReceivedBytes: c.receivedBytes.Load(),
		Fetches: c.fetches.Load(), Failed: c.failed.Load(), Diverged: c.diverged.Load(),
	}
}
