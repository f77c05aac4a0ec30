package link

import (
	"context"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// event is a message to the control goroutine.
type event struct {
	kind        eventKind
	name        string         // of the upstream
	conn        uint64         // ID of the connection; 0 for events of calls
	status      *sidepb.Status // of statusReceived
	incarnation string         // of callRefused
}

type eventKind string

const (
	statusReceived eventKind = "statusHeard" // a watch delivered a status
	watchEnded     eventKind = "watchEnded"  // a watch broke or was closed
	callSilent     eventKind = "suspected"   // the connection of a call went silent
	callRefused    eventKind = "refused"     // a sidecar refused a call because it is leaving
	pingFailed     eventKind = "unanswered"  // a ping on the current connection failed
)

// eventQueueSize is how many events may be queued for the control goroutine.
const eventQueueSize = 1024

// watch reads the statuses of one connection until it breaks or is closed.
func (p *Pool) watch(ctx context.Context, name string, id uint64, conn sidepb.SideClient) {
	defer p.sendEvent(ctx, event{kind: watchEnded, name: name, conn: id})
	stream, err := conn.Watch(ctx, &sidepb.WatchRequest{Entry: p.o.Entry, Offset: p.o.Offset()})
	if err != nil {
		return
	}
	for {
		st, err := stream.Recv()
		if err != nil {
			return
		}
		p.sendEvent(ctx, event{kind: statusReceived, name: name, conn: id, status: st})
	}
}

// sendEvent sends an event to the control goroutine unless the watch is closed.
func (p *Pool) sendEvent(ctx context.Context, e event) {
	select {
	case p.events <- e:
	case <-ctx.Done():
	}
}

// trySendEvent drops the event if the queue is full, as callers must not block; the next call reports the fault again.
func (p *Pool) trySendEvent(e event) {
	select {
	case p.events <- e:
	default:
	}
}

// pingTimeout limits a ping of a current connection after another went silent.
const pingTimeout = time.Second

// ping checks a current connection by starting a second watch and waiting for its first status.
func (p *Pool) ping(name string, id uint64, conn sidepb.SideClient) {
	ctx, cancel := context.WithTimeout(p.ctx, pingTimeout)
	defer cancel()
	stream, err := conn.Watch(ctx, &sidepb.WatchRequest{Entry: p.o.Entry, Offset: p.o.Offset()})
	if err == nil {
		_, err = stream.Recv()
	}
	if err != nil && p.ctx.Err() == nil {
		p.trySendEvent(event{kind: pingFailed, name: name, conn: id})
	}
}
