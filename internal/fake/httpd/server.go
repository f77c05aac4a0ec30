package httpd

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
	"github.com/ragworthatch/ragworthatch/internal/fake/proc"
)

const (
	headerTimeout  = 5 * time.Second       // for reading a request's header
	rebindAttempts = 50                    // to listen on the old port again
	rebindInterval = 20 * time.Millisecond // between two of these attempts
)

// Server serves one stand-in on one address, which it keeps while it is down.
type Server struct {
	handler http.Handler
	address string

	mu      sync.Mutex
	current *http.Server
	conns   map[*conn]struct{}
}

// anyPort is the address that makes New choose one.
const anyPort = "127.0.0.1:0"

// New serves a handler on an IP:port address; for 127.0.0.1:0 it chooses a loopback address whose port stays free for
// the server's return.
func New(address string, handler http.Handler) (*Server, error) {
	if address == anyPort {
		address = ports.Next()
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	s := &Server{handler: handler, address: l.Addr().String(), conns: map[*conn]struct{}{}}
	s.serve(l)
	return s, nil
}

// Address returns the IP:port of the server, whether it is up or down.
func (s *Server) Address() string { return s.address }

// Follow takes the server down when the process stops and up when it starts.
func (s *Server) Follow(p *proc.Proc) {
	p.OnChange(func(up bool) {
		if up {
			_ = s.Up()
			return
		}
		s.Down()
	})
}

// Down closes the listener and all connections; it does nothing if the server is down.
func (s *Server) Down() {
	s.mu.Lock()
	current := s.current
	s.current = nil
	s.mu.Unlock()
	if current != nil {
		_ = current.Close()
	}
}

// Up listens on the same address again; it fails if the address stays taken for a second.
func (s *Server) Up() error {
	var err error
	for range rebindAttempts {
		var l net.Listener
		if l, err = net.Listen("tcp", s.address); err == nil {
			s.serve(l)
			return nil
		}
		time.Sleep(rebindInterval)
	}
	return fmt.Errorf("stand-in: %w", err)
}

// Silence makes all open connections silent for good; new ones work.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silence()
	}
}

func (s *Server) serve(l net.Listener) {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	s.mu.Lock()
	s.current = server
	s.mu.Unlock()
	go func() { _ = server.Serve(&listener{Listener: l, server: s}) }()
}
