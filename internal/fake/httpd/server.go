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
	headerTimeout = 5 * time.Second
	rebindTries   = 50
	rebindPause   = 20 * time.Millisecond
)

// Server is one stand-in on one address.
type Server struct {
	handler http.Handler
	address string

	mu      sync.Mutex
	current *http.Server
	conns   map[*conn]struct{}
}

// anyPort is the address that lets New choose one.
const anyPort = "127.0.0.1:0"

// New serves a handler on an IP:port address; 127.0.0.1:0 chooses a loopback address that the server can come back to.
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

// Address is the IP:port that the stand-in has, up or down.
func (s *Server) Address() string { return s.address }

// Follow makes the server go down and up with a process.
func (s *Server) Follow(p *proc.Proc) {
	p.OnChange(func(up bool) {
		if up {
			_ = s.Up()
			return
		}
		s.Down()
	})
}

// Down closes the listener and all connections.
func (s *Server) Down() {
	s.mu.Lock()
	current := s.current
	s.current = nil
	s.mu.Unlock()
	if current != nil {
		_ = current.Close()
	}
}

// Up listens on the same address again.
func (s *Server) Up() error {
	var err error
	for range rebindTries {
		var l net.Listener
		if l, err = net.Listen("tcp", s.address); err == nil {
			s.serve(l)
			return nil
		}
		time.Sleep(rebindPause)
	}
	return fmt.Errorf("stand-in: %w", err)
}

// Silence makes all open connections go silent for good; new ones work.
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
