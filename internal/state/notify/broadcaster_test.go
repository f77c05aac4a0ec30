package notify

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBroadcastWakesAllWaiters(t *testing.T) {
	c := qt.New(t)
	b := New()
	one, two := b.Next(), b.Next()
	b.Broadcast()
	<-one
	<-two
	select {
	case <-b.Next():
		c.Fatal("a channel taken after Broadcast is closed")
	default:
	}
}
