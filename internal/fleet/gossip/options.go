package gossip

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

// Role is the role of a process.
type Role string

// The roles. Entries answer requests; sidecars only send them.
const (
	Entry   Role = "entry"
	Sidecar Role = "side"
)

// Peer is an entry that answers requests.
type Peer struct {
	Name    string
	Address string
	Zone    string
	Region  string
}

// Feed is the configuration state of the process; *feed.Feed implements it.
type Feed interface {
	Current() *fold.State
	Changed() <-chan struct{}
	Ready() error
	Fresh() time.Time
	Heard(offset int64, age time.Duration)
	Since(offset int64, limit int) ([]int64, [][]byte, bool)
	Offer(offsets []int64, records [][]byte) int
	Snapshot() ([]byte, int64, error)
	OfferSnapshot(data []byte) (bool, error)
	SetReader(active bool)
}

// Marks holds the marks of the process; *atomval.Value[*poison.Set] implements it.
type Marks interface {
	Load() *poison.Set
	Update(f func(*poison.Set) *poison.Set)
}

// Shares moves the teams' shares to the entries with demand; *quota.Quota implements it.
type Shares interface {
	// Offer returns the demands to send with a request.
	Offer(now time.Time) []*peerpb.Demand
	// Answer processes a peer's offer and returns what the peer must add to its own.
	Answer(in []*peerpb.Demand, now time.Time) []*peerpb.Demand
	// Settle processes a peer's answer.
	Settle(in []*peerpb.Demand, now time.Time)
}

// Conn is a connection to a peer.
type Conn interface {
	peerpb.PeerClient
	io.Closer
}

// Dialer opens a connection to an address without waiting for it.
type Dialer func(address string) (Conn, error)

// Options configure a node; Marks and Shares may be nil.
type Options struct {
	Name  string
	Role  Role
	Zone  string
	Feed  Feed
	Marks Marks
	// Peers returns the known entries, which may include the process itself.
	Peers    func() []Peer
	Dial     Dialer
	Shares   Shares
	Interval time.Duration // between two rounds; 0 means timing.GossipInterval
	Rand     *rand.Rand
	Log      *zap.Logger
}

func (o Options) withDefaults() (Options, error) {
	if o.Name == "" || o.Feed == nil || o.Peers == nil || o.Dial == nil || o.Rand == nil || o.Log == nil {
		return o, errors.New("gossip: name, feed, peers, dialer, random source and log must be set")
	}
	if o.Role != Entry && o.Role != Sidecar {
		return o, errors.New("gossip: role must be entry or side")
	}
	if o.Interval == 0 {
		o.Interval = timing.GossipInterval
	}
	if o.Shares == nil {
		o.Shares = noShares{}
	}
	if o.Marks == nil {
		o.Marks = noMarks{}
	}
	return o, nil
}

// noShares is the Shares of processes that admit no requests.
type noShares struct{}

func (noShares) Offer(time.Time) []*peerpb.Demand                    { return nil }
func (noShares) Answer([]*peerpb.Demand, time.Time) []*peerpb.Demand { return nil }
func (noShares) Settle([]*peerpb.Demand, time.Time)                  {}

// noMarks is the Marks of processes that need none.
type noMarks struct{}

var emptyMarks = poison.New(poison.Options{})

func (noMarks) Load() *poison.Set                    { return emptyMarks }
func (noMarks) Update(func(*poison.Set) *poison.Set) {}

// callTimeout limits one call to a peer.
const callTimeout = 2 * time.Second

func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}
