package notify

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFireWakesAllThatWait(t *testing.T) {
	c := qt.New(t)
	b := New()
	one, two := b.Next(), b.Next()
	b.Fire()
	<-one
	<-two
	select {
	case <-b.Next():
		c.Fatal("a channel taken after Fire is closed")
	default:
	}
}
