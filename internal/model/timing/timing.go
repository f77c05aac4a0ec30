package timing

import "time"

// Membership.
const (
	// HeartbeatInterval is how often a side repeats its status on an idle watch.
	HeartbeatInterval = 15 * time.Second
	// SuspectAfter is the silence after which a watched upstream is suspect.
	SuspectAfter = 35 * time.Second
	// MaxLeavingTime is how long a leaving upstream may still get new work.
	MaxLeavingTime = 3 * time.Second
	// HostListInterval is how often an entry reads the host list.
	HostListInterval = 2 * time.Second
)

// Configuration.
const (
	// FeedInterval is how often a log reader polls the log.
	FeedInterval = time.Second
	// GossipInterval is how often an entry gossips with one peer.
	GossipInterval = time.Second
	// MaxPropagationTime is how soon an accepted configuration is in force everywhere at the target size.
	MaxPropagationTime = 12 * time.Second
)

// Actions.
const (
	// ActionWindow is the age up to which the key of an action is accepted.
	ActionWindow = 24 * time.Hour
	// ClockSkew is how far in the future a key may have been minted.
	ClockSkew = 2 * time.Minute
)

// Connections.
const (
	// CallHeartbeat is how often a side sends a frame for a call that has nothing else to send.
	CallHeartbeat = 500 * time.Millisecond
	// CallSilenceTimeout is the silence after which an entry suspects a call's connection.
	CallSilenceTimeout = 2 * time.Second
	// KeepaliveInterval is how often an idle connection is probed.
	KeepaliveInterval = 10 * time.Second
	// KeepaliveTimeout is how long a probe waits before the connection is closed.
	KeepaliveTimeout = 3 * time.Second
)
