package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/ragworthatch/ragworthatch/internal/edge/sock"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
)

const (
	readHeaderTimeout = DefaultHeaderTimeout
	idleTimeout       = DefaultIdleTimeout
	// libraryShutdownDelay keeps go-zero from ending the process on a signal, because a graceful shutdown lasts as long as
	// there is work in flight.
	libraryShutdownDelay = 365 * 24 * time.Hour
)

// Timeouts of connections without a bound of their own.
const (
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
)

// Server is an HTTP server that listens on one address.
type Server struct {
	http *http.Server
	ln   net.Listener
}

// New listens on addr, an IP:port with port 0 for any, and returns a server of the routes.
func New(addr string, routes []rest.Route) (*Server, error) {
	server, err := newServer(addr, routes)
	if err != nil {
		return nil, err
	}
	server.ln, err = net.Listen("tcp", addr)
	return server, err
}

// NewBounded is like New for a server whose clients are bounded; receiveBytes is the receive buffer of a connection, 0 for
// that of the system.
func NewBounded(addr string, routes []rest.Route, in *intake.Intake, receiveBytes int) (*Server, error) {
	server, err := newServer(addr, routes)
	if err != nil {
		return nil, err
	}
	in.Attach(server.http)
	var config net.ListenConfig
	if receiveBytes > 0 {
		config.Control = sock.ReceiveBuffer(receiveBytes, func(string, string, syscall.RawConn) error { return nil })
	}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	server.ln = in.Listen(ln)
	return server, nil
}

// newServer returns a server of the routes that does not listen yet.
func newServer(addr string, routes []rest.Route) (*Server, error) {
	inner, err := rest.NewServer(serverConf())
	if err != nil {
		return nil, fmt.Errorf("routes of %s: %w", addr, err)
	}
	inner.AddRoutes(routes)
	handler, err := rest.NewServerless(inner)
	if err != nil {
		return nil, fmt.Errorf("routes of %s: %w", addr, err)
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(handler.Serve),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	return &Server{http: server}, nil
}

// serverConf returns a configuration without any middleware of the library.
func serverConf() rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     "ragworthatch",
			Mode:     service.ProMode,
			Log:      logx.LogConf{Mode: "console", Stat: false, Level: "info"},
			Shutdown: proc.ShutdownConf{WrapUpTime: libraryShutdownDelay, WaitTime: 2 * libraryShutdownDelay},
		},
	}
}

// Addr returns the address that the server listens on, as IP:port.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Serve serves requests until Shutdown or Close is called; it then returns nil.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops listening and waits for the requests in flight. It returns the error of ctx if that ends first.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close stops listening and closes all connections at once.
func (s *Server) Close() error { return s.http.Close() }
