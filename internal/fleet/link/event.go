package link

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// event is what the other goroutines tell the control goroutine.
type event struct {
	kind        eventKind
	name        string
	conn        uint64
	status      *sidepb.Status
	incarnation string
}

type eventKind string

const (
	statusHeard eventKind = "statusHeard"
	watchEnded  eventKind = "watchEnded"
	suspected   eventKind = "suspected"
	refused     eventKind = "refused"
	unanswered  eventKind = "unanswered" // a ping on a connection in use
)

// maxEvents is how many events wait for the control goroutine.
const maxEvents = 1024

// watch reads the statuses of one connection until it breaks or is closed.
func (p *Pool) watch(ctx context.Context, name string, id uint64, conn sidepb.SideClient) {
	defer p.tell(ctx, event{kind: watchEnded, name: name, conn: id})
	stream, err := conn.Watch(ctx, &sidepb.WatchRequest{Entry: p.o.Entry, Offset: p.o.Offset()})
	if err != nil {
		return
	}
	for {
		st, err := stream.Recv()
		if err != nil {
			return
		}
		p.tell(ctx, event{kind: statusHeard, name: name, conn: id, status: st})
	}
}

// tell waits for the control goroutine unless the watch has been closed.
func (p *Pool) tell(ctx context.Context, e event) {
	select {
	case p.events <- e:
	case <-ctx.Done():
	}
}

// hint never waits, as traffic calls it; a lost hint comes again with the next call.
func (p *Pool) hint(e event) {
	select {
	case p.events <- e:
	default:
	}
}

// pingTimeout is how long a connection in use may take to show a status when another has gone silent.
const pingTimeout = time.Second

// ping asks for a status on a connection in use.
func (p *Pool) ping(name string, id uint64, conn sidepb.SideClient) {
	ctx, cancel := context.WithTimeout(p.ctx, pingTimeout)
	defer cancel()
	stream, err := conn.Watch(ctx, &sidepb.WatchRequest{Entry: p.o.Entry, Offset: p.o.Offset()})
	if err == nil {
		_, err = stream.Recv()
	}
	if err != nil && p.ctx.Err() == nil {
		p.hint(event{kind: unanswered, name: name, conn: id})
	}
}
