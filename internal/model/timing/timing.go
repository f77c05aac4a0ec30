package timing

import "time"

// Timing of membership.
const (
	// HeartbeatInterval is the interval at which a sidecar repeats its status on an idle watch.
	HeartbeatInterval = 15 * time.Second
	// SuspectAfter is the time without a message after which a watched upstream is suspected.
	SuspectAfter = 35 * time.Second
	// MaxLeavingTime is the maximum time during which a leaving upstream may still get new work.
	MaxLeavingTime = 3 * time.Second
	// HostListInterval is the interval at which an entry reads the host list.
	HostListInterval = 2 * time.Second
)

// Timing of the configuration.
const (
	// FeedInterval is the interval at which a log reader polls the log.
	FeedInterval = time.Second
	// GossipInterval is the interval at which an entry gossips with one peer.
	GossipInterval = time.Second
	// MaxPropagationTime is the maximum time until an accepted configuration is in force everywhere at the target size.
	MaxPropagationTime = 12 * time.Second
)

// Timing of actions.
const (
	// ActionWindow is the maximum age of the key of an action.
	ActionWindow = 24 * time.Hour
	// ClockSkew is the maximum difference between clocks; a key may be minted this far in the future.
	ClockSkew = 2 * time.Minute
)

// Timing of connections.
const (
	// CallHeartbeat is the interval at which a sidecar sends a frame for a call that has nothing else to send.
	CallHeartbeat = 500 * time.Millisecond
	// CallSilenceTimeout is the time without a frame after which an entry suspects a call's connection.
	CallSilenceTimeout = 2 * time.Second
	// KeepaliveInterval is the interval at which an idle connection is probed.
	KeepaliveInterval = 10 * time.Second
	// KeepaliveTimeout is the time without an answer to a probe after which the connection is closed.
	KeepaliveTimeout = 3 * time.Second
)
