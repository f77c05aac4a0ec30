package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
)

const (
	bufferBytes  = 32 << 10
	pollInterval = 20 * time.Millisecond // at which a new connection checks whether the mode lets it through
)

// Mode is what a proxy does to the bytes of its connections.
type Mode string

// The modes of a proxy.
const (
	Clear        Mode = "clear"  // all bytes pass
	Slow         Mode = "slow"   // each read is delayed before it is passed on
	DropToServer Mode = "noUp"   // what the client sends is lost
	DropToClient Mode = "noDown" // what the server sends is lost
	DropAll      Mode = "dead"   // both are lost; connections stay open and silent
)

// Proxy forwards connections to one target; its methods are safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	delay    time.Duration
	mode     atomic.Value // Mode
	mu       sync.Mutex
	conns    map[*proxiedConn]struct{}
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	client, server *net.TCPConn
	silent         atomic.Bool
}

// New returns a proxy to a target, in the mode Clear; delay is the delay of each read in the mode Slow.
func New(target string, delay time.Duration) (*Proxy, error) {
	listener, err := ports.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, delay: delay, conns: map[*proxiedConn]struct{}{}}
	p.mode.Store(Clear)
	go p.accept()
	return p, nil
}

// Address returns the IP:port that clients connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode, also for open connections. When a mode that loses bytes ends, the open connections are
// reset, as by a router that lost its state.
func (p *Proxy) Set(m Mode) {
	before := p.mode.Swap(m)
	if before != Clear && before != Slow && m != before {
		p.Reset()
	}
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.each(func(pc *proxiedConn) {
		for _, end := range []*net.TCPConn{pc.client, pc.server} {
			_ = end.SetLinger(0)
			_ = end.Close()
		}
	})
}

// Silence makes the open connections silent for good and returns their number; new ones work.
func (p *Proxy) Silence() int {
	n := 0
	p.each(func(pc *proxiedConn) {
		pc.silent.Store(true)
		n++
	})
	return n
}

// Close stops accepting connections and resets the open ones.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// each calls f for each open connection.
func (p *Proxy) each(f func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		f(pc)
	}
}

// accept connects each new client, until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client.(*net.TCPConn))
	}
}

// connect connects a client to the target once the mode lets bytes pass in both directions, and forwards until both
// directions end.
func (p *Proxy) connect(client *net.TCPConn) {
	for m := p.mode.Load(); m != Clear && m != Slow; m = p.mode.Load() {
		time.Sleep(pollInterval)
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	pc := &proxiedConn{client: client, server: server.(*net.TCPConn)}
	p.mu.Lock()
	p.conns[pc] = struct{}{}
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		p.forward(pc, pc.server, pc.client, DropToServer)
		close(done)
	}()
	p.forward(pc, pc.client, pc.server, DropToClient)
	<-done
	p.mu.Lock()
	delete(p.conns, pc)
	p.mu.Unlock()
}

// forward copies one direction and discards its bytes in the modes lost and DropAll.
func (p *Proxy) forward(pc *proxiedConn, to, from *net.TCPConn, lost Mode) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		m := p.mode.Load()
		if pc.silent.Load() || m == lost || m == DropAll {
			if err != nil {
				return
			}
			continue
		}
		if m == Slow {
			time.Sleep(p.delay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
