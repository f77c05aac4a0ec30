package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
)

const (
	bufferBytes = 32 << 10
	redialPause = 20 * time.Millisecond // while a cable passes nothing
)

// Mode is how a cable treats what passes through it.
type Mode string

// The modes of cables.
const (
	Clear  Mode = "clear"
	Slow   Mode = "slow"   // each read waits before it is passed on
	NoUp   Mode = "noUp"   // what the client sends is lost
	NoDown Mode = "noDown" // what the server sends is lost
	Dead   Mode = "dead"   // both are lost; connections stay open and silent
)

// Proxy carries connections to one target; it is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	delay    time.Duration
	mode     atomic.Value // Mode
	mu       sync.Mutex
	pairs    map[*pair]struct{}
}

// pair is one connection through a cable.
type pair struct {
	client, server *net.TCPConn
	mute           atomic.Bool
}

// New returns a clear cable to a target, and how long it delays what passes when it is slow.
func New(target string, delay time.Duration) (*Proxy, error) {
	listener, err := ports.Listen()
	if err != nil {
		return nil, err
	}
	c := &Proxy{listener: listener, target: target, delay: delay, pairs: map[*pair]struct{}{}}
	c.mode.Store(Clear)
	go c.accept()
	return c, nil
}

// Address is where clients connect to.
func (c *Proxy) Address() string { return c.listener.Addr().String() }

// Set changes the mode, for open connections too. A mode that loses bytes resets the connections that lost any when it ends,
// as a network without its router's state would.
func (c *Proxy) Set(m Mode) {
	before := c.mode.Swap(m)
	if before != Clear && before != Slow && m != before {
		c.Reset()
	}
}

// Reset breaks off the open connections.
func (c *Proxy) Reset() {
	c.each(func(p *pair) {
		for _, end := range []*net.TCPConn{p.client, p.server} {
			_ = end.SetLinger(0)
			_ = end.Close()
		}
	})
}

// Mute makes the open connections silent for good and returns their number; new ones work.
func (c *Proxy) Mute() int {
	n := 0
	c.each(func(p *pair) {
		p.mute.Store(true)
		n++
	})
	return n
}

// Close breaks off everything and takes no more connections.
func (c *Proxy) Close() {
	_ = c.listener.Close()
	c.Reset()
}

func (c *Proxy) each(f func(*pair)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.pairs {
		f(p)
	}
}

func (c *Proxy) accept() {
	for {
		client, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.connect(client.(*net.TCPConn))
	}
}

// connect joins a client to the target, if the mode lets the first packets pass.
func (c *Proxy) connect(client *net.TCPConn) {
	for m := c.mode.Load(); m != Clear && m != Slow; m = c.mode.Load() {
		time.Sleep(redialPause)
	}
	server, err := net.Dial("tcp", c.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	p := &pair{client: client, server: server.(*net.TCPConn)}
	c.mu.Lock()
	c.pairs[p] = struct{}{}
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		c.carry(p, p.server, p.client, NoUp)
		close(done)
	}()
	c.carry(p, p.client, p.server, NoDown)
	<-done
	c.mu.Lock()
	delete(c.pairs, p)
	c.mu.Unlock()
}

// carry copies one direction, which is lost in one of the modes.
func (c *Proxy) carry(p *pair, to, from *net.TCPConn, lost Mode) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		m := c.mode.Load()
		if p.mute.Load() || m == lost || m == Dead {
			if err != nil {
				return
			}
			continue
		}
		if m == Slow {
			time.Sleep(c.delay)
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
