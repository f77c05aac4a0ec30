package procs_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
)

// relay stands between the entries and a side, and can let open connections go silent, as a lost route would.
type relay struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	pipes  []*pipe
}

// pipe is one connection through a relay.
type pipe struct {
	silent atomic.Bool
	ends   [2]net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	ln, err := ports.Listen()
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{ln: ln, target: target}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.ln.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		p := &pipe{ends: [2]net.Conn{in, out}}
		r.mu.Lock()
		r.pipes = append(r.pipes, p)
		r.mu.Unlock()
		go p.carry(in, out)
		go p.carry(out, in)
	}
}

// carry copies one direction; a silent pipe swallows the bytes and never closes.
func (p *pipe) carry(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
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

// silence makes the open connections go silent for good; new ones work.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		p.silent.Store(true)
	}
	return len(r.pipes)
}

func (r *relay) close() {
	r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		for _, end := range p.ends {
			_ = end.Close()
		}
	}
}
