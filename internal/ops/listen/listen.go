package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// signalWait keeps go-zero from ending the process on a signal: a graceful
	// shutdown lasts as long as the work in flight.
	signalWait = 365 * 24 * time.Hour
)

// Server is an HTTP server on one address.
type Server struct {
	http *http.Server
	ln   net.Listener
}

// New listens on addr (IP:port, port 0 for any) and routes requests.
func New(addr string, routes []rest.Route) (*Server, error) {
	inner, err := rest.NewServer(conf())
	if err != nil {
		return nil, fmt.Errorf("routes of %s: %w", addr, err)
	}
	inner.AddRoutes(routes)
	handler, err := rest.NewServerless(inner)
	if err != nil {
		return nil, fmt.Errorf("routes of %s: %w", addr, err)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           http.HandlerFunc(handler.Serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	return &Server{http: server, ln: ln}, nil
}

// conf leaves every middleware of the library off.
func conf() rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     "ragworthatch",
			Mode:     service.ProMode,
			Log:      logx.LogConf{Mode: "console", Stat: false, Level: "info"},
			Shutdown: proc.ShutdownConf{WrapUpTime: signalWait, WaitTime: 2 * signalWait},
		},
	}
}

// Addr is the address listened on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Serve answers requests until Shutdown or Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops listening and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close cuts every connection.
func (s *Server) Close() error { return s.http.Close() }
